//! Selection of the instances that watch the store.
//!
//! Every call to the store is counted, and all instances need the same updates, so one instance watches the store and
//! announces its updates to the others. There is no election. An instance that receives no fresh announcement takes
//! over the watcher role after a delay that grows with its rank, and a watcher that receives a fresh announcement from
//! an instance that ranks before it releases the role. Each side of a partition thus gets its own watcher, and a
//! watcher that the store rejects is replaced without anyone having to detect the reason.

use std::time::Duration;

use crate::Timestamp;
use crate::direct::reports::message::Announcement;
use hawthornshift_model::InstanceId;

/// Time between two announcements of a watcher.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_millis(300);
/// Maximum age of a watcher's last answer from the store for its announcements to count. A watch without changes is
/// answered after [`WATCH_WAIT`], so this leaves a slow store about 700 ms.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_700);
/// Time that a watch waits for a change. A connection to the store may stall without a reset, which only a missing
/// answer reveals; a change must take effect within three seconds, and a takeover needs one of them.
pub const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time without a fresh announcement after which the instance that ranks first takes over the role: three
/// announcements, of which two may be lost.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Additional time for each rank, long enough for the first announcement of the preceding instance to arrive. Ranks
/// count only instances considered alive and are unbounded, so that only the first few instances keep querying the
/// store while it is down for all.
const TAKEOVER_RANK_DELAY: Duration = Duration::from_millis(150);

/// A change of the watcher role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleChange {
    /// Start watching.
    Start,
    /// Stop watching.
    Stop,
}

/// This instance's state in the selection of the watcher.
#[derive(Clone, Copy, Debug)]
pub struct WatcherRole {
    watching: bool,
    /// When the last fresh announcement arrived, or when this instance started to wait for one.
    last_fresh: Timestamp,
    /// The instance that sent the last fresh announcement.
    watcher: Option<InstanceId>,
    /// When the store last answered this instance.
    last_answer: Option<Timestamp>,
    next_announcement: Timestamp,
    leaving: bool,
    /// Until when the ages reported in heartbeats are ignored: they refer to a watcher that has just announced that it
    /// leaves.
    ignore_heartbeat_ages_until: Timestamp,
}

impl WatcherRole {
    /// Creates the state at `now`, not watching.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            watching: false,
            last_fresh: now,
            watcher: None,
            last_answer: None,
            next_announcement: now,
            leaving: false,
            ignore_heartbeat_ages_until: Timestamp::ZERO,
        }
    }

    /// Returns whether this instance watches the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Returns whether an instance that is not synchronized yet should read the store itself. It should not while it
    /// watches, nor while another instance does, which it can ask. Otherwise it would take over and release the role at
    /// each announcement until the other instance's answer arrives, at the cost of a store call each time.
    #[must_use]
    pub fn should_read(&self) -> bool {
        !self.watching && self.watcher.is_none()
    }

    /// Returns the time since this instance last received fresh information about the store, from the store itself or
    /// from a watcher.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Duration {
        let latest = if self.watching { self.last_answer.unwrap_or(Timestamp::ZERO) } else { self.last_fresh };
        now.saturating_sub(latest)
    }

    /// Records an answer of the store.
    pub fn record_store_answer(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
        self.last_fresh = now;
    }

    /// Records that this instance is about to stop.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving = true;
        self.next_announcement = now;
    }

    /// Handles an announcement; `ranks_before` is whether its sender ranks before this instance.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        announcement: &Announcement,
        ranks_before: bool,
    ) -> Option<RoleChange> {
        if announcement.leaving || announcement.age > MAX_ANSWER_AGE {
            // Treated as if the watcher's announcements had been missing for the takeover timeout, so that the instance
            // that ranks first takes over immediately.
            if self.watcher == Some(from) {
                self.watcher = None;
                self.last_fresh = self.last_fresh.min(now.saturating_sub(TAKEOVER_TIMEOUT));
                self.ignore_heartbeat_ages_until = now + TAKEOVER_TIMEOUT;
            }
            return None;
        }
        self.last_fresh = now;
        self.watcher = Some(from);
        let stale = self.last_answer.is_none_or(|at| now.saturating_sub(at) > MAX_ANSWER_AGE);
        if self.watching && (ranks_before || stale || self.leaving) {
            self.watching = false;
            return Some(RoleChange::Stop);
        }
        None
    }

    /// Handles the age from a heartbeat: the time since its sender last received fresh information about the store.
    ///
    /// Announcements are relayed, and a relay may hang. Without this, instances that miss several announcements in a
    /// row would start to watch although their peers receive a watcher's announcements.
    pub fn receive_heartbeat_age(&mut self, now: Timestamp, age: Duration) {
        if now >= self.ignore_heartbeat_ages_until {
            self.last_fresh = self.last_fresh.max(now.saturating_sub(age));
        }
    }

    /// Returns whether the instance that ranks first would take over the watcher role now.
    #[must_use]
    pub fn may_take_over(&self, now: Timestamp) -> bool {
        !self.watching && !self.leaving && now.saturating_sub(self.last_fresh) >= TAKEOVER_TIMEOUT
    }

    /// Takes over the watcher role if no instance that ranks before this one appears to hold it; `rank` is the number
    /// of live instances that do.
    pub fn tick(&mut self, now: Timestamp, rank: u32) -> Option<RoleChange> {
        let timeout = TAKEOVER_TIMEOUT + TAKEOVER_RANK_DELAY * rank;
        if !self.may_take_over(now) || now.saturating_sub(self.last_fresh) < timeout {
            return None;
        }
        self.start(now);
        Some(RoleChange::Start)
    }

    /// Starts to watch regardless of the other instances.
    pub fn start(&mut self, now: Timestamp) {
        self.watching = true;
        self.next_announcement = now;
    }

    /// Returns when the next announcement is due, or `None` while this instance does not watch the store.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        (self.watching && self.last_answer.is_some()).then_some(self.next_announcement)
    }

    /// Returns an announcement if one is due.
    pub fn announcement(&mut self, now: Timestamp, revision: u64) -> Option<Announcement> {
        let last_answer = self.last_answer?;
        if !self.watching || now < self.next_announcement || revision == 0 {
            return None;
        }
        self.next_announcement = now + ANNOUNCE_PERIOD;
        Some(Announcement { revision, age: now.saturating_sub(last_answer), leaving: self.leaving })
    }

    /// Makes an announcement due immediately, because the store changed.
    pub fn announce_now(&mut self, now: Timestamp) {
        self.next_announcement = now;
    }
}
