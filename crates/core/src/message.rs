//! Messages between instances.
//!
//! Messages are one-way; a reply is a separate message. Each is sent in an [`Envelope`] that describes its sender, so
//! that the receiver learns of an unknown peer from its first message.

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

/// Sequence number of a message, unique within one incarnation of its sender.
pub type Sequence = u64;

/// A message with its sender and its receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The sender's own membership entry.
    pub sender: MemberUpdate,
    /// Instance that the message is for; another instance at the same address drops the message.
    pub to: InstanceId,
    /// The message.
    pub message: PeerMessage,
}

/// A message from one instance to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Requests an acknowledgement, as a failure-detection probe.
    Ping(Heartbeat),
    /// Acknowledges a ping; also sent unsolicited to distribute state.
    Ack(Heartbeat),
    /// Requests that a third instance ping one that has not acknowledged a direct ping.
    IndirectPing {
        /// The requester's sequence number for this probe.
        sequence: Sequence,
        /// Instance that has not acknowledged the direct ping.
        subject: InstanceId,
    },
    /// Reports that the subject of an indirect ping has acknowledged.
    IndirectAck {
        /// The requester's sequence number.
        sequence: Sequence,
        /// Instance that has acknowledged.
        subject: InstanceId,
    },
    /// Requests a newer configuration set.
    SetRequest {
        /// Revision that the requester holds.
        have: Revision,
    },
    /// Sends a configuration set.
    SetOffer {
        /// The complete set; the receiver validates it again.
        set: Box<PublishedSet>,
    },
    /// Advertises the instance that holds flows, or hands the flows over.
    FlowBatch(FlowBatch),
    /// Acknowledges a batch of flows.
    FlowBatchAck {
        /// Sequence number of the batch.
        sequence: Sequence,
        /// Flows for which the receiver of the batch holds a record that supersedes the sender's; the sender removes
        /// its own.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        superseded: Vec<SocketAddr>,
    },
    /// Reports that another instance's records of these flows supersede the receiver's, which removes its own.
    FlowsSuperseded {
        /// The service of the flows.
        service: ServiceId,
        /// Callers of the flows.
        callers: Vec<SocketAddr>,
    },
    /// Reports to a target's new coordinator how many requests the former coordinator still runs at the target.
    #[serde(rename = "keeper-release")]
    CoordinatorRelease {
        /// The target.
        target: TargetId,
        /// Number of requests still running.
        running: u32,
    },
    /// Requests the final reports of stopped ticket issuers; sent by an instance that has just joined.
    #[serde(rename = "last-words-request")]
    FinalReportsRequest,
    /// Final report of a ticket issuer, sent before a planned stop: lists the tickets that were redeemed. All other
    /// tickets of that incarnation have not run and never will.
    IssuerClosed {
        /// The issuer, which may differ from the sender.
        issuer: InstanceId,
        /// Incarnation of the issuer.
        incarnation: Incarnation,
        /// Issue time, in milliseconds of the issuer's clock, from which the list is complete.
        known_since_ms: u64,
        /// Serial numbers of the redeemed tickets.
        redeemed: Vec<u64>,
    },
}

/// Content of pings and acknowledgements: the sender's state, with membership and target updates piggybacked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Sequence number, repeated in the acknowledgement.
    pub sequence: Sequence,
    /// Revision of the sender's active configuration set.
    pub revision: Revision,
    /// Hash of the content of that set.
    pub set_digest: u64,
    /// Hash of the sender's view.
    pub view: u64,
    /// Membership updates.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberUpdate>,
    /// Status updates of targets that the sender coordinates.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<TargetStatusUpdate>,
}

/// State of one instance; of two updates of an instance the one with the higher [`MemberUpdate::rank`] takes
/// precedence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberUpdate {
    /// The instance.
    pub id: InstanceId,
    /// Its incarnation; zero if it is known only from the platform's list.
    pub incarnation: Incarnation,
    /// Version within the incarnation, incremented by the instance itself to refute a suspicion.
    pub version: u32,
    /// Liveness state of the instance.
    pub state: MemberState,
    /// Name of its failure domain.
    pub failure_domain: String,
    /// Address that receives messages.
    pub control: SocketAddr,
    /// Address that receives forwarded packets.
    pub forward: SocketAddr,
}

impl MemberUpdate {
    /// Returns the key that orders two updates of the same instance.
    #[must_use]
    pub fn rank(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.version, self.state)
    }

    /// Returns the maximum encoded length of the update in a datagram, in bytes.
    #[must_use]
    pub fn max_encoded_len(&self) -> usize {
        /// Maximum bytes of the varint fields: id, incarnation, version, state, and the length of the name.
        const VARINT_FIELDS_MAX_BYTES: usize = 5 + 10 + 5 + 1 + 2;
        let address = |address: &SocketAddr| if address.is_ipv4() { 8 } else { 20 };
        VARINT_FIELDS_MAX_BYTES + self.failure_domain.len() + address(&self.control) + address(&self.forward)
    }
}

/// Liveness state of an instance; a later state takes precedence over an earlier one of the same version.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Known only from the platform's list; no message has been received from it.
    Listed,
    /// It acknowledges pings.
    Alive,
    /// It does not acknowledge pings; it counts as serving until the suspicion timeout.
    Suspect,
    /// It is shutting down as planned.
    Leaving,
    /// It has not acknowledged until the suspicion timeout, or has announced that it has left.
    Dead,
}

impl MemberState {
    /// Returns whether messages to an instance in this state may be delivered.
    #[must_use]
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// Flows of one service at one target, sent to the instance that is their home under the sender's view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowBatch {
    /// Sequence number, repeated in the acknowledgement.
    pub sequence: Sequence,
    /// The service.
    pub service: ServiceId,
    /// Target of the flows.
    pub target: TargetDescriptor,
    /// Whether the receiver takes the flows over; otherwise the sender keeps them and expects their packets.
    pub handover: bool,
    /// The flows.
    pub flows: Vec<FlowDescriptor>,
}

/// One flow of a batch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowDescriptor {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Age of the flow, in milliseconds since its first packet.
    pub age_ms: u32,
    /// Idle time of the flow, in milliseconds since its last packet.
    pub idle_ms: u32,
}

impl FlowDescriptor {
    /// Returns whether this record of a flow supersedes another record of the same flow.
    ///
    /// A record whose last packet precedes the start of the other was abandoned: its instance was paused or
    /// partitioned, and the caller's packets have since reached another instance. Otherwise both are in use and the
    /// older one takes precedence, because its target has the history of the flow.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.idle_ms > other.age_ms {
            return false;
        }
        other.idle_ms > self.age_ms || self.age_ms >= other.age_ms
    }
}

/// Complete description of a target, since the receiver's configuration set may no longer contain it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetDescriptor {
    /// The target.
    pub id: TargetId,
    /// Address at which the target serves.
    pub address: SocketAddr,
    /// Name of its failure domain.
    pub failure_domain: String,
}

/// Header of a packet forwarded between instances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardedPacketHeader {
    /// The sender.
    pub from: InstanceId,
    /// The service that the caller addressed.
    pub service: ServiceId,
    /// The caller.
    pub caller: SocketAddr,
    /// Remaining hops; decremented by each receiver, so that instances with different views cannot forward in a loop.
    pub hops_left: u8,
    /// Why the packet was forwarded.
    pub purpose: ForwardPurpose,
}

/// Why a packet was forwarded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ForwardPurpose {
    /// The receiver is the flow's home in the sender's view.
    ToHome,
    /// The receiver has been advertised to the sender as the holder of the flow.
    ToHolder,
    /// The sender is the flow's home and queries an earlier home, which returns the packet if it does not hold the
    /// flow.
    Ask {
        /// Position of the queried instance among the earlier homes.
        position: u8,
    },
    /// The queried earlier home does not hold the flow.
    Return {
        /// Position of that instance among the earlier homes.
        position: u8,
    },
}

/// Header of a request forwarded to the issuer of its ticket or to a coordinator of targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardedRequestHeader {
    /// The service.
    pub service: ServiceId,
    /// What the receiver has to do.
    pub purpose: ForwardedRequestPurpose,
    /// Whether the request is idempotent, that is, may safely run twice.
    pub idempotent: bool,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
}

/// What the receiver of a forwarded request has to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ForwardedRequestPurpose {
    /// Redeem a ticket that the receiver has issued.
    Redeem {
        /// The ticket.
        ticket: String,
    },
    /// Run the request at a target that the receiver coordinates.
    #[serde(rename = "keep")]
    Execute,
}

/// Outcome of a request that has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request was refused.
    pub reason: Reason,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The service id is unknown.
    UnknownService,
    /// A non-idempotent request carries no ticket.
    TicketRequired,
    /// The ticket was not issued for this service by the issuer that it names.
    TicketInvalid,
    /// The ticket has expired.
    TicketExpired,
    /// The ticket's issuer has failed or cannot be reached.
    IssuerGone,
    /// The ticket was redeemed and its answer is no longer stored.
    AnswerGone,
    /// All targets are at their limit.
    Overloaded,
    /// No target is available.
    NoTarget,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The caller has disconnected before the answer.
    CallerGone,
    /// The connection to a target or an instance broke.
    ConnectionBroken,
    /// The target's answer was truncated.
    AnswerIncomplete,
    /// The instance was paused or partitioned and has not yet refreshed its view.
    Fenced,
    /// The instance is stopping.
    Stopping,
    /// The target refused the request before running it.
    RefusedByTarget,
    /// A table of the instance is full.
    TableFull,
}
