//! Operations of gateways on submitted requests: revoke, cancel, resume and loss of the sink.

use crate::{
    codes::{RanState, ResultCode},
    endpoint::{
        core::EndpointCore, entry::RequestPhase, messages::EndpointAction, tombstones::Tombstone,
    },
    ids::Timestamp,
    outcome::{AnswerEnd, AttemptKey, RevokeVerdict},
};

impl EndpointCore {
    pub(super) fn revoke(&mut self, now: Timestamp, key: AttemptKey) {
        if key.incarnation != self.incarnation {
            return self.push_verdict(key, RevokeVerdict::OtherIncarnation);
        }
        let phase = self.requests.get(&key.request).map(|entry| entry.phase);
        let verdict = match phase {
            Some(RequestPhase::Starting | RequestPhase::Running) => RevokeVerdict::Running,
            Some(RequestPhase::Queued) => {
                self.revoke_unstarted(now, key);
                RevokeVerdict::Revoked
            }
            None if self.has_run(key) => RevokeVerdict::Ended,
            None => {
                self.revoke_unstarted(now, key);
                RevokeVerdict::Revoked
            }
        };
        self.push_verdict(key, verdict);
    }

    fn has_run(&self, key: AttemptKey) -> bool {
        let tombstone = self.refused.get(key.request);
        self.answers.get(key.request).is_some()
            || tombstone.is_some_and(|tombstone| tombstone.ran != RanState::No)
    }

    /// Records a tombstone, even if the submit has not arrived yet, and removes the attempt from
    /// the queue. A newer queued attempt is not affected.
    fn revoke_unstarted(&mut self, now: Timestamp, key: AttemptKey) {
        if self.safeguards.tombstones {
            let tombstone = Tombstone {
                attempt: key.attempt,
                code: ResultCode::Revoked,
                ran: RanState::No,
            };
            self.revoked.insert(now, key.request, tombstone);
        }
        let entry = self.requests.get(&key.request);
        if entry.is_some_and(|entry| entry.key.attempt <= key.attempt) {
            let end = AnswerEnd::new(ResultCode::Revoked);
            return self.finish(now, key.request, end, false);
        }
        if entry.is_none() {
            self.close_reservation(now, key);
        }
    }

    pub(super) fn cancel(&mut self, now: Timestamp, key: AttemptKey) {
        if key.incarnation != self.incarnation || self.answers.get(key.request).is_some() {
            return;
        }
        let Some(entry) = self.requests.get(&key.request) else {
            return self.revoke_unstarted(now, key);
        };
        if key.attempt < entry.key.attempt || !entry.ends_without_sink() {
            return;
        }
        let end = self.abandoned_end(key.request, "cancelled by the caller");
        self.finish(now, key.request, end, false);
    }

    pub(super) fn resume(&mut self, key: AttemptKey, offset: u64) {
        let end = self.resumable(key, offset);
        let Some(end) = end else {
            return self.actions.push(EndpointAction::NotFound(key));
        };
        if let Some(entry) = self.requests.get_mut(&key.request) {
            entry.sink_lost_at = None;
            self.schedule_due(key.request);
        }
        self.actions
            .push(EndpointAction::ResumeFrom { key, offset, end });
    }

    fn resumable(&self, key: AttemptKey, offset: u64) -> Option<Option<AnswerEnd>> {
        if let Some(entry) = self.requests.get(&key.request) {
            return (entry.key == key && offset <= entry.delivered).then_some(None);
        }
        let answer = self.answers.get(key.request)?;
        let found = answer.key == key && offset <= answer.end.length;
        found.then(|| Some(answer.end.clone()))
    }

    pub(super) fn record_sink_loss(&mut self, now: Timestamp, key: AttemptKey) {
        let Some(entry) = self.requests.get_mut(&key.request) else {
            return;
        };
        if entry.key != key {
            return;
        }
        entry.sink_lost_at = Some(now);
        self.schedule_due(key.request);
    }
}
