//! Slow start: a limit on a target's load that doubles while the target answers successfully.
//!
//! A target fails under full load during a cold start, and its capacity at that time is unknown. The limit therefore
//! starts low, doubles only after enough successes, and returns to the first step when the target sheds load or fails.
//! Each return to the first step doubles the successes that later steps need, because a target that sheds at every
//! second step does not recover if its limit is raised again at the same rate.

use serde::Serialize;

/// A load limit that doubles from a first step up to its full value.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStartLimit {
    first: u32,
    limit: u32,
    full: u32,
    #[serde(rename = "proofs")]
    successes: u32,
    #[serde(rename = "falls")]
    restarts: u32,
}

/// Minimum number of successes that each step needs. With a lower value, two successes by chance could make the target
/// count as warm.
const MIN_SUCCESSES_PER_STEP: u32 = 6;
/// Number of restarts after which the successes needed for a step no longer double.
const MAX_RESTARTS_COUNTED: u32 = 4;
/// The first step allows the full limit divided by this number, but at least 1.
const FIRST_STEP_DIVISOR: u32 = 64;

impl SlowStartLimit {
    /// Creates a limit at its first step; `full` is the limit of a warm target.
    #[must_use]
    pub fn cold(full: u32) -> Self {
        let first = (full / FIRST_STEP_DIVISOR).max(1);
        Self { first, limit: first, full, successes: 0, restarts: 0 }
    }

    /// Creates a limit at its full value.
    #[must_use]
    pub fn warm(full: u32) -> Self {
        Self { limit: full, ..Self::cold(full) }
    }

    /// Returns the current limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the limit has reached its full value.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.limit >= self.full
    }

    /// Records a success, and doubles the limit after enough successes at the current step.
    ///
    /// The number of successes needed is multiplied by `multiplier`, which is 1 if there is no evidence that the target
    /// is cold.
    pub fn record_success(&mut self, multiplier: u32) {
        if self.is_warm() {
            return;
        }
        self.successes += 1;
        let needed = self.limit.max(MIN_SUCCESSES_PER_STEP).saturating_mul(multiplier << self.restarts);
        if self.successes >= needed {
            self.limit = self.limit.saturating_mul(2).min(self.full);
            self.successes = 0;
            if self.is_warm() {
                self.restarts = 0;
            }
        }
    }

    /// Returns the limit to the first step.
    pub fn restart(&mut self) {
        if self.limit > self.first {
            self.restarts = (self.restarts + 1).min(MAX_RESTARTS_COUNTED);
        }
        self.limit = self.first;
        self.successes = 0;
    }

    /// Sets a new full limit. A warm limit stays warm; otherwise the current limit is kept, capped at `full`, and
    /// the successes at the current step are counted anew.
    pub fn resize(&mut self, full: u32) {
        if full == self.full {
            return;
        }
        let warm = self.is_warm();
        *self =
            Self { limit: if warm { full } else { self.limit.min(full) }, restarts: self.restarts, ..Self::cold(full) };
    }
}
