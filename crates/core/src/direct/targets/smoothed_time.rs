//! A smoothed time and its mean deviation, as in the retransmission timer of TCP (RFC 6298).

use std::time::Duration;

/// Weights of a new sample.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Weight in the smoothed time.
    pub time: f64,
    /// Weight in the mean deviation.
    pub deviation: f64,
}

/// Estimate of a varying time.
#[derive(Clone, Copy, Debug)]
pub struct SmoothedTime {
    weights: Weights,
    /// Smoothed time and mean deviation, in seconds.
    estimate: Option<(f64, f64)>,
}

impl SmoothedTime {
    /// Creates an estimate without samples.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self { weights, estimate: None }
    }

    /// Adds a measured time.
    pub fn sample(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => (took, took / 2.0),
            Some((smoothed, deviation)) => {
                let deviation = deviation + ((smoothed - took).abs() - deviation) * self.weights.deviation;
                (smoothed + (took - smoothed) * self.weights.time, deviation)
            }
        });
    }

    /// Returns the smoothed time plus `deviations` mean deviations, or `None` before the first sample.
    #[must_use]
    pub fn bound(&self, deviations: f64) -> Option<Duration> {
        self.estimate.map(|(smoothed, deviation)| Duration::from_secs_f64(smoothed + deviations * deviation))
    }
}
