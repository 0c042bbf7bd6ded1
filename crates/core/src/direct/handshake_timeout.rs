//! How long a handshake may take before the SYN is sent to another target.
//!
//! The estimate follows the retransmission timer of TCP (RFC 6298): a smoothed round trip and four times its mean
//! deviation. Callers repeat a SYN only after 200 ms, which is later than most requests may be answered.

use std::time::Duration;

/// Shortest timeout. A handshake takes 7 ms at 3 ms between callers and instances; a process that waits for its share
/// of the processor stalls by tens of milliseconds, and a SYN sent twice without need costs a connection.
const SHORTEST: Duration = Duration::from_millis(40);
/// Longest timeout: shortly before the caller's own copy.
const LONGEST: Duration = Duration::from_millis(180);
/// Weight of a new sample in the smoothed round trip (RFC 6298).
const ALPHA: f64 = 0.125;
/// Weight of a new sample in the deviation (RFC 6298).
const BETA: f64 = 0.25;
/// Deviations added to the round trip (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// Estimate of the time from a SYN to the packet that finishes its handshake.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandshakeTimeout {
    estimate: Option<(f64, f64)>,
}

impl HandshakeTimeout {
    /// Takes in a measured handshake.
    pub fn sample(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => (took, took / 2.0),
            Some((smoothed, deviation)) => {
                let deviation = deviation + ((smoothed - took).abs() - deviation) * BETA;
                (smoothed + (took - smoothed) * ALPHA, deviation)
            }
        });
    }

    /// Returns how long to wait for a handshake.
    #[must_use]
    pub fn limit(&self) -> Duration {
        let Some((smoothed, deviation)) = self.estimate else { return SHORTEST };
        Duration::from_secs_f64(smoothed + DEVIATIONS * deviation).clamp(SHORTEST, LONGEST)
    }
}
