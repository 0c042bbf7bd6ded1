//! Timeout of a handshake, after which the SYN is sent to another target.
//!
//! The timeout is computed like TCP's retransmission timeout (RFC 6298): the smoothed round-trip time plus four times
//! its mean deviation. Callers retransmit a SYN only after 200 ms, which exceeds the latency objective of most
//! requests.

use std::time::Duration;

use crate::direct::targets::smoothed_time::SmoothedTime;
use crate::direct::targets::smoothed_time::Weights;

/// Minimum timeout. A handshake takes 7 ms when callers are 3 ms away from instances. A process that waits to be
/// scheduled is delayed by tens of milliseconds, and a SYN that is sent twice without need costs a connection.
const MIN_TIMEOUT: Duration = Duration::from_millis(40);
/// Maximum timeout: shortly before the caller's own retransmission.
const MAX_TIMEOUT: Duration = Duration::from_millis(180);
/// Weights of a new sample: alpha and beta of RFC 6298.
const WEIGHTS: Weights = Weights { time: 0.125, deviation: 0.25 };
/// Factor of the deviation that is added to the round-trip time: K of RFC 6298.
const DEVIATION_FACTOR: f64 = 4.0;

/// Estimator of the time from a SYN to the packet that completes its handshake.
#[derive(Clone, Copy, Debug)]
pub struct HandshakeTimeout {
    round_trip: SmoothedTime,
}

impl Default for HandshakeTimeout {
    fn default() -> Self {
        Self { round_trip: SmoothedTime::new(WEIGHTS) }
    }
}

impl HandshakeTimeout {
    /// Adds the measured duration of a handshake.
    pub fn sample(&mut self, took: Duration) {
        self.round_trip.sample(took);
    }

    /// Returns the smoothed duration of a handshake, or `None` before the first sample.
    #[must_use]
    pub fn round_trip(&self) -> Option<Duration> {
        self.round_trip.bound(0.0)
    }

    /// Returns the current timeout: the minimum before the first sample, and the clamped estimate afterwards.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.round_trip.bound(DEVIATION_FACTOR).map_or(MIN_TIMEOUT, |limit| limit.clamp(MIN_TIMEOUT, MAX_TIMEOUT))
    }
}
