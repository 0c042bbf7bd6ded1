//! What the tasks of a process ask of its state.

use std::time::Duration;

use tokio::sync::oneshot;

use hawthornshift_core::direct::message::Handover;
use hawthornshift_core::direct::reachability::CheckOutcome;
use hawthornshift_core::direct::store_entries::Delta;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// A command to the loop that owns the state.
#[derive(Debug)]
pub enum Command {
    /// The store has answered.
    StoreSaid {
        /// What it said.
        delta: Delta,
        /// Entries that were refused.
        refused: usize,
    },
    /// A call to the store has failed.
    StoreFailed {
        /// Why.
        reason: String,
    },
    /// A target was asked for a connection.
    Checked {
        /// Which.
        target: TargetId,
        /// What came of it.
        outcome: CheckOutcome,
    },
    /// An instance has handed over what it knows, or could not be asked.
    Pulled {
        /// What came of it.
        outcome: PullOutcome,
        /// How long the question took.
        took: Duration,
    },
    /// An instance asks for what is newer than a revision.
    Handover {
        /// What it knows.
        since: Revision,
        /// Where the answer goes, encoded.
        answer: oneshot::Sender<Vec<u8>>,
    },
    /// Somebody asks for the state.
    Dump(oneshot::Sender<String>),
    /// Somebody asks for the metrics.
    Metrics(oneshot::Sender<String>),
}

/// What came of asking an instance for what it knows.
#[derive(Debug)]
pub enum PullOutcome {
    /// It has told.
    Received(Box<Handover>),
    /// It is busy telling others.
    Refused,
    /// It gave no answer that can be used.
    Failed,
}

/// Commands that may wait; the senders are a handful of tasks, each with one at a time.
pub const QUEUE: usize = 64;

/// What the reader of the store is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// Nothing.
    Rest,
    /// Watch for changes after a revision; zero stands for reading everything first.
    Watch {
        /// The revision that is known.
        after: Revision,
    },
}

/// Longest time that a pull from another instance may take; longer than a full set takes over a link of 10 Mbit/s.
pub const PULL_LIMIT: Duration = Duration::from_secs(1);
