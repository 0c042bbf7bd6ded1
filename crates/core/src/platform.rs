//! Schedule of the reads from the platform.
//!
//! The platform counts every call, and a pending watch as one call, so the number of reads must not grow with the
//! fleet. In each failure domain one instance, chosen by rendezvous hashing, keeps a watch open. The others receive
//! changes from peers, and read the platform only rarely, at random intervals, in case the watcher is partitioned or
//! stuck. After a failure, reads back off with jitter, so that the instances do not all read at once when the platform
//! recovers.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::Timestamp;
use crate::backoff;
use crate::event::Resource;
use crate::maps::FixedHashMap;
use crate::message::MemberUpdate;
use crate::rendezvous;
use crate::view::View;

/// Time for which the platform keeps a watch pending without a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Minimum time between the answer to a watch and the next watch.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum delay after the first failure; it doubles with every further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum delay of a watcher after failures. It is short, because published changes wait for the watcher.
const MAX_WATCHER_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum delay after failures of an instance that does not watch.
const MAX_READER_BACKOFF: Duration = Duration::from_secs(15);
/// Time after which a read without an answer is abandoned.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Rendezvous hashing key that ranks the instances of a failure domain for the watch; ASCII for `watch`.
const WATCHER_RANK_KEY: u64 = 0x77_61_74_63_68;

#[derive(Clone, Copy, Debug)]
struct Schedule {
    next_read_at: Timestamp,
    pending_since: Option<Timestamp>,
    failures: u32,
}

/// Decides when this instance reads each resource of the platform.
#[derive(Clone, Debug)]
pub struct PlatformReader {
    schedules: FixedHashMap<Resource, Schedule>,
    fallback: Duration,
}

impl PlatformReader {
    /// Creates a schedule in which all reads are due at `now`; `fallback` is the mean time between two reads of an
    /// instance that does not watch.
    #[must_use]
    pub fn new(now: Timestamp, fallback: Duration) -> Self {
        let schedule = Schedule { next_read_at: now, pending_since: None, failures: 0 };
        let schedules = [Resource::Set, Resource::Instances].map(|resource| (resource, schedule));
        Self { schedules: schedules.into_iter().collect(), fallback }
    }

    /// Returns whether this instance watches the platform for its failure domain.
    ///
    /// Instances of a domain that is out of service are not part of the view. Each of them watches, because none may
    /// miss the change that returns the domain to service.
    #[must_use]
    pub fn watches(view: &View, me: &MemberUpdate) -> bool {
        let Some(domain) = view.catalog().domain_index(&me.failure_domain) else { return true };
        if !view.serves(me.id) {
            return true;
        }
        let instances = view.serving_for(domain).iter().copied();
        rendezvous::pick(WATCHER_RANK_KEY, instances, |instance| u64::from(instance.id))
            .is_none_or(|instance| instance.id == me.id)
    }

    /// Starts a read of `resource` if one is due now, and returns the time for which the platform may keep it pending:
    /// zero for a plain read. Returns `None` if no read is due.
    pub fn due(&mut self, now: Timestamp, resource: Resource, watches: bool, rng: &mut SmallRng) -> Option<Duration> {
        let schedule = self.schedules.get_mut(&resource)?;
        if schedule.pending_since.is_some_and(|since| now.saturating_sub(since) >= READ_TIMEOUT) {
            schedule.pending_since = None;
        }
        // An instance that has just become the watcher does not wait for its next fallback read.
        let next_watch_at = now + WATCH_INTERVAL.mul_f64(rng.random_range(1.0..2.0));
        if watches && schedule.failures == 0 {
            schedule.next_read_at = schedule.next_read_at.min(next_watch_at);
        }
        if schedule.pending_since.is_some() || now < schedule.next_read_at {
            return None;
        }
        schedule.pending_since = Some(now);
        Some(if watches && schedule.failures == 0 { WATCH_WAIT } else { Duration::ZERO })
    }

    /// Records an answer to a read, and schedules the next one.
    pub fn answered(&mut self, now: Timestamp, resource: Resource, watches: bool, rng: &mut SmallRng) {
        let Some(schedule) = self.schedules.get_mut(&resource) else { return };
        schedule.pending_since = None;
        schedule.failures = 0;
        let delay = if watches { WATCH_INTERVAL } else { self.fallback.mul_f64(rng.random_range(0.5..1.5)) };
        schedule.next_read_at = now + delay;
        // The platform answers again, so reads of other resources need not wait for their backoff.
        for other in self.schedules.values_mut().filter(|other| other.failures > 0) {
            other.failures = 0;
            other.next_read_at = now;
        }
    }

    /// Records a failed read, and schedules the next one after a backoff.
    pub fn failed(&mut self, now: Timestamp, resource: Resource, watches: bool, rng: &mut SmallRng) {
        let Some(schedule) = self.schedules.get_mut(&resource) else { return };
        schedule.pending_since = None;
        let max_backoff = if watches { MAX_WATCHER_BACKOFF } else { MAX_READER_BACKOFF };
        let delay = backoff::exponential_backoff(INITIAL_BACKOFF, schedule.failures, max_backoff);
        schedule.failures = schedule.failures.saturating_add(1);
        schedule.next_read_at = now + delay.mul_f64(rng.random_range(0.5..1.0));
    }

    /// Makes the reads of all resources due now.
    pub fn read_all_now(&mut self, now: Timestamp) {
        self.schedules.values_mut().for_each(|schedule| schedule.next_read_at = now);
    }
}
