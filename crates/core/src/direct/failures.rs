//! Passive outlier detection: which targets answer with failures, from what callers' acknowledgements show.
//!
//! A target that fails its requests does so at once and without work, so it always looks the least busy and draws the
//! more flows the worse it is; its health check may succeed all the while. Answers do not pass through an instance, but a
//! caller acknowledges them: an answer that is far shorter than its route's usual one, and far sooner there, is taken for a
//! failure. A single answer proves nothing, so a target is set aside only when a good part of its answers look so, and
//! only behind the others: if they are all full, or all look ill, it is used as before.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::Timestamp;
use crate::backoff;
use crate::maps::Map;
use hawthornshift_model::TargetId;

/// Weight of one more answer in a route's usual size and time.
const USUAL_WEIGHT: f64 = 0.02;
/// Answers of a route before any is judged.
const ENOUGH: u32 = 30;
/// Part of the usual size below which an answer is short. Of sizes that differ by a factor of 1.8 (one standard deviation)
/// 6% are.
const SHORT: f64 = 1.0 / 3.0;
/// Part of the usual time below which an answer is early. Of times that differ by a factor of 1.6, 20% are.
const EARLY: f64 = 0.6;
/// Weight of one more answer in a target's part of failures: a third is reached by three failures in a row.
const WEIGHT: f64 = 0.15;
/// Part of failures above which a target is set aside. A healthy one seems to fail in 1% of its answers; one that fails
/// 40% comes to 0.29 on average and passes this within a dozen, since each answer first counts as good, when it begins.
const MANY: f64 = 0.3;
/// Part of failures from which a target that was set aside starts anew, so that one more failure sets it aside again.
const ON_TRIAL: f64 = 0.25;
/// Part of failures below which earlier times aside are forgotten.
const CLEARED: f64 = 0.05;
/// How long a target is set aside for the first time; doubled each further time.
const FIRST_ASIDE: Duration = Duration::from_secs(3);
/// Longest time for which a target is set aside.
const LONGEST_ASIDE: Duration = Duration::from_secs(12);
/// Time for which only one instance tries a target that was set aside: each failure costs a caller its request.
const ONE_TRIES: Duration = Duration::from_secs(2);

/// What is usual for a route.
#[derive(Clone, Copy, Debug)]
struct Usual {
    bytes: f64,
    seconds: f64,
    samples: u32,
}

/// How a target has answered.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failing: f64,
    aside_until: Timestamp,
    times_aside: u32,
}

/// Answers of all routes and targets.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    usual: Map<SocketAddrV4, Usual>,
    records: Map<TargetId, Record>,
}

impl Failures {
    /// Takes in the size and time of an answer on a route; tells whether it looks like a failure.
    pub fn looks_failed(&mut self, route: SocketAddrV4, bytes: u32, took: Duration) -> bool {
        let (bytes, seconds) = (f64::from(bytes), took.as_secs_f64());
        let usual = self.usual.entry(route).or_insert(Usual { bytes, seconds, samples: 0 });
        let failed = usual.samples >= ENOUGH && bytes < usual.bytes * SHORT && seconds < usual.seconds * EARLY;
        usual.bytes += (bytes - usual.bytes) * USUAL_WEIGHT;
        usual.seconds += (seconds - usual.seconds) * USUAL_WEIGHT;
        usual.samples = usual.samples.saturating_add(1);
        failed
    }

    /// Notes that a target's answer has begun, here or at a peer.
    pub fn answered(&mut self, target: TargetId) {
        let Some(record) = self.records.get_mut(&target) else { return };
        record.failing *= 1.0 - WEIGHT;
        if record.failing < CLEARED {
            self.records.remove(&target);
        }
    }

    /// Notes that a target's answer was a failure, here or at a peer; tells whether the target is set aside for it.
    pub fn failed(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        record.failing += (1.0 - record.failing) * WEIGHT;
        if record.failing < MANY || now < record.aside_until {
            return false;
        }
        let aside = backoff::doubled(FIRST_ASIDE, record.times_aside, LONGEST_ASIDE);
        record.times_aside += 1;
        record.failing = ON_TRIAL;
        record.aside_until = now + aside;
        true
    }

    /// Notes that an answer of a target is overdue, here or at a peer: the target is set aside at once, as each further
    /// request would cost a caller all the time that it has. Tells whether it was not yet.
    pub fn overdue(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        record.failing = record.failing.max(MANY);
        self.failed(now, target)
    }

    /// Notes that an answer that was overdue has come after all, here or at a peer: its target is slow.
    pub fn answered_overdue(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            record.failing = 0.0;
            record.aside_until = record.aside_until.min(now);
            record.times_aside = record.times_aside.saturating_sub(1);
        }
    }

    /// Tells whether a target should get flows only behind the others; `mine` tells whether it is this instance's task to
    /// try it again.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp, target: TargetId, mine: impl FnOnce() -> bool) -> bool {
        let Some(record) = self.records.get(&target).filter(|record| record.times_aside > 0) else { return false };
        now < record.aside_until || (now < record.aside_until + ONE_TRIES && !mine())
    }

    /// Returns how many targets are set aside.
    #[must_use]
    pub fn ejected_count(&self, now: Timestamp) -> usize {
        self.records.values().filter(|record| now < record.aside_until).count()
    }

    /// Forgets targets and routes that are no longer known.
    pub fn retain(&mut self, target: impl Fn(TargetId) -> bool, route: impl Fn(SocketAddrV4) -> bool) {
        self.records.retain(|id, _| target(*id));
        self.usual.retain(|address, _| route(*address));
    }
}
