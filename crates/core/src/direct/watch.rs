//! Which instances watch the store.
//!
//! Every call to the store is counted, and all instances want the same news, so one watches and tells the others. It
//! is not elected: whoever hears no fresh announcement takes the duty over after a delay that grows with its rank, and
//! a watcher that hears a fresh announcement from one that ranks before it lays the duty down. Each side of a partition
//! thus gets a watcher of its own, and one that the store turns away is replaced without anybody having to notice why.

use std::time::Duration;

use crate::Timestamp;
use crate::direct::message::Announcement;
use hawthornshift_model::InstanceId;

/// Time between two announcements of a watcher.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_millis(300);
/// Age of a watcher's last answer from the store above which its announcements count for nothing. A watch without
/// news is answered after [`WATCH_WAIT`], so this leaves a slow store some 700 ms.
const STALE: Duration = Duration::from_millis(1_700);
/// How long a watch waits for a change. A connection to the store may go silent without a reset, which only a missing
/// answer shows; a change must be in force within three seconds, and a takeover needs one of them.
pub const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Silence after which the first in rank takes the duty over: three announcements, of which two may be lost.
const SILENCE: Duration = Duration::from_secs(1);
/// Further silence for each rank, long enough for the first announcement of the one before to arrive. Ranks count
/// only instances believed to live, and grow without end: while the store is down for all, only the first few should
/// go on asking it.
const STEP: Duration = Duration::from_millis(150);

/// A change of the duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleChange {
    /// Begin to watch.
    Begin,
    /// Stop watching.
    End,
}

/// Whether this instance watches the store.
#[derive(Clone, Copy, Debug)]
pub struct WatcherRole {
    watching: bool,
    /// When a fresh announcement was last heard, or this instance began to wait for one.
    heard: Timestamp,
    /// Who announced last that its word of the store is fresh.
    watcher: Option<InstanceId>,
    /// When the store last answered this instance.
    answered: Option<Timestamp>,
    next_announcement: Timestamp,
    leaving: bool,
    /// Until when the word of others about a watcher counts for nothing: the one that they mean has just said that it leaves.
    no_hearsay_until: Timestamp,
}

impl WatcherRole {
    /// Starts at a time, not watching.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            watching: false,
            heard: now,
            watcher: None,
            answered: None,
            next_announcement: now,
            leaving: false,
            no_hearsay_until: Timestamp::ZERO,
        }
    }

    /// Tells whether this instance watches.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Tells whether an instance that does not know everything yet should read the store itself: not while it watches, and
    /// not while another one does, whom it can ask. To take the duty over and lay it down at each announcement, until the
    /// other's answer has come, would cost a call each time.
    #[must_use]
    pub fn should_read(&self) -> bool {
        !self.watching && self.watcher.is_none()
    }

    /// Returns the time since this instance last had word of the store, its own or a watcher's.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Duration {
        let latest = if self.watching { self.answered.unwrap_or(Timestamp::ZERO) } else { self.heard };
        now.saturating_sub(latest)
    }

    /// Notes an answer of the store.
    pub fn answered(&mut self, now: Timestamp) {
        self.answered = Some(now);
        self.heard = now;
    }

    /// Declares that this instance is about to stop.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving = true;
        self.next_announcement = now;
    }

    /// Takes in an announcement from an instance that ranks before this one or not.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        announcement: &Announcement,
        ranks_before: bool,
    ) -> Option<RoleChange> {
        if announcement.leaving || announcement.age > STALE {
            // Counts as long silence of the one that all relied on, so that the first in rank begins at once.
            if self.watcher == Some(from) {
                self.watcher = None;
                self.heard = self.heard.min(now.saturating_sub(SILENCE));
                self.no_hearsay_until = now + SILENCE;
            }
            return None;
        }
        self.heard = now;
        self.watcher = Some(from);
        let stale = self.answered.is_none_or(|at| now.saturating_sub(at) > STALE);
        if self.watching && (ranks_before || stale || self.leaving) {
            self.watching = false;
            return Some(RoleChange::End);
        }
        None
    }

    /// Takes in from a heartbeat how long ago its sender last had fresh word of the store.
    ///
    /// Announcements are passed on, and one that should pass them on may hang. Without this, those who miss a few in a row
    /// would begin to watch although everybody around them hears a watcher.
    pub fn hear_of(&mut self, now: Timestamp, age: Duration) {
        if now >= self.no_hearsay_until {
            self.heard = self.heard.max(now.saturating_sub(age));
        }
    }

    /// Begins to watch if nobody who ranks before seems to.
    pub fn tick(&mut self, now: Timestamp, rank: u32) -> Option<RoleChange> {
        if self.watching || self.leaving {
            return None;
        }
        let timeout = SILENCE + STEP * rank;
        if now.saturating_sub(self.heard) < timeout {
            return None;
        }
        self.begin(now);
        Some(RoleChange::Begin)
    }

    /// Begins to watch whatever the others do.
    pub fn begin(&mut self, now: Timestamp) {
        self.watching = true;
        self.next_announcement = now;
    }

    /// Returns an announcement when one is due.
    pub fn announcement(&mut self, now: Timestamp, revision: u64) -> Option<Announcement> {
        let answered = self.answered?;
        if !self.watching || now < self.next_announcement || revision == 0 {
            return None;
        }
        self.next_announcement = now + ANNOUNCE_PERIOD;
        Some(Announcement { revision, age: now.saturating_sub(answered), leaving: self.leaving })
    }

    /// Asks for an announcement at once, since there is news.
    pub fn announce_now(&mut self, now: Timestamp) {
        self.next_announcement = now;
    }
}
