//! Counts the requests that a shutdown cuts.

/// Whether the caller of a request that a shutdown cut was told what became of it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CutNotice {
    /// It was told by a problem document.
    Sent,
    /// Its connection broke.
    NotSent,
}

/// Counts a request that a shutdown cut.
pub(crate) fn count_cut(notice: CutNotice) {
    let told = match notice {
        CutNotice::Sent => "yes",
        CutNotice::NotSent => "no",
    };
    metrics::counter!("lovagedock_requests_cut_total", "told" => told).increment(1);
}
