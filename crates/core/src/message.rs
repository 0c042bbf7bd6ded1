//! What instances tell each other.
//!
//! Messages are one-way; an answer is a message of its own. Each travels in an [`Envelope`] that introduces its
//! sender, so that a peer never heard of becomes known by the first word it says.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::health::TargetStatusUpdate;
use hawthornshift_model::Incarnation;
use hawthornshift_model::InstanceId;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::Revision;
use hawthornshift_model::ServiceId;
use hawthornshift_model::TargetId;
use hawthornshift_model::Verdict;

/// Number of a message within its sender's life.
pub type Sequence = u64;

/// A message with its sender and its addressee.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The sender as it sees itself.
    pub sender: MemberUpdate,
    /// The instance that is meant; another one under the same address drops the message.
    pub to: InstanceId,
    /// What is said.
    pub message: PeerMessage,
}

/// What one instance says to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum PeerMessage {
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
        /// The number given by the asker.
        sequence: Sequence,
        /// The instance that has answered.
        subject: InstanceId,
    },
    /// Asks for a newer set.
    SetRequest {
        /// The revision that the asker holds.
        have: Revision,
    },
    /// Brings a set.
    SetOffer {
        /// The whole set; the receiver checks it anew.
        set: Box<PublishedSet>,
    },
    /// Tells where flows are held, or hands them over.
    FlowBatch(FlowBatch),
    /// Confirms a batch.
    FlowBatchAck {
        /// The batch's number.
        sequence: Sequence,
        /// Flows of which the receiver of the batch holds an elder record: the sender drops its own.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        superseded: Vec<SocketAddr>,
    },
    /// Says that another instance's records of these flows hold over the receiver's, which drops its own.
    FlowsSuperseded {
        /// The service.
        service: ServiceId,
        /// The flows' callers.
        callers: Vec<SocketAddr>,
    },
    /// Tells a target's new keeper what the former one still runs there.
    #[serde(rename = "keeper-release")]
    CoordinatorRelease {
        /// The target.
        target: TargetId,
        /// Requests still running.
        running: u32,
    },
    /// Asks for the last words of issuers that have stopped; sent by an instance that has just joined.
    #[serde(rename = "last-words-request")]
    FinalReportsRequest,
    /// Says which tickets of an issuer were redeemed, sent as the last word before a planned stop; all others of
    /// that life never ran and never will.
    IssuerClosed {
        /// The issuer, which need not be the sender.
        issuer: InstanceId,
        /// The issuer's life.
        incarnation: Incarnation,
        /// Issue time, in milliseconds of the issuer's clock, from which on the list is complete.
        known_since_ms: u64,
        /// Serial numbers of the redeemed tickets.
        redeemed: Vec<u64>,
    },
}

/// A sign of life with what the sender holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Number that the answer repeats.
    pub sequence: Sequence,
    /// Revision of the set in force.
    pub revision: Revision,
    /// Hash of its content.
    pub set_digest: u64,
    /// Hash of the sender's view.
    pub view: u64,
    /// News of members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberUpdate>,
    /// News of targets that the sender keeps.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<TargetStatusUpdate>,
}

/// What is known of one instance; of two the one with the higher [`MemberUpdate::rank`] holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberUpdate {
    /// The instance.
    pub id: InstanceId,
    /// Its life; zero when only the platform's list names it.
    pub incarnation: Incarnation,
    /// Raised by the instance itself to refute what others say of it.
    pub version: u32,
    /// Whether it lives.
    pub state: MemberState,
    /// Name of its failure domain.
    pub failure_domain: String,
    /// Where it takes messages.
    pub control: SocketAddr,
    /// Where it takes forwarded packets.
    pub forward: SocketAddr,
}

impl MemberUpdate {
    /// Returns what orders two updates of one instance.
    #[must_use]
    pub fn rank(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.version, self.state)
    }

    /// Returns the most bytes that the update takes in a datagram.
    #[must_use]
    pub fn max_encoded_len(&self) -> usize {
        /// Numbers and lengths in the variable form: id, incarnation, version, state, length of the name.
        const VARINT_FIELDS_MAX_BYTES: usize = 5 + 10 + 5 + 1 + 2;
        let address = |address: &SocketAddr| if address.is_ipv4() { 8 } else { 20 };
        VARINT_FIELDS_MAX_BYTES + self.failure_domain.len() + address(&self.control) + address(&self.forward)
    }
}

/// Whether an instance lives; a later one holds over an earlier one of the same version.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Only the platform's list names it; nothing has been heard of it.
    Listed,
    /// It answers.
    Alive,
    /// It does not answer; it still counts as serving until the suspicion time is over.
    Suspect,
    /// It stops as planned.
    Leaving,
    /// It has not answered for the suspicion time, or has said that it is gone.
    Dead,
}

impl MemberState {
    /// Tells whether messages to an instance in this state may arrive.
    #[must_use]
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// Flows that share a service and a target, told to the instance that is their home under the sender's view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowBatch {
    /// Number that the confirmation repeats.
    pub sequence: Sequence,
    /// The service.
    pub service: ServiceId,
    /// The target that the flows go to.
    pub target: TargetDescriptor,
    /// Whether the receiver takes the flows over; else the sender keeps them and wants their packets.
    pub handover: bool,
    /// The flows.
    pub flows: Vec<FlowDescriptor>,
}

/// One flow of a batch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowDescriptor {
    /// Who it is from.
    pub caller: SocketAddr,
    /// Milliseconds since it was started.
    pub age_ms: u32,
    /// Milliseconds since its last packet.
    pub idle_ms: u32,
}

impl FlowDescriptor {
    /// Tells whether this record of a flow holds over another of the same flow.
    ///
    /// One that had its last packet before the other was started was abandoned: its instance was paused or cut off,
    /// and the caller has moved on. Else both are in use, and the elder holds, for its target has the flow's history.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.idle_ms > other.age_ms {
            return false;
        }
        other.idle_ms > self.age_ms || self.age_ms >= other.age_ms
    }
}

/// A target, described whole, since the receiver's set may no longer name it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetDescriptor {
    /// The target.
    pub id: TargetId,
    /// Where it serves.
    pub address: SocketAddr,
    /// Name of the failure domain it runs in.
    pub failure_domain: String,
}

/// Head of a packet forwarded between instances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardedPacketHeader {
    /// The sender.
    pub from: InstanceId,
    /// The service that the caller addressed.
    pub service: ServiceId,
    /// The caller.
    pub caller: SocketAddr,
    /// Hops that are left; each receiver lowers it, so that no pair of views can make a loop.
    pub hops_left: u8,
    /// Why it was forwarded.
    pub purpose: ForwardPurpose,
}

/// Why a packet was forwarded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ForwardPurpose {
    /// The receiver is the flow's home in the sender's view.
    ToHome,
    /// The sender was told that the receiver holds the flow.
    ToHolder,
    /// The sender is the home and asks an earlier home, which returns the packet if it does not hold the flow.
    Ask {
        /// Which of the earlier homes is asked.
        position: u8,
    },
    /// The earlier home does not hold the flow.
    Return {
        /// Which of the earlier homes that was.
        position: u8,
    },
}

/// A request passed to the instance that issued its ticket or that keeps targets for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardedRequestHeader {
    /// The service.
    pub service: ServiceId,
    /// What the receiver is asked to do.
    pub purpose: ForwardedRequestPurpose,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
}

/// What the receiver of a passed request is asked to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ForwardedRequestPurpose {
    /// Redeem a ticket that it has issued.
    Redeem {
        /// The ticket.
        ticket: String,
    },
    /// Run it at a target that it keeps.
    #[serde(rename = "keep")]
    Execute,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No service is known under this identity.
    UnknownService,
    /// A non-idempotent request came without a ticket.
    TicketRequired,
    /// The ticket is not one that its issuer gave for this service.
    TicketInvalid,
    /// The ticket's time is over.
    TicketExpired,
    /// The ticket's issuer is gone or cannot be reached.
    IssuerGone,
    /// The ticket was redeemed and its answer is no longer kept.
    AnswerGone,
    /// Every target is busy.
    Overloaded,
    /// No target is usable.
    NoTarget,
    /// The deadline is over.
    DeadlineExceeded,
    /// The caller has gone and does not want the answer.
    CallerGone,
    /// The connection to a target or instance broke.
    ConnectionBroken,
    /// The target's answer was cut short.
    AnswerIncomplete,
    /// The instance has been paused or cut off and refreshes its view first.
    Fenced,
    /// The instance is stopping.
    Stopping,
    /// The target refused the request before it ran.
    RefusedByTarget,
    /// The instance holds as much as it can.
    TableFull,
}
