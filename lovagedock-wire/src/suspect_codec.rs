//! Encoding of updates about requests that were running on an engine when its process ended.

use std::time::Duration;

use lovagedock::{EndEvidence, ProcessEnd, SuspectUpdate};

use crate::{
    codec::{Decoded, duration_to_millis, list_length},
    lovagedock_capnp as schema,
};

type UpdateListBuilder<'a> = capnp::struct_list::Builder<'a, schema::suspect_news::Owned>;
type UpdateListReader<'a> = capnp::struct_list::Reader<'a, schema::suspect_news::Owned>;

/// Returns the number of updates as a list length.
pub(crate) fn update_count(updates: &[SuspectUpdate]) -> u32 {
    list_length(updates.len())
}

pub(crate) fn write_updates(updates: &[SuspectUpdate], mut list: UpdateListBuilder<'_>) {
    for (index, update) in (0_u32..).zip(updates) {
        let mut item = list.reborrow().get(index);
        item.set_fingerprint(update.fingerprint());
        match update {
            SuspectUpdate::Ended(_, end) => {
                let mut ended = item.init_ended();
                ended.set_process(end.process);
                ended.set_certain(end.evidence == EndEvidence::Strong);
            }
            SuspectUpdate::Served(_) => item.set_served(()),
            SuspectUpdate::Quarantined(_, time) => {
                item.set_quarantined_ms(duration_to_millis(*time))
            }
        }
    }
}

pub(crate) fn read_updates(list: UpdateListReader<'_>) -> Decoded<Vec<SuspectUpdate>> {
    let updates = list.iter().map(|item| {
        let fingerprint = item.get_fingerprint();
        Ok(match item.which().map_err(capnp::Error::from)? {
            schema::suspect_news::Ended(ended) => {
                let evidence = match ended.get_certain() {
                    true => EndEvidence::Strong,
                    false => EndEvidence::Weak,
                };
                let process = ended.get_process();
                SuspectUpdate::Ended(fingerprint, ProcessEnd { process, evidence })
            }
            schema::suspect_news::Served(()) => SuspectUpdate::Served(fingerprint),
            schema::suspect_news::QuarantinedMs(time) => {
                SuspectUpdate::Quarantined(fingerprint, Duration::from_millis(time))
            }
        })
    });
    updates.collect()
}
