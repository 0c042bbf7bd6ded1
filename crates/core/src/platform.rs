//! When to read the platform.
//!
//! The platform counts every call, and a waiting watch as one, so reads must not grow with the fleet. In each failure
//! domain one instance, by rank, keeps a watch open; the others hear the news from peers and read only now and then,
//! at random times, in case the watcher is cut off or stuck. After a failure reads back off, also at random, so that
//! a platform that comes back is not met by everyone at once.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::Timestamp;
use crate::backoff;
use crate::event::Resource;
use crate::maps::Map;
use crate::message::MemberUpdate;
use crate::rendezvous;
use crate::view::View;

/// How long a watch waits at the platform for something new.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time between two reads that a watcher leaves at the least.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// First pause after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause of one that watches: what operators published meanwhile waits for it.
const MAX_WATCHER_BACKOFF: Duration = Duration::from_secs(2);
/// Longest pause of one that does not watch.
const MAX_READER_BACKOFF: Duration = Duration::from_secs(15);
/// Time after which a read that was never answered is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// What the watcher of a failure domain is ranked by.
const WATCHER_RANK_KEY: u64 = 0x77_61_74_63_68;

#[derive(Clone, Copy, Debug)]
struct Schedule {
    next_read_at: Timestamp,
    pending_since: Option<Timestamp>,
    failures: u32,
}

/// When to read what.
#[derive(Clone, Debug)]
pub struct PlatformReader {
    schedules: Map<Resource, Schedule>,
    fallback: Duration,
}

impl PlatformReader {
    /// Starts with a read of everything; `fallback` is the mean time between reads of one that does not watch.
    #[must_use]
    pub fn new(now: Timestamp, fallback: Duration) -> Self {
        let schedule = Schedule { next_read_at: now, pending_since: None, failures: 0 };
        let schedules = [Resource::Set, Resource::Instances].map(|resource| (resource, schedule));
        Self { schedules: schedules.into_iter().collect(), fallback }
    }

    /// Tells whether it falls on this instance to watch the platform for its failure domain.
    ///
    /// Instances of a domain that is out have no seat; each of them watches, for the way back is news they must not
    /// miss.
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

    /// Returns how long a read that is due now may wait at the platform.
    pub fn due(&mut self, now: Timestamp, resource: Resource, watches: bool, rng: &mut SmallRng) -> Option<Duration> {
        let schedule = self.schedules.get_mut(&resource)?;
        if schedule.pending_since.is_some_and(|since| now.saturating_sub(since) >= READ_TIMEOUT) {
            schedule.pending_since = None;
        }
        // One that has just become the watcher need not wait for its next read of now and then.
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

    /// Notes an answer.
    pub fn answered(&mut self, now: Timestamp, resource: Resource, watches: bool, rng: &mut SmallRng) {
        let Some(schedule) = self.schedules.get_mut(&resource) else { return };
        schedule.pending_since = None;
        schedule.failures = 0;
        let delay = if watches { WATCH_INTERVAL } else { self.fallback.mul_f64(rng.random_range(0.5..1.5)) };
        schedule.next_read_at = now + delay;
        // The platform is back: what else was waiting for it need not wait on.
        for other in self.schedules.values_mut().filter(|other| other.failures > 0) {
            other.failures = 0;
            other.next_read_at = now;
        }
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Timestamp, resource: Resource, watches: bool, rng: &mut SmallRng) {
        let Some(schedule) = self.schedules.get_mut(&resource) else { return };
        schedule.pending_since = None;
        let max_backoff = if watches { MAX_WATCHER_BACKOFF } else { MAX_READER_BACKOFF };
        let delay = backoff::doubled(INITIAL_BACKOFF, schedule.failures, max_backoff);
        schedule.failures = schedule.failures.saturating_add(1);
        schedule.next_read_at = now + delay.mul_f64(rng.random_range(0.5..1.0));
    }

    /// Makes all reads due at once.
    pub fn read_all_now(&mut self, now: Timestamp) {
        self.schedules.values_mut().for_each(|schedule| schedule.next_read_at = now);
    }
}
