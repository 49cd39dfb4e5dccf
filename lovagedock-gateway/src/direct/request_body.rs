//! Bodies of callers' requests, in segments.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::body_memory::BodyReservation;

/// Capacity of the first segment, and the most that a segment has unless more bytes arrive at once.
const MIN_SEGMENT_BYTES: usize = 1 << 10;
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// A whole body. Clones share its memory.
#[derive(Clone)]
pub(crate) struct RequestBody(Arc<HeldBody>);

struct HeldBody {
    segments: Vec<Vec<u8>>,
    length: usize,
    _reservation: Option<BodyReservation>,
}

impl RequestBody {
    /// Creates a body that no budget counts.
    pub(crate) fn from_vec(bytes: Vec<u8>) -> Self {
        let length = bytes.len();
        Self(Arc::new(HeldBody {
            segments: vec![bytes],
            length,
            _reservation: None,
        }))
    }

    /// Creates a body without bytes.
    pub(crate) fn empty() -> Self {
        Self::from_vec(Vec::new())
    }

    /// Returns the parts of the body in order.
    pub(crate) fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.0.segments.iter().map(Vec::as_slice)
    }

    /// Returns the body for a request to an endpoint.
    pub(crate) fn to_outgoing(&self) -> OutgoingBody {
        OutgoingBody {
            body: self.clone(),
            next: 0,
            unsent: self.0.length,
        }
    }
}

/// A body that is being received.
///
/// Bytes are copied out of the read buffer. A frame would keep the whole buffer that it is a part
/// of, whose size the number of bytes does not show. Segments are never moved or joined, so a body
/// takes no more memory while it grows than afterwards.
#[derive(Default)]
pub(crate) struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    length: usize,
}

impl BodyBuffer {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns the capacity that has to be added, in bytes, before `bytes` are appended.
    pub(crate) fn missing_capacity(&self, bytes: usize) -> usize {
        match bytes.saturating_sub(self.free_capacity()) {
            0 => 0,
            missing => missing.max(self.length.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)),
        }
    }

    /// Appends bytes. The capacity that was missing is allocated.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        let capacity = self.missing_capacity(bytes.len());
        let (head, rest) = bytes.split_at(self.free_capacity().min(bytes.len()));
        if let Some(segment) = self.segments.last_mut() {
            segment.extend_from_slice(head);
        }
        if !rest.is_empty() {
            let mut segment = Vec::with_capacity(capacity);
            segment.extend_from_slice(rest);
            self.segments.push(segment);
        }
        self.length += bytes.len();
    }

    pub(crate) fn into_body(self, reservation: BodyReservation) -> RequestBody {
        RequestBody(Arc::new(HeldBody {
            segments: self.segments,
            length: self.length,
            _reservation: Some(reservation),
        }))
    }

    fn free_capacity(&self) -> usize {
        let last = self.segments.last();
        last.map_or(0, |segment| segment.capacity() - segment.len())
    }
}

/// A body on its way to an endpoint.
pub(crate) struct OutgoingBody {
    body: RequestBody,
    /// Index of the next segment.
    next: usize,
    unsent: usize,
}

/// A segment that keeps its body, and so the body's reservation.
struct SharedSegment {
    body: RequestBody,
    index: usize,
}

impl AsRef<[u8]> for SharedSegment {
    fn as_ref(&self) -> &[u8] {
        &self.body.0.segments[self.index]
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let index = self.next;
        let Some(segment) = self.body.0.segments.get(index) else {
            return Poll::Ready(None);
        };
        let length = segment.len();
        let segment = SharedSegment {
            body: self.body.clone(),
            index,
        };
        self.next += 1;
        self.unsent -= length;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(segment)))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent as u64)
    }
}
