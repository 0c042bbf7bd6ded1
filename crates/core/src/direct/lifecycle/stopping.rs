//! Decides when an instance that has been asked to stop may exit.

use std::time::Duration;

use crate::Timestamp;

/// Shortest duration of a stop. The platform probes readiness twice a second and takes an instance out of rotation
/// after two failed probes.
const MIN_STOP_TIME: Duration = Duration::from_millis(1_300);
/// Time without a packet from a caller after which the instance is considered unused. Callers retransmit
/// unacknowledged data after 200 ms, then after another 400 ms.
const QUIET_TIME: Duration = Duration::from_millis(650);
/// Time reserved for the final messages to peers before the process is killed.
const FINAL_MESSAGES_RESERVE: Duration = Duration::from_millis(500);

/// A planned stop in progress.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    since: Timestamp,
    last_packet: Timestamp,
    grace: Duration,
}

impl Stopping {
    /// Starts a stop that must finish within `grace`.
    #[must_use]
    pub fn new(now: Timestamp, grace: Duration) -> Self {
        Self { since: now, last_packet: now, grace }
    }

    /// Records a packet from a caller.
    pub fn record_packet(&mut self, now: Timestamp) {
        self.last_packet = now;
    }

    /// Returns whether the process may exit.
    #[must_use]
    pub fn is_over(&self, now: Timestamp) -> bool {
        let took = now.saturating_sub(self.since);
        let quiet = now.saturating_sub(self.last_packet) >= QUIET_TIME;
        (took >= MIN_STOP_TIME && quiet) || took + FINAL_MESSAGES_RESERVE >= self.grace
    }
}
