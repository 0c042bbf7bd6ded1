//! How long answers usually take on each route, and when one is overdue.
//!
//! The load that this answers: targets that finish handshakes, take requests and never answer, all of them or a part, while
//! their health is good. Nothing fails there until callers give up, which takes seconds. An answer is overdue when it has
//! taken longer than almost any of its route takes, and a request that went elsewhere later has been answered: it is
//! then the target that does not answer, and not the path to callers, or all targets.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::smoothed_time::SmoothedTime;
use crate::direct::smoothed_time::Weights;
use crate::maps::Map;

/// Weights of one more answer.
const WEIGHTS: Weights = Weights { time: 0.05, deviation: 0.05 };
/// Answers of a route before any is called overdue.
const ENOUGH: u32 = 20;
/// Mean deviations beyond the usual time from which on an answer is overdue.
const OVERDUE_DEVIATIONS: f64 = 12.0;

/// What is known of one route.
#[derive(Clone, Copy, Debug)]
struct Route {
    time: SmoothedTime,
    samples: u32,
    /// Start of the latest request that has been answered.
    latest_answered: Timestamp,
}

/// Times of answers on all routes.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: Map<SocketAddrV4, Route>,
}

impl AnswerTimes {
    /// Takes in the time of an answer to a request that was sent to its target at `sent`.
    pub fn answered(&mut self, route: SocketAddrV4, sent: Timestamp, took: Duration) {
        let first = Route { time: SmoothedTime::new(WEIGHTS), samples: 0, latest_answered: sent };
        let known = self.routes.entry(route).or_insert(first);
        known.time.sample(took);
        known.samples = known.samples.saturating_add(1);
        known.latest_answered = known.latest_answered.max(sent);
    }

    /// Returns the time after which an answer is overdue; `None` while too little is known of the route.
    #[must_use]
    pub fn limit(&self, route: SocketAddrV4) -> Option<Duration> {
        let known = self.routes.get(&route).filter(|known| known.samples >= ENOUGH)?;
        known.time.bound(OVERDUE_DEVIATIONS)
    }

    /// Tells whether the target is to blame for an overdue answer to a request that it was sent at `sent`, as later ones have
    /// been answered.
    #[must_use]
    pub fn has_later_answer(&self, route: SocketAddrV4, sent: Timestamp) -> bool {
        self.routes.get(&route).is_some_and(|known| known.latest_answered > sent)
    }

    /// Forgets routes that are no longer known.
    pub fn retain(&mut self, known: impl Fn(SocketAddrV4) -> bool) {
        self.routes.retain(|address, _| known(*address));
    }
}
