//! Whether a flow that finds no room may wait for a slot, or is rejected at once.
//!
//! The load that this answers: more new flows than slots come free, for as long as it lasts. A flow that waits in vain costs
//! its caller the time in which it could have asked elsewhere, and one that is served late takes a slot from one that could
//! have been in time. So a flow waits only if by the rate at which slots come free it can be served before it is late; or,
//! late, if what is left over from new flows serves it before its caller's attempt ends. After a short interruption new
//! flows leave much over, and all may wait; under lasting overload they leave nothing.

use std::collections::BTreeMap;
use std::f64::consts::LN_2;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::smoothed_time::SmoothedTime;
use crate::direct::smoothed_time::Weights;

/// Time in which half of what is known of the rate of new flows is forgotten.
const RATE_HALF: Duration = Duration::from_millis(200);
/// Part of the slots that come free meanwhile which a waiting flow may count on: newer flows overtake it.
const OWN_PART: f64 = 0.5;
/// Weights of one more answer in the time that answers take.
const ANSWER_WEIGHTS: Weights = Weights { time: 0.1, deviation: 0.1 };

/// What becomes of a flow that finds no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It waits.
    Wait,
    /// It is rejected at once: it could not be served.
    Reject,
}

/// Flows that wait for the same service.
#[derive(Clone, Copy, Debug)]
pub struct QueueDepth {
    /// Those that may still be in time.
    pub in_time: usize,
    /// The others.
    pub late: usize,
}

/// How much longer a flow may wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitBudget {
    /// Until it can no longer be in time; zero when it is late.
    pub in_time: Duration,
    /// Until its caller's attempt ends.
    pub attempt: Duration,
}

/// What is known of one service.
#[derive(Clone, Copy, Debug)]
struct ServiceRate {
    arrivals_per_second: f64,
    arrived: Timestamp,
    answer_time: SmoothedTime,
}

impl ServiceRate {
    fn new() -> Self {
        Self { arrivals_per_second: 0.0, arrived: Timestamp::ZERO, answer_time: SmoothedTime::new(ANSWER_WEIGHTS) }
    }

    fn arrivals(&self, now: Timestamp) -> f64 {
        let halves = now.saturating_sub(self.arrived).as_secs_f64() / RATE_HALF.as_secs_f64();
        self.arrivals_per_second * 0.5_f64.powf(halves)
    }
}

/// Rates at which new flows come, and times that answers take, by service.
#[derive(Clone, Debug, Default)]
pub struct ServiceRates {
    services: BTreeMap<String, ServiceRate>,
}

impl ServiceRates {
    fn entry(&mut self, service: &str) -> &mut ServiceRate {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceRate::new());
        }
        self.services.get_mut(service).expect("it was put in just before")
    }

    /// Notes a new flow.
    pub fn arrived(&mut self, now: Timestamp, service: &str) {
        let rate = self.entry(service);
        // What is forgotten by half each span, and grows by this much with each arrival, settles at the true rate.
        rate.arrivals_per_second = rate.arrivals(now) + LN_2 / RATE_HALF.as_secs_f64();
        rate.arrived = now;
    }

    /// Notes an answer that began `took` after its request was placed.
    pub fn answered(&mut self, service: &str, took: Duration) {
        self.entry(service).answer_time.sample(took);
    }

    /// Returns the rate of new flows, a second.
    #[must_use]
    pub fn arrivals(&self, now: Timestamp, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |rate| rate.arrivals(now))
    }

    /// Returns how long answers have taken of late; `None` before the first.
    #[must_use]
    pub fn answer_time(&self, service: &str) -> Option<Duration> {
        self.services.get(service).and_then(|rate| rate.answer_time.bound(0.0)).filter(|time| !time.is_zero())
    }

    /// Forgets services that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| known(name));
    }
}

/// Decides about a flow that finds no room, by the rates a second at which slots come free here and new flows come.
#[must_use]
pub fn admit(patience: WaitBudget, ahead: QueueDepth, slots_free: f64, arrivals: f64) -> Admission {
    let count = |flows: usize| f64::from(u32::try_from(flows).unwrap_or(u32::MAX)) + 1.0;
    let in_time = count(ahead.in_time) <= patience.in_time.as_secs_f64() * slots_free * OWN_PART;
    let left_over = slots_free - arrivals;
    let late = count(ahead.in_time + ahead.late) <= patience.attempt.as_secs_f64() * left_over;
    if in_time || late { Admission::Wait } else { Admission::Reject }
}
