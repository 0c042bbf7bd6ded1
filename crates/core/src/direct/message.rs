//! What instances say to each other on the direct path.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::direct::load_report::LoadReport;
use crate::direct::segment::FlowHash;
use crate::direct::store_entries::Delta;
use crate::membership::ViewDigest;
use crate::message::MemberUpdate;
use crate::message::Sequence;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// Most bytes of a datagram: below what Ethernet carries whole.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum Frame {
    /// A message whose sender introduces itself, so that one never heard of becomes known.
    WithSender {
        /// The sender as it sees itself.
        sender: MemberUpdate,
        /// What it says.
        message: Message,
    },
    /// A load report: the most frequent message, and so without an introduction.
    LoadReport(LoadReport),
}

/// What a datagram is for, as it is counted.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum FrameKind {
    /// Signs of life, with news of members.
    Heartbeat,
    /// Comparisons of views.
    View,
    /// News of the store.
    #[strum(serialize = "store-news")]
    StoreUpdate,
    /// Open work of targets.
    LoadReport,
}

impl Frame {
    /// Returns what the datagram is for.
    #[must_use]
    pub fn kind(&self) -> FrameKind {
        match self {
            Self::LoadReport(_) => FrameKind::LoadReport,
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

/// What an instance says with an introduction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum Message {
    /// Asks for a sign of life.
    Ping(Heartbeat),
    /// Answers a ping.
    Ack(Heartbeat),
    /// Asks a third instance to ping one that did not answer.
    IndirectPing {
        /// The asker's number for this try.
        sequence: Sequence,
        /// The instance that did not answer, which the third one may not know yet.
        subject: MemberUpdate,
    },
    /// Says that the instance asked about has answered.
    IndirectAck {
        /// The asker's number for this try.
        sequence: Sequence,
        /// The instance that has answered.
        subject: InstanceId,
    },
    /// Sums up the sender's view of who lives, for a peer whose view differs.
    ViewRequest(ViewDigest),
    /// Answers that with a part of what the sender knows where the views differ.
    ViewPart(Vec<MemberUpdate>),
    /// Says how far the store has been read, and perhaps what has just changed in it.
    StoreUpdate(StoreUpdate),
}

/// What an instance that watches the store tells all others, by way of a few that pass it on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreUpdate {
    /// The instance that watches, when another one passes its news on; `None` when it is the sender.
    pub watcher: Option<MemberUpdate>,
    /// How far it has read the store.
    pub announcement: Announcement,
    /// What has just changed in the store, when that is why it tells.
    pub delta: Option<Arc<Delta>>,
    /// The revision that the sender itself knows everything up to; below that of the announcement when it passes on what it
    /// has not yet got.
    pub holds: Revision,
    /// The instances to pass it on to.
    pub relay_to: Vec<InstanceId>,
}

/// A sign of life with news of members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Number of the ping.
    pub sequence: Sequence,
    /// How many members the sender believes to serve.
    pub serving: u32,
    /// Hash of the sender's view of who lives; a peer whose own differs asks for more.
    pub view: u64,
    /// The revision that the sender knows everything of the store up to; zero when it knows nothing or is about to end.
    pub revision: Revision,
    /// Time since the sender last had fresh word of the store, its own or a watcher's.
    pub age: Duration,
    /// News of members.
    pub members: Vec<MemberUpdate>,
}

/// How far an instance that watches the store has read it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The revision that it knows everything up to.
    pub revision: Revision,
    /// Time since the store last answered it.
    pub age: Duration,
    /// Whether it is about to stop: another one should take over at once.
    pub leaving: bool,
}

/// Everything that an instance which has just started needs to know.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// What the store says.
    pub delta: Delta,
    /// Open work with its age.
    pub open_requests: Vec<(FlowHash, TargetId, Duration)>,
    /// Targets that seem not to answer, and for how much longer to avoid each.
    pub avoid: Vec<(TargetId, Duration)>,
    /// The other instances.
    pub members: Vec<MemberUpdate>,
}
