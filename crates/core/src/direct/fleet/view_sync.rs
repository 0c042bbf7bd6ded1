//! Rate limits for requesting and answering view comparisons.
//!
//! Updates piggybacked on heartbeats propagate single changes within a second, so an instance requests the differences
//! only once they have persisted, or when the peer knows many more members. The limits bound the load when a whole
//! fleet starts: all instances then query the few that they know, whose links would be saturated for seconds if each
//! request were answered in full at once.

use std::time::Duration;

use crate::Timestamp;
use crate::membership::PeerView;

/// Maximum number of messages that answer one request. They hold about a hundred members, enough to know other peers to
/// query next.
pub(super) const MAX_VIEW_PARTS: usize = 4;
/// Time that a difference must persist before it is requested, to let piggybacked updates resolve it.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time between two requests.
const REQUEST_PERIOD: Duration = Duration::from_millis(500);
/// Initial time between two requests while peers know many more members; it is doubled after each request that brought
/// nothing new.
const INITIAL_FAST_PERIOD: Duration = Duration::from_millis(100);
/// Number of additional members that a peer must report for requests to be accelerated. It is larger than the
/// difference that updates still in flight account for.
const FAST_MEMBER_DEFICIT: u32 = 3;
/// Maximum number of requests answered per window. With 4 messages each they take 0.8 MB/s, a third of a 20 Mbit/s
/// link.
const MAX_ANSWERS_PER_WINDOW: u32 = 16;
/// Length of the window in which answers are counted.
const ANSWER_WINDOW: Duration = Duration::from_millis(100);

/// State of the requests made and answered recently.
#[derive(Clone, Copy, Debug)]
pub(super) struct ViewSync {
    /// Since when every heartbeat received reported a different view.
    differs_since: Option<Timestamp>,
    /// Whether a peer reported many more members, and no peer with the same view has been seen since.
    fast: bool,
    last_request: Option<Timestamp>,
    fast_period: Duration,
    window_ends: Timestamp,
    answers_in_window: u32,
}

impl Default for ViewSync {
    fn default() -> Self {
        Self {
            differs_since: None,
            fast: false,
            last_request: None,
            fast_period: INITIAL_FAST_PERIOD,
            window_ends: Timestamp::ZERO,
            answers_in_window: 0,
        }
    }
}

impl ViewSync {
    /// Returns whether to send a request to a peer whose heartbeat has just arrived, given how its view compares and
    /// the number of serving members that it and this instance count.
    pub(super) fn should_request_from_sender(
        &mut self,
        now: Timestamp,
        view: PeerView,
        theirs: u32,
        ours: u32,
    ) -> bool {
        if view == PeerView::Same {
            self.differs_since = None;
            self.fast = false;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        self.fast |= theirs >= ours + FAST_MEMBER_DEFICIT;
        let settled = now.saturating_sub(since) >= SETTLE_TIME;
        self.should_request_from_any(now) || (settled && self.try_start_request(now, REQUEST_PERIOD))
    }

    /// Returns whether to send a request to an arbitrary member, because many members are unknown here.
    pub(super) fn should_request_from_any(&mut self, now: Timestamp) -> bool {
        let should_request = self.fast && self.try_start_request(now, self.fast_period);
        if should_request {
            self.fast_period = (self.fast_period * 2).min(REQUEST_PERIOD);
        }
        should_request
    }

    /// Returns when a request to an arbitrary member is due, or `None` while no such request is needed.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        let last_request = self.last_request.filter(|_| self.fast);
        last_request.map(|last_request| last_request + self.fast_period)
    }

    /// Records that an answer brought new members, so that more are likely to follow.
    pub(super) fn progress_made(&mut self) {
        self.fast_period = INITIAL_FAST_PERIOD;
    }

    fn try_start_request(&mut self, now: Timestamp, period: Duration) -> bool {
        let due = self.last_request.is_none_or(|last_request| now.saturating_sub(last_request) >= period);
        if due {
            self.last_request = Some(now);
        }
        due
    }

    /// Returns whether to answer a request received at `now`. A peer whose request is not answered soon retries with
    /// another instance.
    pub(super) fn should_answer(&mut self, now: Timestamp) -> bool {
        if now >= self.window_ends {
            self.window_ends = now + ANSWER_WINDOW;
            self.answers_in_window = 0;
        }
        self.answers_in_window += 1;
        self.answers_in_window <= MAX_ANSWERS_PER_WINDOW
    }
}
