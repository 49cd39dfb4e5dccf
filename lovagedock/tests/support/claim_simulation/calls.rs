//! Store calls and their results.

use lovagedock::{ClaimAction, ClaimEvent, ReadOutcome, WriteOutcome};

use super::{Call, ClaimSimulation, Step};

impl ClaimSimulation {
    pub(super) fn call(&mut self, gateway: usize, incarnation: u32, action: ClaimAction) {
        if matches!(&action, ClaimAction::Write { object, .. } if object.contains("partitions")) {
            self.report.partition_writes += 1;
        }
        let id = self.count;
        let is_write = !matches!(action, ClaimAction::Read { .. });
        let down = self.chance(self.schedule.faults.unavailable);
        let lost = is_write && self.chance(self.schedule.faults.lost_confirmation);
        let takes_effect = !down && (!lost || self.chance(60));
        let applied_at = self.now + self.millis(1..30);
        let reports_at = match lost {
            // The write may still take effect after the daemon's call has timed out.
            true => self.now + self.millis(1..60),
            false => applied_at + self.millis(1..10),
        };
        let call = Call {
            gateway,
            incarnation,
            action,
            outcome: None,
            takes_effect,
            confirmed: !lost,
        };
        self.calls.insert(id, call);
        self.push(applied_at, Step::ApplyCall(id));
        self.push(reports_at, Step::Report(id));
    }

    pub(super) fn apply_call(&mut self, id: u64) {
        let call = self.calls.get_mut(&id).expect("call is known");
        let event = match &call.action {
            ClaimAction::Read { object } => {
                let outcome = match call.takes_effect {
                    true => self.store.read(object),
                    false => ReadOutcome::Unavailable,
                };
                let object = object.clone();
                ClaimEvent::StoreReadEnded { object, outcome }
            }
            ClaimAction::Write {
                object,
                condition,
                bytes,
                nonce,
            } => {
                let outcome = match call.takes_effect {
                    true => self.store.write(object, *condition, bytes.clone()),
                    false => WriteOutcome::Unavailable,
                };
                let nonce = *nonce;
                ClaimEvent::StoreWriteEnded { nonce, outcome }
            }
            ClaimAction::Delete { object, nonce } => {
                let outcome = match call.takes_effect {
                    true => self.store.delete(object),
                    false => WriteOutcome::Unavailable,
                };
                let nonce = *nonce;
                ClaimEvent::StoreWriteEnded { nonce, outcome }
            }
            other => panic!("not a store call: {other:?}"),
        };
        call.outcome = Some(event);
    }

    pub(super) fn report_call(&mut self, id: u64) {
        let call = &self.calls[&id];
        let (gateway, incarnation) = (call.gateway, call.incarnation);
        let event = match (&call.action, call.confirmed) {
            (ClaimAction::Write { nonce, .. } | ClaimAction::Delete { nonce, .. }, false) => {
                ClaimEvent::StoreWriteEnded {
                    nonce: *nonce,
                    outcome: WriteOutcome::Unknown,
                }
            }
            _ => call.outcome.clone().expect("the call has taken effect"),
        };
        self.deliver(gateway, incarnation, event);
    }
}
