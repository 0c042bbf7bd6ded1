//! Detects pauses of the process.
//!
//! A process may be stopped, wait for CPU time, or run on a machine that is suspended. When it continues, its state
//! is outdated and the packets in its sockets are even older: a flow that is placed then may go to a target that has
//! left or become cold in the meantime. The monotonic clock does not advance while a machine is suspended, so the
//! wall clock is checked too. A step of the wall clock is treated as a pause, which delays a few flows briefly.

use std::time::Duration;

use crate::Timestamp;

/// Time between two iterations of the event loop from which the process is considered to have been paused. Iterations
/// are at most 100 ms apart.
const MIN_PAUSE: Duration = Duration::from_millis(400);

/// Both clocks at the last iteration of the event loop.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    monotonic: Timestamp,
    wall: Duration,
}

impl PauseDetector {
    /// Creates a detector with the current time of both clocks.
    #[must_use]
    pub fn new(monotonic: Timestamp, wall: Duration) -> Self {
        Self { monotonic, wall }
    }

    /// Records both clocks at an iteration of the event loop. Returns for how long the process was paused, if it was.
    pub fn check(&mut self, monotonic: Timestamp, wall: Duration) -> Option<Duration> {
        let gap = monotonic.saturating_sub(self.monotonic).max(wall.saturating_sub(self.wall));
        *self = Self { monotonic, wall };
        (gap >= MIN_PAUSE).then_some(gap)
    }
}
