//! Writes of the suspect sheet that operators wait for.

use std::time::Duration;

use tokio::{sync::watch, time::timeout};

/// Time limit for a write, shorter than the time limit of the operators' command for its call.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of a requested write, counted from 1.
pub(crate) type WriteNumber = u64;

/// Latest write that has ended.
#[derive(Clone, Copy, Debug, Default)]
struct EndedWrite {
    number: WriteNumber,
    is_written: bool,
}

/// Requests for writes of the suspect sheet, and their results.
pub(crate) struct SheetWrites {
    requested: watch::Sender<WriteNumber>,
    ended: watch::Sender<EndedWrite>,
}

impl SheetWrites {
    /// Creates a state without requests.
    pub(crate) fn new() -> Self {
        Self {
            requested: watch::Sender::new(0),
            ended: watch::Sender::new(EndedWrite::default()),
        }
    }

    /// Requests a write of the current sheet and waits for its end. Returns whether the store has
    /// it, `false` after 3 s.
    pub(crate) async fn request(&self) -> bool {
        let mut ended = self.ended.subscribe();
        let mut requested = 0;
        self.requested.send_modify(|number| {
            *number += 1;
            requested = *number;
        });
        let ended = ended.wait_for(|ended| ended.number >= requested);
        match timeout(WRITE_TIMEOUT, ended).await {
            Ok(Ok(ended)) => ended.is_written,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Returns the requests, for the task that writes.
    pub(crate) fn requests(&self) -> WriteRequests {
        WriteRequests {
            requested: self.requested.subscribe(),
            served: 0,
        }
    }

    /// Records that the requests up to `number` have ended.
    pub(crate) fn end(&self, number: WriteNumber, is_written: bool) {
        self.ended.send_replace(EndedWrite { number, is_written });
    }
}

/// Requests as seen by the task that writes.
pub(crate) struct WriteRequests {
    requested: watch::Receiver<WriteNumber>,
    served: WriteNumber,
}

impl WriteRequests {
    /// Waits for another request.
    pub(crate) async fn changed(&mut self) {
        if self.requested.changed().await.is_err() {
            // The gateway has ended.
            std::future::pending().await
        }
    }

    /// Returns the number of the latest request.
    pub(crate) fn latest(&mut self) -> WriteNumber {
        *self.requested.borrow_and_update()
    }

    /// Returns whether a request has not been served yet, and marks it as served.
    pub(crate) fn take_pending(&mut self, number: WriteNumber) -> bool {
        std::mem::replace(&mut self.served, number) < number
    }
}
