//! Encoding of updates about parts of prompts that end the engines that answer them.

use std::time::Duration;

use lovagedock::{EndEvidence, PartEnd, PartReport, PartUpdate, PromptParts};

use crate::{
    codec::{Decoded, duration_to_millis, list_length},
    lovagedock_capnp as schema,
};

type UpdateListBuilder<'a> = capnp::struct_list::Builder<'a, schema::part_news::Owned>;
type UpdateListReader<'a> = capnp::struct_list::Reader<'a, schema::part_news::Owned>;
type EndListBuilder<'a> = capnp::struct_list::Builder<'a, schema::part_end_news::Owned>;
type EndListReader<'a> = capnp::struct_list::Reader<'a, schema::part_end_news::Owned>;

pub(crate) fn write_part_updates(updates: &[PartUpdate], mut list: UpdateListBuilder<'_>) {
    for (index, update) in (0_u32..).zip(updates) {
        let mut item = list.reborrow().get(index);
        let parts = update_parts(update);
        let mut written = item.reborrow().init_parts(list_length(parts.len()));
        for (index, part) in (0_u32..).zip(&parts) {
            written.set(index, *part);
        }
        match update {
            PartUpdate::Ended { end, .. } => write_ends(&[*end], item.init_ended(1)),
            PartUpdate::Answered { age, .. } => item.set_answered_ms(duration_to_millis(*age)),
            PartUpdate::Trial {
                request,
                rank,
                time_left,
                ..
            } => {
                let mut trial = item.init_trial();
                trial.set_request(*request);
                trial.set_rank(*rank);
                trial.set_left_ms(duration_to_millis(*time_left));
            }
            PartUpdate::Quarantined(report) => {
                let mut quarantined = item.init_quarantined();
                quarantined.set_left_ms(duration_to_millis(report.quarantined_for));
                let count = list_length(report.ends.len());
                write_ends(&report.ends, quarantined.init_ends(count));
            }
        }
    }
}

pub(crate) fn read_part_updates(list: UpdateListReader<'_>) -> Decoded<Vec<PartUpdate>> {
    let updates = list.iter().map(|item| {
        let parts: PromptParts = item.get_parts()?.iter().collect();
        let part = parts.first().copied().unwrap_or_default();
        Ok(match item.which().map_err(capnp::Error::from)? {
            schema::part_news::Ended(ends) => {
                let end = read_ends(ends?).into_iter().next();
                let missing = || capnp::Error::failed("an end is missing".to_owned());
                let end = end.ok_or_else(missing)?;
                PartUpdate::Ended { parts, end }
            }
            schema::part_news::AnsweredMs(age) => PartUpdate::Answered {
                part,
                age: Duration::from_millis(age),
            },
            schema::part_news::Trial(trial) => PartUpdate::Trial {
                parts,
                request: trial.get_request(),
                rank: trial.get_rank(),
                time_left: Duration::from_millis(trial.get_left_ms()),
            },
            schema::part_news::Quarantined(quarantined) => PartUpdate::Quarantined(PartReport {
                part,
                ends: read_ends(quarantined.get_ends()?),
                quarantined_for: Duration::from_millis(quarantined.get_left_ms()),
            }),
        })
    });
    updates.collect()
}

fn update_parts(update: &PartUpdate) -> PromptParts {
    match update {
        PartUpdate::Ended { parts, .. } | PartUpdate::Trial { parts, .. } => parts.clone(),
        PartUpdate::Answered { part, .. } => PromptParts::from_slice(&[*part]),
        PartUpdate::Quarantined(report) => PromptParts::from_slice(&[report.part]),
    }
}

fn write_ends(ends: &[PartEnd], mut list: EndListBuilder<'_>) {
    for (index, end) in (0_u32..).zip(ends) {
        let mut item = list.reborrow().get(index);
        item.set_process(end.process);
        item.set_request(end.request);
        item.set_certain(end.evidence == EndEvidence::Strong);
        item.set_ran_ms(duration_to_millis(end.ran_for));
        item.set_age_ms(duration_to_millis(end.age));
        item.set_trial(end.is_trial);
    }
}

fn read_ends(list: EndListReader<'_>) -> Vec<PartEnd> {
    let ends = list.iter().map(|item| PartEnd {
        process: item.get_process(),
        request: item.get_request(),
        evidence: match item.get_certain() {
            true => EndEvidence::Strong,
            false => EndEvidence::Weak,
        },
        ran_for: Duration::from_millis(item.get_ran_ms()),
        age: Duration::from_millis(item.get_age_ms()),
        is_trial: item.get_trial(),
    });
    ends.collect()
}
