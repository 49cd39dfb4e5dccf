//! Prefills the segments of a prompt one after another.

use super::{
    coordinator::{SpanCoordinator, SpanState},
    event::SpanAction,
    member::SpanMember,
};
use crate::{
    codes::{RanState, ResultCode},
    ids::{EndpointId, TokenCount},
    outcome::AnswerEnd,
};

impl SpanCoordinator {
    pub(super) fn begin_prefill(&mut self) {
        let parts = self.parts();
        self.segments = self.plan.segments(&parts).into();
        self.state = SpanState::Prefilling;
        self.next_segment();
    }

    pub(super) fn next_segment(&mut self) {
        if self.segments.is_empty() {
            self.state = SpanState::Decoding;
            let members = self.parts();
            if let Some(lead) = self.members.first_mut() {
                lead.submit();
            }
            self.actions.push(SpanAction::Decode { members });
        } else {
            self.send_segment();
        }
    }

    /// Sends the next segment, unless its engine is disconnected. In that case it is sent after the
    /// engine has reconnected.
    pub(super) fn send_segment(&mut self) {
        let Some(segment) = self.segments.front() else {
            return;
        };
        let lost = |member: &SpanMember| member.is_at(&segment.endpoint) && member.is_disconnected;
        if !self.members.iter().any(lost) {
            self.prefill_started = true;
            self.actions.push(SpanAction::Segment(segment.clone()));
        }
    }

    pub(super) fn on_segment_done(
        &mut self,
        endpoint: &EndpointId,
        start: TokenCount,
        end: AnswerEnd,
    ) {
        let awaited = self
            .segments
            .front()
            .is_some_and(|segment| segment.endpoint == *endpoint && segment.start == start);
        if self.state != SpanState::Prefilling || !awaited {
            return;
        }
        if end.code != ResultCode::Complete {
            self.fail(end.with_ran(RanState::Yes));
            return;
        }
        self.segments.pop_front();
        self.next_segment();
    }
}
