//! Bytes on their way to the caller.

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

    /// Whether the caller gets the answer only once it is recorded.
    ///
    /// After the head a failure to record could only break the answer off, and the caller would not
    /// learn that the request ran. A stream can name the reason before it breaks, and is worth its
    /// first token.
    fn delivers_after_recording(&self) -> bool {
        self.buffer_answer && !self.call.prompt.stream
    }

    pub(super) async fn deliver(&mut self, skip: u64) {
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

    /// Waits for a slow caller, but not past the deadline: the next tick then ends the request.
    async fn send_to_caller(&self, event: CallerEvent) {
        let deadline = self.shared.context.clock.instant_at(self.deadline);
        tokio::select! {
            _sent = self.caller.send(event) => {}
            () = sleep_until(deadline.into()) => {}
        }
    }
}
