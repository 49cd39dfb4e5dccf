//! Counts the requests that a shutdown interrupts ("cuts").

/// Whether the result of a request that a shutdown cut was reported to its caller.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CutNotice {
    /// A problem document was sent.
    Sent,
    /// The connection broke without a result.
    NotSent,
}

/// Counts a request that a shutdown cut.
pub(crate) fn count_cut(notice: CutNotice) {
    let sent = match notice {
        CutNotice::Sent => "yes",
        CutNotice::NotSent => "no",
    };
    metrics::counter!("lovagedock_requests_cut_total", "told" => sent).increment(1);
}
