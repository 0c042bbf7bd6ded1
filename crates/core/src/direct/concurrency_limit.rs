//! How much late work an instance dares to send while it hears of no other.
//!
//! The load that this answers: all instances lose power and start within half a second, each knowing nothing of the
//! others, into the copies of a second of SYNs. Each would fill every target by itself, and the targets' queues, which
//! serve in the order of arrival, would make everybody late for as long as they take to empty. So one that is alone
//! gives late flows a share and raises it with every answer that comes in good time, as a sender does on a path of
//! unknown width (additive increase, multiplicative decrease). Flows that can still be in time are not held back: their
//! answers may pass through instances that are not known yet, and a limit that waits for them would stay low.

use std::time::Duration;

use crate::Timestamp;

/// Requests under way that an instance begins with: the 28 slots of the deployments of today, by 9 instances.
const FIRST: f64 = 3.0;
/// Part of the limit that is kept when an answer comes late.
const DECREASE: f64 = 0.7;
/// Time after a decrease in which no other follows: answers already under way tell of the same load.
const HOLD: Duration = Duration::from_millis(100);
/// Part of the latency objective above which an answer counts as late: half of it is lost to waiting then.
const LATE_DIVISOR: u32 = 2;

/// The limit.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    size: f64,
    held_until: Timestamp,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { size: FIRST, held_until: Timestamp::ZERO }
    }
}

impl ConcurrencyLimit {
    /// Tells whether one more request may be sent while `open` are under way.
    #[must_use]
    pub fn allows(&self, open: usize) -> bool {
        f64::from(u32::try_from(open).unwrap_or(u32::MAX)) < self.size
    }

    /// Takes in an answer.
    pub fn answered(&mut self, now: Timestamp, took: Duration, objective: Duration) {
        if took <= objective / LATE_DIVISOR {
            self.size += 1.0;
        } else if now >= self.held_until {
            self.size = (self.size * DECREASE).max(FIRST);
            self.held_until = now + HOLD;
        }
    }
}
