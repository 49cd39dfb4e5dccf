//! Processor time and heap of this process.
//!
//! Processor time and not elapsed time: what else runs on the machine then moves the figures by
//! its use of caches only.

use cpu_time::ProcessTime;
use peak_alloc::PeakAlloc;

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

/// Microseconds of processor time for each of `rounds` that `work` does.
pub(crate) fn cpu_micros(rounds: usize, work: impl FnOnce()) -> f64 {
    let start = ProcessTime::now();
    work();
    start.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

/// A moment to count processor time from.
pub(crate) fn cpu_start() -> ProcessTime {
    ProcessTime::now()
}

/// Bytes on the heap now.
pub(crate) fn heap_bytes() -> f64 {
    HEAP.current_usage() as f64
}

/// Bytes on the heap that `build` leaves behind in what it returns.
pub(crate) fn heap_of<T>(build: impl FnOnce() -> T) -> (f64, T) {
    let before = heap_bytes();
    let built = build();
    (heap_bytes() - before, built)
}

/// Most bytes on the heap during `work`, above what was there before.
pub(crate) fn heap_peak(work: impl FnOnce()) -> f64 {
    let before = heap_bytes();
    HEAP.reset_peak_usage();
    work();
    HEAP.peak_usage() as f64 - before
}
