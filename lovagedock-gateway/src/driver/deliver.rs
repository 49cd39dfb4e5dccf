//! Delivers the answer to the caller.

use tokio::time::sleep_until;

use super::{BufferedAnswer, RequestDriver};
use crate::front::CallerEvent;

impl RequestDriver {
    pub(super) async fn deliver_head(&mut self) {
        if let Some(head) = self.head.take() {
            if self.buffer_answer {
                self.buffered_answer = Some(BufferedAnswer {
                    head: head.clone(),
                    body: Vec::new(),
                });
            }
            if !self.delivers_after_recording() {
                self.send_to_caller(CallerEvent::Head(head)).await;
            }
        }
    }

    /// Whether the answer is delivered only after it was recorded.
    ///
    /// Once the head has been sent, a failure to record the answer can only be signalled by
    /// breaking the connection, and the caller would not learn that the request ran. A streamed
    /// answer is delivered at once: an error event can report the failure before the connection
    /// breaks, and waiting would delay the first token.
    fn delivers_after_recording(&self) -> bool {
        self.buffer_answer && !self.call.prompt.stream
    }

    pub(super) async fn deliver_chunk(&mut self, skip: u64) {
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let bytes = self.chunk.slice(skip.min(self.chunk.len())..);
        self.hasher.update(&bytes);
        if let Some(buffered_answer) = &mut self.buffered_answer {
            buffered_answer.body.extend_from_slice(&bytes);
        }
        if !self.delivers_after_recording() {
            self.send_to_caller(CallerEvent::Bytes(bytes)).await;
        }
    }

    /// Sends an event and waits while the caller is slow, but not past the deadline: the next tick
    /// then ends the request.
    async fn send_to_caller(&self, event: CallerEvent) {
        let deadline = self.shared.context.clock.instant_at(self.deadline);
        tokio::select! {
            _sent = self.caller.send(event) => {}
            () = sleep_until(deadline.into()) => {}
        }
    }
}
