//! How much a target may be given, raised step by step while it answers.
//!
//! A target in a cold start falls over under full load, and nobody can say beforehand how much it bears. So the limit
//! starts low, doubles only after the target has answered well often enough, and falls back to the first step at any
//! sign of trouble. Each fall makes the next climb slower: a target that sheds at every second step is not helped by
//! being tried again at the same pace.

use serde::Serialize;

/// A limit that rises from a first step to its full value.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStartLimit {
    first: u32,
    limit: u32,
    full: u32,
    proofs: u32,
    falls: u32,
}

/// Good answers that each step needs at the least; fewer would let two lucky ones pass for warm.
const MIN_PROOFS: u32 = 6;
/// Falls after which the climb gets no slower.
const MAX_FALLS: u32 = 4;
/// Part of the full limit that the first step allows.
const FIRST_STEP_DIVISOR: u32 = 64;

impl SlowStartLimit {
    /// Returns a ramp at its first step.
    #[must_use]
    pub fn cold(full: u32) -> Self {
        let first = (full / FIRST_STEP_DIVISOR).max(1);
        Self { first, limit: first, full, proofs: 0, falls: 0 }
    }

    /// Returns a ramp at its full limit.
    #[must_use]
    pub fn warm(full: u32) -> Self {
        Self { limit: full, ..Self::cold(full) }
    }

    /// Returns what may be given now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Tells whether the full limit is reached.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.limit >= self.full
    }

    /// Notes a good answer and raises the limit when enough have come at this step.
    ///
    /// `multiplier` multiplies the answers needed; it is one when nothing speaks against the next step.
    pub fn record_success(&mut self, multiplier: u32) {
        if self.is_warm() {
            return;
        }
        self.proofs += 1;
        let needed = self.limit.max(MIN_PROOFS).saturating_mul(multiplier << self.falls);
        if self.proofs >= needed {
            self.limit = self.limit.saturating_mul(2).min(self.full);
            self.proofs = 0;
            if self.is_warm() {
                self.falls = 0;
            }
        }
    }

    /// Falls back to the first step.
    pub fn restart(&mut self) {
        if self.limit > self.first {
            self.falls = (self.falls + 1).min(MAX_FALLS);
        }
        self.limit = self.first;
        self.proofs = 0;
    }

    /// Takes over a new full limit, keeping the step reached.
    pub fn resize(&mut self, full: u32) {
        if full == self.full {
            return;
        }
        let warm = self.is_warm();
        *self = Self { limit: if warm { full } else { self.limit.min(full) }, falls: self.falls, ..Self::cold(full) };
    }
}
