//! Commands that the tasks of a process send to the loop that owns its state.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;

use hawthornshift_core::direct::reports::message::Handover;
use hawthornshift_core::direct::store::parts::PartPosition;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::targets::reachability::CheckOutcome;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// A command to the process loop.
#[derive(Debug)]
pub enum Command {
    /// The store has answered a read or a watch.
    StoreAnswered {
        /// Store entries of the answer.
        delta: Delta,
        /// What was refused as malformed.
        refused: RefusedEntries,
    },
    /// A call to the store failed.
    StoreFailed {
        /// Text of the error, for the log.
        reason: String,
    },
    /// A reachability check of a target has ended.
    CheckFinished {
        /// The checked target.
        target: TargetId,
        /// Result of the check.
        outcome: CheckOutcome,
    },
    /// A request for a handover to another instance has ended.
    PullFinished {
        /// The instance that was asked.
        from: SocketAddr,
        /// Result of the request.
        outcome: PullOutcome,
        /// Duration of the request.
        elapsed: Duration,
    },
    /// Another instance requests all entries newer than a revision.
    Handover {
        /// What it requests.
        request: HandoverRequest,
        /// Receives the encoded handover.
        answer: oneshot::Sender<Vec<u8>>,
    },
    /// An HTTP client requests the state dump.
    Dump(oneshot::Sender<String>),
    /// An HTTP client requests the metrics.
    Metrics(oneshot::Sender<String>),
}

/// A request of another instance for a handover.
#[derive(Clone, Copy, Debug)]
pub struct HandoverRequest {
    /// Revision up to which the other instance is synced; 0 requests a snapshot.
    pub since: Revision,
    /// Position behind which the requested part begins; `None` if everything is requested at once.
    pub after: Option<PartPosition>,
    /// Address for messages to the other instance; `None` if it did not state it.
    pub requester: Option<SocketAddr>,
}

/// Entries of the store, or fields of them, that were refused as malformed.
#[derive(Debug, Default)]
pub struct RefusedEntries {
    /// Their number.
    pub count: usize,
    /// Key of the first one.
    pub first_key: String,
    /// Reason for refusing the first one, shortened for the log.
    pub first_reason: String,
}

/// Result of a request for a handover.
#[derive(Debug)]
pub enum PullOutcome {
    /// The instance sent a handover.
    Received(Box<Handover>),
    /// The instance refused because it serves its maximum of concurrent handovers.
    Refused,
    /// The request failed, or the answer could not be decoded.
    Failed,
}

/// Capacity of the command queue. The senders are a handful of tasks, each with one command at a time.
pub const COMMAND_QUEUE_LEN: usize = 64;

/// What the store reader task does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreReaderMode {
    /// Makes no calls to the store.
    Idle,
    /// Watches for changes after a revision. Revision 0 means a full read first.
    Watch {
        /// Revision up to which the instance is synced.
        after: Revision,
    },
}

/// Timeout of a request for a handover, or a part of one, to another instance; longer than a full snapshot of the largest
/// deployment takes over a link of 10 Mbit/s.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(1);
