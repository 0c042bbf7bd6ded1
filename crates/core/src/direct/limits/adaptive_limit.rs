//! Adaptive limit on the open requests of an instance with a service's targets in one failure domain, while these
//! targets are overloaded.
//!
//! The expected load: more requests than all targets together can serve, through many instances at once. The requests
//! that one instance places become known to others only after a delay, and never outside its failure domain. So each
//! instance assumes that there is capacity, the queues of the targets fill up, and each request that a target sheds
//! costs its caller an attempt. A flow that waits in the instance instead can still be served in the best order, or
//! be rejected at once.
//!
//! Targets do not report overload. An instance detects it when most answers take far longer than before. It then
//! decreases its limit, and increases it again while answers are as fast as before the overload (additive increase,
//! multiplicative decrease). The limit never falls below the instance's share of the slots, since this load cannot
//! overload the targets. Each failure domain has a limit of its own, because callers may concentrate in one domain
//! while others have free slots.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;

/// Ratio to the unloaded answer time above which an answer is slow. As much time has then been spent on waiting as on
/// the request.
const SLOW_RATIO: f64 = 2.0;
/// Fraction of slow answers from which targets count as overloaded, as opposed to only some of them being slow.
const OVERLOADED_FRACTION: f64 = 0.5;
/// Fraction of slow answers below which the limit is removed.
const RECOVERED_FRACTION: f64 = 0.1;
/// Factor by which the limit is multiplied at a decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Weight of a new sample in the fraction of slow answers.
const SLOW_FRACTION_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the unloaded answer time.
const UNLOADED_TIME_WEIGHT: f64 = 0.02;
/// Fraction of an instance's share of the slots up to which it counts as unloaded.
const UNLOADED_SHARE_FRACTION: f64 = 0.5;

/// Time without an answer after which a limit is removed. Its evidence is the times of answers, and targets that have
/// answered nothing for so long have no requests of this instance left.
const LIMIT_VALIDITY: Duration = Duration::from_secs(10);

/// Open requests and slots of an instance, for all targets of a service or those in one failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Number of requests that the instance has open.
    pub open: u32,
    /// Number of slots that the instance may use.
    pub share: f64,
}

/// The limit for one service in one failure domain.
#[derive(Clone, Copy, Debug)]
struct DomainLimit {
    /// Mean answer time while the targets are not overloaded, in seconds.
    unloaded_seconds: f64,
    /// Fraction of slow answers.
    slow_fraction: f64,
    /// Maximum number of open requests, or `None` while the targets are not overloaded.
    size: Option<f64>,
    next_decrease: Timestamp,
    last_answer: Timestamp,
}

impl DomainLimit {
    fn new(now: Timestamp, unloaded_seconds: f64) -> Self {
        Self { unloaded_seconds, slow_fraction: 0.0, size: None, next_decrease: Timestamp::ZERO, last_answer: now }
    }

    fn answered(&mut self, now: Timestamp, took: Duration, usage: impl FnOnce() -> Usage) {
        self.last_answer = now;
        let seconds = took.as_secs_f64();
        let slow = seconds > self.unloaded_seconds * SLOW_RATIO;
        self.slow_fraction += (f64::from(u8::from(slow)) - self.slow_fraction) * SLOW_FRACTION_WEIGHT;
        if self.size.is_none() && self.slow_fraction < RECOVERED_FRACTION {
            self.unloaded_seconds += (seconds - self.unloaded_seconds) * UNLOADED_TIME_WEIGHT;
            return;
        }
        let usage = usage();
        let open = f64::from(usage.open);
        if open <= usage.share * UNLOADED_SHARE_FRACTION {
            self.unloaded_seconds += (seconds - self.unloaded_seconds) * UNLOADED_TIME_WEIGHT;
        }
        match self.size {
            _ if self.slow_fraction >= OVERLOADED_FRACTION => {
                if now >= self.next_decrease {
                    self.size = Some((self.size.unwrap_or(open).min(open) * DECREASE_FACTOR).max(usage.share));
                    // Answers to requests that were already open reflect the load before the decrease.
                    self.next_decrease = now + took;
                }
            }
            Some(_) if self.slow_fraction < RECOVERED_FRACTION => self.size = None,
            Some(size) if open + 1.0 >= size => self.size = Some(size + 1.0 / size),
            Some(_) | None => {}
        }
    }
}

/// The limits of all services and failure domains.
#[derive(Clone, Debug, Default)]
pub struct AdaptiveLimits {
    services: BTreeMap<String, BTreeMap<String, DomainLimit>>,
}

impl AdaptiveLimits {
    /// Records an answer from a target of a service and failure domain, which began `took` after the request was
    /// placed.
    pub fn answered(
        &mut self,
        now: Timestamp,
        service: &str,
        domain: &str,
        took: Duration,
        usage: impl FnOnce() -> Usage,
    ) {
        let known = self.services.get_mut(service).and_then(|domains| domains.get_mut(domain));
        if let Some(limit) = known {
            limit.answered(now, took, usage);
        } else {
            // The first answers from a failure domain that is used only under load would otherwise be taken for
            // unloaded ones.
            let domains = self.services.entry(service.to_owned()).or_default();
            let least = domains.values().map(|limit| limit.unloaded_seconds).reduce(f64::min);
            domains.insert(domain.to_owned(), DomainLimit::new(now, least.unwrap_or(took.as_secs_f64())));
        }
    }

    /// Returns the maximum number of open requests with a service's targets in a failure domain, or `None` while they
    /// are not overloaded.
    #[must_use]
    pub fn size(&self, service: &str, domain: &str) -> Option<f64> {
        self.services.get(service)?.get(domain)?.size
    }

    /// Removes the limits whose targets have answered nothing for `LIMIT_VALIDITY`.
    pub fn expire(&mut self, now: Timestamp) {
        for limit in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            if now.saturating_sub(limit.last_answer) >= LIMIT_VALIDITY {
                limit.size = None;
                limit.slow_fraction = 0.0;
            }
        }
    }

    /// Returns whether a limit is in force for a service in any failure domain.
    #[must_use]
    pub fn is_limited(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|domains| domains.values().any(|limit| limit.size.is_some()))
    }

    /// Returns the services of which a limit is in force.
    pub fn overloaded(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str).filter(|service| self.is_limited(service))
    }

    /// Returns whether a limit is in force for at least half of the failure domains with targets of a service. The
    /// others are then about to be overloaded too, since flows move there.
    #[must_use]
    pub fn is_widespread(&self, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|domains| domains.values().filter(|limit| limit.size.is_some()).count() * 2 >= domains.len())
    }

    /// Returns the number of limits in force.
    #[must_use]
    pub fn count(&self) -> usize {
        self.services.values().flat_map(BTreeMap::values).filter(|limit| limit.size.is_some()).count()
    }

    /// Removes the services for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| known(name));
    }
}
