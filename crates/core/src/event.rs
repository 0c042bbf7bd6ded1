//! Inputs and outputs of the core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::message::Envelope;
use crate::message::ForwardedPacketHeader;
use crate::message::ForwardedRequestHeader;
use crate::message::MemberUpdate;
use crate::message::Refusal;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;
use hawthornshift_model::ServiceId;
use hawthornshift_model::TargetId;
use hawthornshift_model::Verdict;

/// Number that the adapter assigns to a request while this process handles it.
pub type RequestId = u64;

/// Number that the adapter assigns to a stored answer.
pub type AnswerId = u64;

/// Number that the adapter assigns to a stream while this process proxies it.
pub type StreamId = u64;

/// Number of an attempt to run one request at a target.
pub type AttemptNumber = u32;

/// Local UDP port for packets to targets; several are used so that the flows of one target can be told apart.
pub type LocalPort = u16;

/// An event that the node has to process.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due at least every [`crate::node::TICK_PERIOD`].
    Tick,
    /// The process has been asked to stop as planned.
    Stop,
    /// A packet was received from a caller.
    CallerPacket {
        /// Service at whose address it was received.
        service: ServiceId,
        /// Source address of the packet.
        caller: SocketAddr,
    },
    /// A packet was received from another instance.
    ForwardedPacket(ForwardedPacketHeader),
    /// A packet was received from a target.
    TargetPacket {
        /// Address of the target.
        target: SocketAddr,
        /// Local port on which it was received.
        local_port: LocalPort,
    },
    /// A message was received from another instance.
    PeerMessage(Box<Envelope>),
    /// An instance named in the settings has returned its membership entry.
    PeerIntroduced(Box<MemberUpdate>),
    /// A message could not be delivered.
    PeerUnreachable {
        /// Receiver of the message.
        to: InstanceId,
    },
    /// The platform returned a new configuration set.
    SetRead(Arc<CheckedSet>),
    /// The platform's configuration set is the one already known.
    SetUnchanged,
    /// The platform returned a new instance list.
    InstancesRead(InstanceList),
    /// The platform's instance list is the one already known.
    InstancesUnchanged,
    /// A read of the platform failed or returned unusable data.
    PlatformFailed(Resource),
    /// A health check has finished.
    HealthChecked {
        /// The target.
        target: TargetId,
        /// State reported by the target; `None` if the check failed.
        report: Option<HealthReport>,
        /// Number of running requests reported by the target.
        load: Option<u32>,
    },
    /// A request was received from a caller.
    RequestArrived {
        /// Number of the request.
        request: RequestId,
        /// The service.
        service: ServiceId,
        /// Whether the request is idempotent, that is, may safely run twice.
        idempotent: bool,
        /// Ticket that the request carries.
        ticket: Option<String>,
        /// Timeout set by the caller.
        timeout: Option<Duration>,
    },
    /// A request was received from another instance.
    ForwardedRequestArrived {
        /// Number of the request in this process.
        request: RequestId,
        /// Instance that forwarded it.
        from: InstanceId,
        /// Header of the forwarded request.
        head: ForwardedRequestHeader,
    },
    /// The instance to which a request was forwarded has replied.
    ForwardedRequestEnded {
        /// The request.
        request: RequestId,
        /// Its answer or refusal.
        result: Result<StoredAnswer, Refusal>,
        /// Number of free slots at the other instance, if it coordinates targets.
        free: Option<u32>,
    },
    /// The instance to which a request was forwarded has not replied.
    ForwardedRequestFailed {
        /// The request.
        request: RequestId,
        /// "Not run" only if no byte of the request was sent.
        verdict: Verdict,
    },
    /// A target's complete answer was received.
    TargetAnswered {
        /// The request.
        request: RequestId,
        /// Attempt that was answered.
        attempt: AttemptNumber,
        /// The answer.
        answer: StoredAnswer,
    },
    /// An attempt at a target failed.
    TargetFailed {
        /// The request.
        request: RequestId,
        /// Attempt that failed.
        attempt: AttemptNumber,
        /// Whether the request may have run, and the reason of the failure.
        refusal: Refusal,
    },
    /// A caller disconnected before its answer.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A caller opened a stream.
    StreamOpened {
        /// Number of the stream.
        stream: StreamId,
        /// The service.
        service: ServiceId,
        /// Address of the caller.
        caller: SocketAddr,
    },
    /// The target refused the connection of a stream.
    StreamRefused {
        /// The stream.
        stream: StreamId,
    },
    /// A stream was closed.
    StreamClosed {
        /// The stream.
        stream: StreamId,
    },
}

/// An answer stored by the adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// Number of the answer.
    pub id: AnswerId,
    /// Size of the answer, in bytes.
    pub size: usize,
}

/// An action that the adapter has to perform.
#[derive(Clone, Debug)]
pub enum Output {
    /// How to handle the packet of the current input.
    Packet(PacketAction),
    /// Send a message. A message to the sender of the current input may be sent as the response to it.
    ToPeer {
        /// Destination address.
        address: SocketAddr,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// Read a resource from the platform.
    ReadPlatform(PlatformRead),
    /// Check a target's health.
    CheckHealth {
        /// The target.
        target: TargetId,
        /// Address of the target's health endpoint.
        address: SocketAddr,
    },
    /// Forward a request to another instance and report its outcome as an input.
    ForwardRequest {
        /// The request.
        request: RequestId,
        /// Receiving instance.
        to: InstanceId,
        /// Address of the receiving instance.
        address: SocketAddr,
        /// Header to send.
        head: ForwardedRequestHeader,
    },
    /// Send a request to a target and report its outcome as an input.
    Execute {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Address of the target.
        address: SocketAddr,
        /// Time left until the caller's deadline.
        time_left: Duration,
    },
    /// Cancel the current attempt and notify the target or instance that has the request.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Send the outcome of a request to its sender.
    Reply {
        /// The request.
        request: RequestId,
        /// The outcome.
        reply: Reply,
    },
    /// Release a stored answer.
    ReleaseAnswer {
        /// The answer.
        answer: AnswerId,
    },
    /// Connect a stream to a target.
    ConnectStream {
        /// The stream.
        stream: StreamId,
        /// Address of the target.
        address: SocketAddr,
    },
    /// Close a stream.
    CloseStream {
        /// The stream.
        stream: StreamId,
    },
    /// The active configuration set has changed; listeners must be updated.
    CatalogChanged,
    /// The planned stop has finished: no caller is waiting for anything from this instance.
    Stopped,
    /// A newer process runs under this instance's id: this one must exit at once.
    Superseded,
    /// Log an event for operators.
    Notice(Notice),
}

/// How to handle one packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketAction {
    /// Send it to a target.
    ToTarget {
        /// Local port to send from.
        local_port: LocalPort,
        /// Address of the target.
        target: SocketAddr,
    },
    /// Forward it to another instance.
    Forward {
        /// Address of the instance.
        address: SocketAddr,
        /// Header to prepend.
        head: ForwardedPacketHeader,
    },
    /// Send it to a caller from the service's address.
    ToCaller {
        /// The service.
        service: ServiceId,
        /// Address of the caller.
        caller: SocketAddr,
    },
    /// Drop it.
    Drop(DropReason),
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DropReason {
    /// The service id is unknown.
    UnknownService,
    /// The flow table is full.
    TableFull,
    /// No target can receive the flow.
    NoTarget,
    /// The instance was paused and has not yet refreshed its view.
    Fenced,
    /// No instance is known that can be the flow's home.
    NoHome,
    /// The hop limit has been reached.
    TooManyHops,
    /// A packet from a target belongs to no known flow.
    NoFlow,
    /// The flow's failure domain is out of service.
    DomainOut,
}

/// Outcome of a request, as sent to its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// An answer stored by the adapter, of this request or of an earlier one with the same ticket.
    Answer {
        /// The answer.
        answer: AnswerId,
        /// Ticket for the caller's next request.
        ticket: Option<String>,
        /// Number of free slots that this instance has for the service.
        free: Option<u32>,
    },
    /// A refusal.
    Refuse {
        /// Whether the request may have run, and the reason of the refusal.
        refusal: Refusal,
        /// Ticket for the caller's next attempt.
        ticket: Option<String>,
        /// Time after which the caller should retry.
        retry_after: Option<Duration>,
        /// Number of free slots that this instance has for the service.
        free: Option<u32>,
    },
}

/// A resource of the platform.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Resource {
    /// The published configuration set.
    Set,
    /// The list of instances.
    Instances,
}

/// One read of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformRead {
    /// Resource to read.
    pub resource: Resource,
    /// Version already known.
    pub after: Revision,
    /// Time for which the platform may hold the request until there is a newer version; zero for a plain read.
    pub wait: Duration,
}

/// The platform's list of instances, which may be outdated.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// Version of the list.
    pub version: Revision,
    /// The instances.
    pub instances: Vec<ListedInstance>,
}

/// One instance on the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListedInstance {
    /// The instance.
    pub id: InstanceId,
    /// Name of its failure domain.
    pub failure_domain: String,
    /// Address that receives messages.
    pub control: SocketAddr,
    /// Address that receives forwarded packets.
    pub forward: SocketAddr,
    /// Whether the instance is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// State reported by a target's health endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HealthReport {
    /// The target is starting up and can take only a little load.
    Cold,
    /// The target can take its full load.
    Warm,
    /// The target takes no new work.
    Leaving,
}

/// An event that is logged for operators.
#[derive(Clone, Debug, Display, IntoStaticStr, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Notice {
    /// A configuration set was activated.
    SetAdopted {
        /// Revision of the set.
        revision: Revision,
    },
    /// Two sets with different content have the same revision.
    SetClash {
        /// The revision.
        revision: Revision,
    },
    /// A set received from a peer failed validation.
    SetRefused {
        /// Revision of the set.
        revision: Revision,
        /// The validation error.
        reason: String,
    },
    /// The liveness state of an instance changed.
    MemberChanged {
        /// The instance.
        id: InstanceId,
        /// Its new state.
        state: crate::message::MemberState,
    },
    /// This process was paused for longer than its lease.
    #[serde(rename = "woke-late")]
    #[strum(serialize = "woke-late")]
    PauseDetected {
        /// Duration of the pause.
        gap: Duration,
    },
    /// The status of a target changed.
    TargetChanged {
        /// The target.
        target: TargetId,
        /// Its new status.
        status: crate::health::TargetStatus,
    },
    /// A non-idempotent request may have run and its answer is lost.
    OutcomeUnknown {
        /// The service.
        service: ServiceId,
        /// Why the outcome is unknown.
        reason: crate::message::Reason,
    },
}
