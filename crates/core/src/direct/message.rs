//! What instances say to each other on the direct path.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::facts::Delta;
use crate::direct::load_report::LoadReport;
use crate::direct::segment::FlowHash;
use crate::message::MemberUpdate;
use crate::message::Sequence;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum Frame {
    /// A message whose sender introduces itself, so that one never heard of becomes known.
    Introduced {
        /// The sender as it sees itself.
        sender: MemberUpdate,
        /// What it says.
        message: Message,
    },
    /// A load report: the most frequent message, and so without an introduction.
    LoadReport(LoadReport),
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
        /// The instance that did not answer.
        subject: InstanceId,
    },
    /// Says that the instance asked about has answered.
    IndirectAck {
        /// The asker's number for this try.
        sequence: Sequence,
        /// The instance that has answered.
        subject: InstanceId,
    },
    /// Says how far the sender, which watches the store, has read it.
    Announcement(Announcement),
    /// Brings what has just changed in the store, with the announcement that would else go alone.
    Push(Announcement, Delta),
}

/// A sign of life with news of members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Number of the ping.
    pub sequence: Sequence,
    /// How many members the sender believes to serve: a peer that counts others tells more.
    pub serving: u32,
    /// The revision that the sender knows everything of the store up to; zero when it knows nothing or is about to end.
    pub revision: Revision,
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
    pub work: Vec<(FlowHash, TargetId, Duration)>,
    /// Targets that seem not to answer, and for how much longer to avoid each.
    pub avoid: Vec<(TargetId, Duration)>,
}
