//! State of one engine: the span that holds its memory and the spans that wait for it.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Verdict {
    Granted,
    Refused,
    /// An older span needs the engine, so the holder must release all its engines.
    Wounded,
}

/// Spans are numbered by arrival, so the lower number is the older span.
#[derive(Debug, Default)]
pub(super) struct EngineArbiter {
    holder: Option<(usize, u32)>,
    wounded: bool,
    waiting: Vec<(usize, u32)>,
}

impl EngineArbiter {
    pub(super) fn holder(&self) -> Option<usize> {
        self.holder.map(|(span, _)| span)
    }

    /// Returns the answers to send. A span that has to wait gets its answer from a later
    /// [`EngineArbiter::release`].
    pub(super) fn reserve(
        &mut self,
        span: usize,
        round: u32,
        waits: bool,
        wounds: bool,
        begun: impl Fn(usize) -> bool,
    ) -> Vec<(usize, u32, Verdict)> {
        let Some((holder, holder_round)) = self.holder else {
            self.holder = Some((span, round));
            return vec![(span, round, Verdict::Granted)];
        };
        if !waits {
            return vec![(span, round, Verdict::Refused)];
        }
        self.waiting.push((span, round));
        let wound = wounds && span < holder && !begun(holder) && !self.wounded;
        if !wound {
            return Vec::new();
        }
        self.wounded = true;
        vec![(holder, holder_round, Verdict::Wounded)]
    }

    /// Releases the reservation or the waiting entry of the span. Returns the next holder.
    pub(super) fn release(&mut self, key: (usize, u32), by_age: bool) -> Option<(usize, u32)> {
        self.waiting.retain(|waiting| *waiting != key);
        if self.holder != Some(key) {
            return None;
        }
        self.holder = None;
        self.wounded = false;
        if self.waiting.is_empty() {
            return None;
        }
        let oldest = (0..self.waiting.len()).min_by_key(|at| self.waiting[*at].0);
        let next = self.waiting.remove(oldest.filter(|_| by_age).unwrap_or(0));
        self.holder = Some(next);
        Some(next)
    }
}
