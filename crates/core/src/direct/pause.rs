//! Notices that the process was paused.
//!
//! A process may be paused, wait for its share of a processor, or sit on a machine that is suspended. When it goes on,
//! what it believes is old and what waits in its sockets is older: a flow that is placed then goes to a target that may
//! have left or turned cold meanwhile. A suspended machine's steady clock does not count the time, so the time of day is
//! looked at too; a step of that clock is taken for a pause, which costs a few flows a short wait.

use std::time::Duration;

use crate::Timestamp;

/// Time between two turns above which the process was paused. A turn comes every 50 ms at the least.
const LIMIT: Duration = Duration::from_millis(400);

/// The clocks at the last turn.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    steady: Timestamp,
    wall: Duration,
}

impl PauseDetector {
    /// Starts at a time of both clocks.
    #[must_use]
    pub fn new(steady: Timestamp, wall: Duration) -> Self {
        Self { steady, wall }
    }

    /// Takes in both clocks at a turn; tells for how long the process was paused if it has.
    pub fn turn(&mut self, steady: Timestamp, wall: Duration) -> Option<Duration> {
        let gap = steady.saturating_sub(self.steady).max(wall.saturating_sub(self.wall));
        *self = Self { steady, wall };
        (gap >= LIMIT).then_some(gap)
    }
}
