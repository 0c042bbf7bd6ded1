//! When an instance asks another one for what its own view lacks, and how often it answers.
//!
//! News on heartbeats settles single changes within a second, so a difference is asked about only once it has lasted, or
//! when the peer knows of many more. The load that the limits answer: a whole fleet starts and all ask the few that they
//! know, whose links would be full for seconds if each got everything at once.

use std::time::Duration;

use crate::Timestamp;
use crate::membership::PeerView;

/// Most messages that answer one request: about a hundred members, enough to have others to ask.
pub(super) const MAX_PARTS: usize = 4;
/// Time for which a difference is left to the news on heartbeats.
const SETTLE: Duration = Duration::from_millis(300);
/// Time between two requests.
const PERIOD: Duration = Duration::from_millis(500);
/// The same while peers know of many more members, doubled after each request that brought nothing.
const HURRIED_PERIOD: Duration = Duration::from_millis(100);
/// Members that a peer must count more for a request to be hurried: more than news of a moment accounts for.
const MANY_MORE: u32 = 3;
/// Requests answered in one window. Of 4 messages each they take 0.8 MB/s, a third of a link of 20 Mbit/s.
const ANSWERS: u32 = 16;
/// Length of the window.
const WINDOW: Duration = Duration::from_millis(100);

/// Requests made and answered of late.
#[derive(Clone, Copy, Debug)]
pub(super) struct ViewSync {
    /// Since when every peer that was heard has had another view.
    differs_since: Option<Timestamp>,
    /// Whether a peer has counted many more members, and none with the same view has been heard since.
    hurried: bool,
    asked: Option<Timestamp>,
    hurried_period: Duration,
    window_ends: Timestamp,
    answered: u32,
}

impl Default for ViewSync {
    fn default() -> Self {
        Self {
            differs_since: None,
            hurried: false,
            asked: None,
            hurried_period: HURRIED_PERIOD,
            window_ends: Timestamp::ZERO,
            answered: 0,
        }
    }
}

impl ViewSync {
    /// Tells whether to ask a peer that has just been heard, by its view and how many members it and this instance count.
    pub(super) fn asks_sender(&mut self, now: Timestamp, view: PeerView, theirs: u32, ours: u32) -> bool {
        if view == PeerView::Same {
            self.differs_since = None;
            self.hurried = false;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        self.hurried |= theirs >= ours + MANY_MORE;
        let settled = now.saturating_sub(since) >= SETTLE;
        self.asks_anybody(now) || (settled && self.is_due(now, PERIOD))
    }

    /// Tells whether to ask any member, since much is unknown here.
    pub(super) fn asks_anybody(&mut self, now: Timestamp) -> bool {
        let asks = self.hurried && self.is_due(now, self.hurried_period);
        if asks {
            self.hurried_period = (self.hurried_period * 2).min(PERIOD);
        }
        asks
    }

    /// Notes that an answer has brought something new, so that more is likely to come.
    pub(super) fn gained(&mut self) {
        self.hurried_period = HURRIED_PERIOD;
    }

    fn is_due(&mut self, now: Timestamp, period: Duration) -> bool {
        let due = self.asked.is_none_or(|asked| now.saturating_sub(asked) >= period);
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// Tells whether to answer a request that has come now; one that is not answered goes to another peer soon.
    pub(super) fn answers(&mut self, now: Timestamp) -> bool {
        if now >= self.window_ends {
            self.window_ends = now + WINDOW;
            self.answered = 0;
        }
        self.answered += 1;
        self.answered <= ANSWERS
    }
}
