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
const WATCH: Duration = Duration::from_secs(10);
/// Time between two reads that a watcher leaves at the least.
const WATCH_GAP: Duration = Duration::from_millis(100);
/// First pause after a failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause of one that watches: what operators published meanwhile waits for it.
const WATCHER_BACKOFF: Duration = Duration::from_secs(2);
/// Longest pause of one that does not watch.
const READER_BACKOFF: Duration = Duration::from_secs(15);
/// Time after which a read that was never answered is given up.
const LOST: Duration = Duration::from_secs(30);
/// What the watcher of a failure domain is ranked by.
const WATCH_KEY: u64 = 0x77_61_74_63_68;

#[derive(Clone, Copy, Debug)]
struct Schedule {
    next: Timestamp,
    outstanding: Option<Timestamp>,
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
        let schedule = Schedule { next: now, outstanding: None, failures: 0 };
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
        let seats = view.serving_for(domain).iter().copied();
        rendezvous::pick(WATCH_KEY, seats, |seat| u64::from(seat.id)).is_none_or(|seat| seat.id == me.id)
    }

    /// Returns how long a read that is due now may wait at the platform.
    pub fn due(&mut self, now: Timestamp, resource: Resource, watches: bool, rng: &mut SmallRng) -> Option<Duration> {
        let schedule = self.schedules.get_mut(&resource)?;
        if schedule.outstanding.is_some_and(|since| now.saturating_sub(since) >= LOST) {
            schedule.outstanding = None;
        }
        // One that has just become the watcher need not wait for its next read of now and then.
        let soon = now + WATCH_GAP.mul_f64(rng.random_range(1.0..2.0));
        if watches && schedule.failures == 0 {
            schedule.next = schedule.next.min(soon);
        }
        if schedule.outstanding.is_some() || now < schedule.next {
            return None;
        }
        schedule.outstanding = Some(now);
        Some(if watches && schedule.failures == 0 { WATCH } else { Duration::ZERO })
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Timestamp, resource: Resource, watches: bool, rng: &mut SmallRng) {
        let Some(schedule) = self.schedules.get_mut(&resource) else { return };
        schedule.outstanding = None;
        schedule.failures = 0;
        let pause = if watches { WATCH_GAP } else { self.fallback.mul_f64(rng.random_range(0.5..1.5)) };
        schedule.next = now + pause;
        // The platform is back: what else was waiting for it need not wait on.
        for other in self.schedules.values_mut().filter(|other| other.failures > 0) {
            other.failures = 0;
            other.next = now;
        }
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Timestamp, resource: Resource, watches: bool, rng: &mut SmallRng) {
        let Some(schedule) = self.schedules.get_mut(&resource) else { return };
        schedule.outstanding = None;
        let longest = if watches { WATCHER_BACKOFF } else { READER_BACKOFF };
        let pause = backoff::doubled(FIRST_BACKOFF, schedule.failures, longest);
        schedule.failures = schedule.failures.saturating_add(1);
        schedule.next = now + pause.mul_f64(rng.random_range(0.5..1.0));
    }

    /// Makes all reads due at once.
    pub fn read_all_now(&mut self, now: Timestamp) {
        self.schedules.values_mut().for_each(|schedule| schedule.next = now);
    }
}
