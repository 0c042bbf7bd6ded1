//! Which copies of a caller's SYN this instance has received, and whether another instance may have received one.
//!
//! Callers retransmit a SYN that is not answered, and each copy takes the way that the fabric chooses at that moment. Another
//! instance that receives a copy may place the flow on a target of its own choice.

use std::time::Duration;

use crate::Timestamp;

/// Time until the next retransmission, by the number of retransmissions sent so far. There is none after the last.
const RETRANSMISSION_INTERVALS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(400)];

/// The copies of one SYN that this instance has received.
#[derive(Clone, Copy, Debug)]
pub struct SynCopies {
    /// When the latest copy was received.
    last_received: Timestamp,
    /// Number of retransmissions that the caller had sent by then.
    retransmissions: u32,
    /// Number of copies that this instance has received after the first one that it received.
    received: u32,
}

impl SynCopies {
    /// Creates the record of a SYN received at `received_at` after the given number of retransmissions.
    #[must_use]
    pub fn new(received_at: Timestamp, retransmissions: u32) -> Self {
        Self { last_received: received_at, retransmissions, received: 0 }
    }

    /// Records another copy.
    pub fn record(&mut self, now: Timestamp, retransmissions: u32) {
        self.last_received = now;
        self.retransmissions = retransmissions;
        self.received += 1;
    }

    /// Returns whether the caller may have sent a copy by `time` that this instance has not received.
    #[must_use]
    pub fn may_have_bypassed(&self, time: Timestamp) -> bool {
        let interval = usize::try_from(self.retransmissions)
            .ok()
            .and_then(|retransmissions| RETRANSMISSION_INTERVALS.get(retransmissions));
        self.received != self.retransmissions || interval.is_some_and(|interval| time >= self.last_received + *interval)
    }
}
