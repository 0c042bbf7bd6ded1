//! Usual answer times by route, and the time after which an answer is overdue.
//!
//! The expected fault: some or all targets complete handshakes and accept requests but never answer, while their
//! health checks succeed. Without this detection nothing fails until callers time out, which takes seconds. An answer
//! is overdue when it has taken longer than almost all answers of its route. The target is considered at fault only
//! if a request of the route that was sent later has been answered, since otherwise the path to callers or all
//! targets may be at fault.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::targets::smoothed_time::SmoothedTime;
use crate::direct::targets::smoothed_time::Weights;
use crate::maps::FixedHashMap;

/// Weights of a new sample.
const WEIGHTS: Weights = Weights { time: 0.05, deviation: 0.05 };
/// Number of answers of a route before any of its answers counts as overdue.
const MIN_SAMPLES: u32 = 20;
/// Number of mean deviations beyond the smoothed time after which an answer is overdue.
const OVERDUE_DEVIATIONS: f64 = 12.0;

/// Answer times of one route.
#[derive(Clone, Copy, Debug)]
struct RouteTimes {
    time: SmoothedTime,
    samples: u32,
    /// When the latest request that has been answered was sent.
    latest_answered: Timestamp,
}

/// Answer times of all routes.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: FixedHashMap<SocketAddrV4, RouteTimes>,
}

impl AnswerTimes {
    /// Records an answer that took `took` after its request was sent to its target at `sent`.
    pub fn answered(&mut self, route: SocketAddrV4, sent: Timestamp, took: Duration) {
        let first = RouteTimes { time: SmoothedTime::new(WEIGHTS), samples: 0, latest_answered: sent };
        let known = self.routes.entry(route).or_insert(first);
        known.time.sample(took);
        known.samples = known.samples.saturating_add(1);
        known.latest_answered = known.latest_answered.max(sent);
    }

    /// Returns the time after which an answer is overdue, or `None` while the route has too few answers.
    #[must_use]
    pub fn limit(&self, route: SocketAddrV4) -> Option<Duration> {
        let known = self.routes.get(&route).filter(|known| known.samples >= MIN_SAMPLES)?;
        known.time.bound(OVERDUE_DEVIATIONS)
    }

    /// Returns whether a request that was sent after `sent` has been answered. An overdue answer to a request sent at
    /// `sent` is then the fault of its target.
    #[must_use]
    pub fn has_later_answer(&self, route: SocketAddrV4, sent: Timestamp) -> bool {
        self.routes.get(&route).is_some_and(|known| known.latest_answered > sent)
    }

    /// Removes the routes for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(SocketAddrV4) -> bool) {
        self.routes.retain(|address, _| known(*address));
    }
}
