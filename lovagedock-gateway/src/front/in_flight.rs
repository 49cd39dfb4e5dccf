//! Requests in flight: received from a caller and not yet answered completely.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use lovagedock::prelude::*;
use parking_lot::Mutex;
use tokio_util::task::{TaskTracker, task_tracker::TaskTrackerToken};

use super::body::ResponseBody;

/// Requests in flight with their start times; cheap to clone.
///
/// Lock order: this lock is a leaf.
#[derive(Clone, Default)]
pub(super) struct InFlightTable {
    tracker: TaskTracker,
    requests: Arc<Mutex<BTreeMap<RequestId, Timestamp>>>,
}

impl InFlightTable {
    /// Adds a request. It stays in flight until all clones of the result are dropped.
    pub(super) fn begin(&self, id: RequestId, now: Timestamp) -> Arc<InFlightRequest> {
        self.requests.lock().insert(id, now);
        Arc::new(InFlightRequest {
            id,
            table: self.clone(),
            _token: self.tracker.token(),
        })
    }

    /// Lets [`InFlightTable::wait`] return once no request is in flight.
    pub(super) fn close(&self) {
        self.tracker.close();
    }

    /// Whether the table was closed.
    pub(super) fn is_closed(&self) -> bool {
        self.tracker.is_closed()
    }

    /// Waits until the table is closed and no request is in flight.
    pub(super) async fn wait(&self) {
        self.tracker.wait().await;
    }

    /// Number of requests in flight.
    pub(super) fn len(&self) -> usize {
        self.requests.lock().len()
    }

    /// The requests in flight with their start times.
    pub(super) fn list(&self) -> Vec<(RequestId, Timestamp)> {
        let requests = self.requests.lock();
        requests.iter().map(|(id, since)| (*id, *since)).collect()
    }
}

/// One request in flight.
pub(super) struct InFlightRequest {
    id: RequestId,
    table: InFlightTable,
    _token: TaskTrackerToken,
}

impl InFlightRequest {
    fn remove_from_table(&self) {
        self.table.requests.lock().remove(&self.id);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.remove_from_table();
    }
}

/// A body that keeps its request in flight until the connection has read all of it.
struct InFlightBody {
    body: ResponseBody,
    request: Arc<InFlightRequest>,
}

impl Drop for InFlightBody {
    /// The caller has received its response or has disconnected. Work of the request that continues
    /// does not count as cut for the caller.
    fn drop(&mut self) {
        self.request.remove_from_table();
    }
}

/// Wraps a body so that its request stays in flight until the connection has read the body.
pub(super) fn in_flight_body(body: ResponseBody, request: Arc<InFlightRequest>) -> ResponseBody {
    let body = InFlightBody { body, request };
    body.boxed_unsync()
}

impl Body for InFlightBody {
    type Data = Bytes;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
