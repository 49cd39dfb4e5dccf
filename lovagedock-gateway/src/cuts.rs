//! Counts the requests that a shutdown cuts.

/// Whether the caller of a request that a shutdown cut was told what became of it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CutWord {
    /// It was told by a problem document.
    Told,
    /// Its connection broke.
    Untold,
}

/// Counts a request that a shutdown cut.
pub(crate) fn count_cut(word: CutWord) {
    let told = match word {
        CutWord::Told => "yes",
        CutWord::Untold => "no",
    };
    metrics::counter!("lovagedock_requests_cut_total", "told" => told).increment(1);
}
