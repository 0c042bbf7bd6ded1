//! Passive outlier detection: finds targets that return failures, from callers' acknowledgements.
//!
//! A target that fails its requests does so immediately and without work. It therefore always appears the least
//! loaded and attracts more flows the more it fails, while its health checks may succeed. Answers do not pass through
//! an instance, but callers acknowledge them: an answer that is much shorter and much faster than usual for its route
//! is assumed to be a failure. A single answer proves nothing, so a target is ejected only when a significant
//! fraction of its answers look like failures. An ejected target is only ranked behind the others: if those are all
//! full, or all targets are ejected, it is used as before.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::Timestamp;
use crate::backoff;
use crate::maps::FixedHashMap;
use hawthornshift_model::TargetId;

/// Weight of a new sample in the usual answer size and time of a route.
const BASELINE_WEIGHT: f64 = 0.02;
/// Number of answers of a route before any of its answers is classified.
const MIN_SAMPLES: u32 = 30;
/// Ratio to the usual size below which an answer is short. For sizes with a standard deviation of a factor of 1.8,
/// this applies to 6% of them.
const SHORT_RATIO: f64 = 1.0 / 3.0;
/// Ratio to the usual time below which an answer is early. For times that vary by a factor of 1.6, this applies to
/// 20% of them.
const EARLY_RATIO: f64 = 0.6;
/// Weight of a new sample in the failure rate of a target. Three failures in a row raise the rate to a third.
const FAILURE_RATE_WEIGHT: f64 = 0.15;
/// Failure rate from which a target is ejected. A healthy target appears to fail in 1% of its answers. A target that
/// fails in 40% reaches 0.29 on average and exceeds this threshold within a dozen answers, since each answer first
/// counts as a success when it begins.
const EJECTION_FAILURE_RATE: f64 = 0.3;
/// Failure rate of a target after its ejection, so that one more failure ejects it again.
const RETRIAL_FAILURE_RATE: f64 = 0.25;
/// Failure rate below which earlier ejections are forgotten.
const CLEARED_FAILURE_RATE: f64 = 0.05;
/// Time for which a target is ejected the first time. It doubles with each further ejection.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(3);
/// Longest time for which a target is ejected.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(12);
/// Time after an ejection during which only one instance tries the target, because each failure costs a caller its
/// request.
const SINGLE_INSTANCE_TRIAL_TIME: Duration = Duration::from_secs(2);

/// Time after the end of an ejection after which it no longer counts, if the target has answered nothing since.
const EJECTION_VALIDITY: Duration = Duration::from_mins(1);

/// Usual answers of a route.
#[derive(Clone, Copy, Debug)]
struct RouteBaseline {
    bytes: f64,
    seconds: f64,
    samples: u32,
}

/// Answer history of a target.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failure_rate: f64,
    ejected_until: Timestamp,
    ejections: u32,
}

/// Failure detection for all routes and targets.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    baselines: FixedHashMap<SocketAddrV4, RouteBaseline>,
    records: FixedHashMap<TargetId, Record>,
}

impl Failures {
    /// Records the size and time of an answer on a route. Returns whether it looks like a failure.
    pub fn looks_failed(&mut self, route: SocketAddrV4, bytes: u32, took: Duration) -> bool {
        let (bytes, seconds) = (f64::from(bytes), took.as_secs_f64());
        let baseline = self.baselines.entry(route).or_insert(RouteBaseline { bytes, seconds, samples: 0 });
        let failed = baseline.samples >= MIN_SAMPLES
            && bytes < baseline.bytes * SHORT_RATIO
            && seconds < baseline.seconds * EARLY_RATIO;
        baseline.bytes += (bytes - baseline.bytes) * BASELINE_WEIGHT;
        baseline.seconds += (seconds - baseline.seconds) * BASELINE_WEIGHT;
        baseline.samples = baseline.samples.saturating_add(1);
        failed
    }

    /// Records that an answer of a target has begun, observed here or by a peer.
    pub fn answered(&mut self, target: TargetId) {
        let Some(record) = self.records.get_mut(&target) else { return };
        record.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        if record.failure_rate < CLEARED_FAILURE_RATE {
            self.records.remove(&target);
        }
    }

    /// Returns the record of a target, without ejections that no longer count.
    fn current_record(&mut self, now: Timestamp, target: TargetId) -> &mut Record {
        let record = self.records.entry(target).or_default();
        if record.ejections > 0 && now >= record.ejected_until + EJECTION_VALIDITY {
            *record = Record::default();
        }
        record
    }

    /// Records that an answer of a target was a failure, observed here or by a peer. Returns whether the target is
    /// ejected for it.
    pub fn failed(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.current_record(now, target);
        record.failure_rate += (1.0 - record.failure_rate) * FAILURE_RATE_WEIGHT;
        if record.failure_rate < EJECTION_FAILURE_RATE || now < record.ejected_until {
            return false;
        }
        let ejection_time = backoff::exponential_backoff(BASE_EJECTION_TIME, record.ejections, MAX_EJECTION_TIME);
        record.ejections += 1;
        record.failure_rate = RETRIAL_FAILURE_RATE;
        record.ejected_until = now + ejection_time;
        true
    }

    /// Records that an answer of a target is overdue, observed here or by a peer. The target is ejected at once,
    /// because each further request would cost a caller its entire timeout. Returns whether the target was not
    /// ejected yet.
    pub fn overdue(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.current_record(now, target);
        record.failure_rate = record.failure_rate.max(EJECTION_FAILURE_RATE);
        self.failed(now, target)
    }

    /// Records that an overdue answer has arrived, observed here or by a peer. The target is slow rather than
    /// failing.
    pub fn answered_overdue(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            record.failure_rate = 0.0;
            record.ejected_until = record.ejected_until.min(now);
            record.ejections = record.ejections.saturating_sub(1);
        }
    }

    /// Returns whether a target is ranked behind the others. `is_retry_owner` returns whether this instance is
    /// responsible for trying it again.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp, target: TargetId, is_retry_owner: impl FnOnce() -> bool) -> bool {
        let Some(record) = self.records.get(&target).filter(|record| record.ejections > 0) else { return false };
        now < record.ejected_until || (now < record.ejected_until + SINGLE_INSTANCE_TRIAL_TIME && !is_retry_owner())
    }

    /// Returns the targets that are ranked behind the others at every instance.
    pub fn ejected(&self, now: Timestamp) -> impl Iterator<Item = TargetId> {
        self.records.keys().copied().filter(move |target| self.is_ejected(now, *target, || true))
    }

    /// Returns the number of ejected targets.
    #[must_use]
    pub fn ejected_count(&self, now: Timestamp) -> usize {
        self.records.values().filter(|record| now < record.ejected_until).count()
    }

    /// Removes the targets and routes for which `target` and `route` return false.
    pub fn retain(&mut self, target: impl Fn(TargetId) -> bool, route: impl Fn(SocketAddrV4) -> bool) {
        self.records.retain(|id, _| target(*id));
        self.baselines.retain(|address, _| route(*address));
    }
}
