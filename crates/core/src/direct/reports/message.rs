//! Messages between instances on the direct path.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::direct::flow_bindings::FlowBinding;
use crate::direct::flow_bindings::FlowBindingReport;
use crate::direct::reports::answer_time_report::AnswerTimeReport;
use crate::direct::reports::capacity_report::CapacityReport;
use crate::direct::reports::load_report::LoadReport;
use crate::direct::segment::FlowHash;
use crate::direct::store::parts::PartPosition;
use crate::direct::store::store_entries::Delta;
use crate::membership::ViewDigest;
use crate::message::MemberUpdate;
use crate::message::Sequence;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// Maximum size of a datagram, in bytes; less than an Ethernet frame carries without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum Frame {
    /// A message with a description of its sender, so that the recipient learns of senders that it did not know.
    WithSender {
        /// The sender's own description of itself.
        sender: MemberUpdate,
        /// The message.
        message: Message,
    },
    /// A load report. It is the most frequent message and therefore carries no sender description.
    LoadReport(LoadReport),
    /// How long requests took at targets.
    AnswerTimes(AnswerTimeReport),
    /// A capacity report. New kinds of messages follow as last variants, so that the encoding of the others is unchanged;
    /// instances of earlier versions count them as malformed.
    Capacity(CapacityReport),
    /// Targets at which flows are open whose cookies may identify another one.
    FlowBindings(FlowBindingReport),
}

/// Category of a datagram, as used in metrics.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum FrameKind {
    /// Pings and acks with piggybacked member updates.
    Heartbeat,
    /// View comparisons.
    View,
    /// Store updates.
    #[strum(serialize = "store-news")]
    StoreUpdate,
    /// Load reports.
    LoadReport,
    /// Answer-time reports.
    AnswerTimes,
    /// Capacity reports.
    Capacity,
    /// Flow bindings.
    FlowBindings,
}

impl Frame {
    /// Returns the category of the datagram.
    #[must_use]
    pub fn kind(&self) -> FrameKind {
        match self {
            Self::LoadReport(_) => FrameKind::LoadReport,
            Self::AnswerTimes(_) => FrameKind::AnswerTimes,
            Self::Capacity(_) => FrameKind::Capacity,
            Self::FlowBindings(_) => FrameKind::FlowBindings,
            Self::WithSender { message, .. } => match message {
                Message::Ping(_) | Message::Ack(_) | Message::IndirectPing { .. } | Message::IndirectAck { .. } => {
                    FrameKind::Heartbeat
                }
                Message::ViewRequest(_) | Message::ViewPart(_) => FrameKind::View,
                Message::StoreUpdate(_) => FrameKind::StoreUpdate,
            },
        }
    }
}

/// A message that is sent with a sender description.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum Message {
    /// Requests an ack.
    Ping(Heartbeat),
    /// Acknowledges a ping.
    Ack(Heartbeat),
    /// Asks another instance to ping one that did not respond.
    IndirectPing {
        /// The requester's sequence number of the unanswered ping.
        sequence: Sequence,
        /// The instance that did not respond, which the recipient may not know yet.
        subject: MemberUpdate,
    },
    /// Reports that the subject of an indirect ping has responded.
    IndirectAck {
        /// The requester's sequence number of the unanswered ping.
        sequence: Sequence,
        /// The instance that responded.
        subject: InstanceId,
    },
    /// Requests members from a peer whose view differs, with a digest of the sender's view.
    ViewRequest(ViewDigest),
    /// Answers a view request with some of the sender's members in the parts that differ.
    ViewPart(Vec<MemberUpdate>),
    /// Announces how far the store has been read, and optionally what has just changed in it.
    StoreUpdate(StoreUpdate),
}

/// An update that the store watcher sends to all other instances, directly or through relays.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreUpdate {
    /// The watcher if a relay forwards its update; `None` if the sender is the watcher.
    pub watcher: Option<MemberUpdate>,
    /// How far the watcher has read the store.
    pub announcement: Announcement,
    /// The change that caused the update, if there is one and it fits in a datagram.
    pub delta: Option<Arc<Delta>>,
    /// The revision up to which the sender itself is complete. It is lower than the announced revision if a relay has
    /// not received the change yet.
    pub sender_revision: Revision,
    /// The instances to relay the update to.
    pub relay_to: Vec<InstanceId>,
}

/// A ping or an ack with piggybacked member updates.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Sequence number of the ping.
    pub sequence: Sequence,
    /// Number of instances that the sender considers serving, including itself.
    pub serving: u32,
    /// Hash of the sender's membership view; a peer whose own hash differs requests the differences.
    pub view: u64,
    /// The revision of the store up to which the sender is complete; zero if it knows nothing or is about to exit.
    pub revision: Revision,
    /// Time since the sender last received fresh information about the store, from the store itself or from a watcher.
    pub age: Duration,
    /// Piggybacked member updates.
    pub members: Vec<MemberUpdate>,
}

/// How far the watcher has read the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The revision up to which the watcher is complete.
    pub revision: Revision,
    /// Time since the store last answered the watcher.
    pub age: Duration,
    /// Whether the watcher is about to stop, so that another instance should take over immediately.
    pub leaving: bool,
}

/// The state that a newly started instance needs, as sent by a peer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// Contents of the store.
    pub delta: Delta,
    /// Open requests with their ages.
    pub open_requests: Vec<(FlowHash, TargetId, Duration)>,
    /// Targets that appear unresponsive, with the remaining time to avoid each.
    pub avoid: Vec<(TargetId, Duration)>,
    /// The other instances.
    pub members: Vec<MemberUpdate>,
    /// Targets of open flows whose cookies may identify another one, with the remaining time to keep each.
    ///
    /// Encoded behind the other fields, which instances of earlier versions read alone.
    #[serde(skip)]
    pub flow_bindings: Vec<(FlowBinding, Duration)>,
    /// Position behind which the next part begins; `None` if this is the last one.
    ///
    /// Encoded behind the flow bindings. Instances of earlier versions neither request nor send parts.
    #[serde(skip)]
    pub next: Option<PartPosition>,
}
