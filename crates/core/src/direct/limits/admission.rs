//! Decides whether a flow for which no target has room waits for a slot or is rejected at once.
//!
//! The expected load: new flows arrive faster than slots become free, for an unlimited time. A flow that waits in
//! vain costs its caller the time in which it could have tried elsewhere, and a flow that is served late takes a slot
//! from one that could have been in time. So a flow waits only if, at the rate at which slots become free, it can be
//! served before it is late, or if the capacity that new flows leave over can serve it before its caller's attempt
//! ends. After a short interruption new flows leave much capacity over, and all flows may wait. Under lasting
//! overload they leave none.

use std::collections::BTreeMap;
use std::f64::consts::LN_2;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::targets::smoothed_time::SmoothedTime;
use crate::direct::targets::smoothed_time::Weights;

/// Half-life of the measured arrival rate of new flows.
const RATE_HALF_LIFE: Duration = Duration::from_millis(200);
/// Fraction of the slots that become free while a flow waits that it may expect to get. Newer flows are served before
/// it and take the others.
const USABLE_SLOT_FRACTION: f64 = 0.5;
/// Weights of a new sample in the answer time of a service.
const ANSWER_TIME_WEIGHTS: Weights = Weights { time: 0.1, deviation: 0.1 };

/// Decision about a flow for which no target has room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The flow waits in the pending queue.
    Wait,
    /// The flow is rejected at once, because it could not be served.
    Reject,
}

/// Number of pending flows of a service.
#[derive(Clone, Copy, Debug)]
pub struct QueueDepth {
    /// Flows that can still be in time.
    pub in_time: usize,
    /// Flows that are late.
    pub late: usize,
}

/// How much longer a flow may wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitBudget {
    /// Time until it can no longer be in time. Zero if it is late.
    pub in_time: Duration,
    /// Time until its caller's attempt ends.
    pub attempt: Duration,
}

/// Measurements of one service.
#[derive(Clone, Copy, Debug)]
struct ServiceRate {
    arrivals_per_second: f64,
    last_arrival: Timestamp,
    answer_time: SmoothedTime,
}

impl ServiceRate {
    fn new() -> Self {
        Self {
            arrivals_per_second: 0.0,
            last_arrival: Timestamp::ZERO,
            answer_time: SmoothedTime::new(ANSWER_TIME_WEIGHTS),
        }
    }

    fn arrivals(&self, now: Timestamp) -> f64 {
        let half_lives = now.saturating_sub(self.last_arrival).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.arrivals_per_second * 0.5_f64.powf(half_lives)
    }
}

/// Arrival rates of new flows and answer times, by service.
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

    /// Records the arrival of a new flow.
    pub fn arrived(&mut self, now: Timestamp, service: &str) {
        let rate = self.entry(service);
        // An exponentially decaying sum with this increment for each arrival converges to the actual rate.
        rate.arrivals_per_second = rate.arrivals(now) + LN_2 / RATE_HALF_LIFE.as_secs_f64();
        rate.last_arrival = now;
    }

    /// Records an answer that began `took` after its request was placed.
    pub fn answered(&mut self, service: &str, took: Duration) {
        self.entry(service).answer_time.sample(took);
    }

    /// Returns the arrival rate of new flows, per second.
    #[must_use]
    pub fn arrivals(&self, now: Timestamp, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |rate| rate.arrivals(now))
    }

    /// Returns the smoothed answer time, or `None` before the first answer.
    #[must_use]
    pub fn answer_time(&self, service: &str) -> Option<Duration> {
        self.services.get(service).and_then(|rate| rate.answer_time.bound(0.0)).filter(|time| !time.is_zero())
    }

    /// Removes the services for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| known(name));
    }
}

/// Decides about a flow for which no target has room.
///
/// `slots_free_per_second` is the rate at which slots become free for this instance, `arrivals_per_second` the
/// arrival rate of new flows.
#[must_use]
pub fn admit(
    wait_budget: WaitBudget,
    queue_depth: QueueDepth,
    slots_free_per_second: f64,
    arrivals_per_second: f64,
) -> Admission {
    let count = |flows: usize| f64::from(u32::try_from(flows).unwrap_or(u32::MAX)) + 1.0;
    let in_time =
        count(queue_depth.in_time) <= wait_budget.in_time.as_secs_f64() * slots_free_per_second * USABLE_SLOT_FRACTION;
    let left_over = slots_free_per_second - arrivals_per_second;
    let late = count(queue_depth.in_time + queue_depth.late) <= wait_budget.attempt.as_secs_f64() * left_over;
    if in_time || late { Admission::Wait } else { Admission::Reject }
}
