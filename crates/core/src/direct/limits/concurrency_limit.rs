//! Adaptive concurrency limit for late flows at an instance that knows no other instance.
//!
//! It handles the load after a power loss: all instances start within half a second without knowledge of each other,
//! while callers retransmit the SYNs of one second. Without a limit each instance would fill every target by itself,
//! and the targets' FIFO queues would delay every request until they are empty. Therefore an instance without known
//! peers limits its late flows, and adapts the limit like TCP congestion control (additive increase, multiplicative
//! decrease): each answer in time raises it.
//!
//! Flows that can still meet their latency objective are not limited. Their answers may be acknowledged through
//! instances that are not known yet, so a limit that depends on them would stay low.

use std::time::Duration;

use crate::Timestamp;

/// Initial and minimum limit, in open requests: 28 slots divided by 9 instances, as in the current deployments.
const INITIAL_LIMIT: f64 = 3.0;
/// Factor of the limit when an answer is late.
const DECREASE_FACTOR: f64 = 0.7;
/// Time after a decrease without another one, since answers that are already in flight reflect the same load.
const DECREASE_HOLD: Duration = Duration::from_millis(100);
/// Divisor of the latency objective: an answer that takes longer than the quotient counts as late. Half of the
/// objective is spent on waiting then.
const LATE_OBJECTIVE_DIVISOR: u32 = 2;

/// Limit on the open requests of an instance, adapted by answer times.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    size: f64,
    hold_until: Timestamp,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { size: INITIAL_LIMIT, hold_until: Timestamp::ZERO }
    }
}

impl ConcurrencyLimit {
    /// Returns whether another request may be sent while `open` requests are open.
    #[must_use]
    pub fn allows(&self, open: usize) -> bool {
        f64::from(u32::try_from(open).unwrap_or(u32::MAX)) < self.size
    }

    /// Adapts the limit to an answer that took `took` on a route with the given latency objective.
    pub fn answered(&mut self, now: Timestamp, took: Duration, objective: Duration) {
        if took <= objective / LATE_OBJECTIVE_DIVISOR {
            self.size += 1.0;
        } else if now >= self.hold_until {
            self.size = (self.size * DECREASE_FACTOR).max(INITIAL_LIMIT);
            self.hold_until = now + DECREASE_HOLD;
        }
    }
}
