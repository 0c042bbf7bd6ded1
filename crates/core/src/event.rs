//! The boundary of the core: what goes in and what comes out.

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

/// Number that the adapter gives to a request while this process handles it.
pub type RequestId = u64;

/// Number that the adapter gives to an answer while it keeps it.
pub type AnswerId = u64;

/// Number that the adapter gives to a stream while this process relays it.
pub type StreamId = u64;

/// Number of a try of one request at a target.
pub type AttemptNumber = u32;

/// Local port, out of those that this instance uses towards targets, that tells one target's flows apart.
pub type LocalPort = u16;

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due at least every [`crate::node::TICK_PERIOD`].
    Tick,
    /// The process was told to stop as planned.
    Stop,
    /// A packet came from a caller.
    CallerPacket {
        /// The service whose address it came to.
        service: ServiceId,
        /// Who sent it.
        caller: SocketAddr,
    },
    /// A packet came from another instance.
    ForwardedPacket(ForwardedPacketHeader),
    /// A packet came from a target.
    TargetPacket {
        /// The target's address.
        target: SocketAddr,
        /// The channel it came on.
        local_port: LocalPort,
    },
    /// A message came from another instance.
    PeerMessage(Box<Envelope>),
    /// An instance named in the settings has said who it is.
    PeerIntroduced(Box<MemberUpdate>),
    /// A message could not be delivered.
    PeerUnreachable {
        /// Whom it was meant for.
        to: InstanceId,
    },
    /// The platform answered a read of the set.
    SetRead(Arc<CheckedSet>),
    /// The platform's set is the one already known.
    SetUnchanged,
    /// The platform answered a read of the instance list.
    InstancesRead(InstanceList),
    /// The platform's list is the one already known.
    InstancesUnchanged,
    /// A read of the platform failed or brought something unusable.
    PlatformFailed(Resource),
    /// A health check ended.
    Probed {
        /// The target.
        target: TargetId,
        /// What it said, or nothing when it could not be reached.
        report: Option<HealthReport>,
        /// Requests that it said it runs.
        load: Option<u32>,
    },
    /// A request came from a caller.
    RequestArrived {
        /// Its number.
        request: RequestId,
        /// The service.
        service: ServiceId,
        /// Whether running it twice does no harm.
        idempotent: bool,
        /// The ticket it carries.
        ticket: Option<String>,
        /// The time its caller allows.
        timeout: Option<Duration>,
    },
    /// A request came from another instance.
    ForwardedRequestArrived {
        /// Its number here.
        request: RequestId,
        /// Who passed it.
        from: InstanceId,
        /// What is asked.
        head: ForwardedRequestHeader,
    },
    /// The instance that a request was passed to said how it ended.
    ForwardedRequestEnded {
        /// The request.
        request: RequestId,
        /// How.
        result: Result<StoredAnswer, Refusal>,
        /// Slots that the other instance has free, when it keeps targets.
        free: Option<u32>,
    },
    /// The instance that a request was passed to said nothing.
    ForwardedRequestFailed {
        /// The request.
        request: RequestId,
        /// "Not run" only if nothing of the request has left.
        verdict: Verdict,
    },
    /// A target's whole answer came.
    TargetAnswered {
        /// The request.
        request: RequestId,
        /// The try it answers.
        attempt: AttemptNumber,
        /// The answer.
        answer: StoredAnswer,
    },
    /// A try at a target failed.
    TargetFailed {
        /// The request.
        request: RequestId,
        /// The try.
        attempt: AttemptNumber,
        /// Whether it may have run, and why it failed.
        refusal: Refusal,
    },
    /// A caller has gone before its answer.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A caller opened a stream.
    StreamOpened {
        /// Its number.
        stream: StreamId,
        /// The service.
        service: ServiceId,
        /// Who opened it.
        caller: SocketAddr,
    },
    /// The connection of a stream to its target was refused.
    StreamRefused {
        /// The stream.
        stream: StreamId,
    },
    /// A stream ended.
    StreamClosed {
        /// The stream.
        stream: StreamId,
    },
}

/// An answer that the adapter holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// Its number.
    pub id: AnswerId,
    /// Its size in bytes.
    pub size: usize,
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// What becomes of the packet that was just put in.
    Packet(PacketAction),
    /// Send a message; one to the sender of the message just put in may travel as the answer to it.
    ToPeer {
        /// Where to.
        address: SocketAddr,
        /// What to send.
        envelope: Box<Envelope>,
    },
    /// Read something from the platform.
    ReadPlatform(PlatformRead),
    /// Check a target's health.
    Probe {
        /// The target.
        target: TargetId,
        /// Where.
        address: SocketAddr,
    },
    /// Pass a request to another instance and put in how it ended.
    ForwardRequest {
        /// The request.
        request: RequestId,
        /// To whom.
        to: InstanceId,
        /// Where.
        address: SocketAddr,
        /// What to ask.
        head: ForwardedRequestHeader,
    },
    /// Send a request to a target and put in how it ended.
    Execute {
        /// The request.
        request: RequestId,
        /// The try.
        attempt: AttemptNumber,
        /// Where.
        address: SocketAddr,
        /// Time left.
        time_left: Duration,
    },
    /// Give up a try and tell the target so.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Tell the sender of a request how it ended.
    Reply {
        /// The request.
        request: RequestId,
        /// How.
        reply: Reply,
    },
    /// Drop an answer that was kept for retries.
    ReleaseAnswer {
        /// The answer.
        answer: AnswerId,
    },
    /// Connect a stream to a target.
    ConnectStream {
        /// The stream.
        stream: StreamId,
        /// The target.
        address: SocketAddr,
    },
    /// Close a stream.
    CloseStream {
        /// The stream.
        stream: StreamId,
    },
    /// The set in force has changed: listeners follow it.
    CatalogChanged,
    /// A planned stop is done: nothing is left that a caller waits for.
    Stopped,
    /// A newer process lives under this one's id: this one must end at once.
    Superseded,
    /// Something that an operator should find in the log.
    Notice(Notice),
}

/// What becomes of one packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketAction {
    /// Send it to a target.
    ToTarget {
        /// The local port to send from.
        local_port: LocalPort,
        /// Where to.
        target: SocketAddr,
    },
    /// Send it to another instance.
    Forward {
        /// Where to.
        address: SocketAddr,
        /// The head to send with it.
        head: ForwardedPacketHeader,
    },
    /// Send it to a caller from the service's address.
    ToCaller {
        /// The service.
        service: ServiceId,
        /// The caller.
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
    /// No service is known under this identity.
    UnknownService,
    /// The flow table is full.
    TableFull,
    /// No target can take the flow.
    NoTarget,
    /// The instance has been paused and refreshes its view first.
    Fenced,
    /// No instance is known that could be the flow's home.
    NoHome,
    /// The hop limit is reached.
    TooManyHops,
    /// A target's packet belongs to no flow.
    NoFlow,
    /// The flow's failure domain is out.
    DomainOut,
}

/// How a request ended, as told to its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// With an answer that the adapter holds, of this request or of an earlier one with the same ticket.
    Answer {
        /// The answer.
        answer: AnswerId,
        /// A ticket for the caller's next request.
        ticket: Option<String>,
        /// Slots that this instance has free for the service.
        free: Option<u32>,
    },
    /// Without an answer.
    Refuse {
        /// Whether it may have run, and why there is no answer.
        refusal: Refusal,
        /// A ticket for the caller's next try.
        ticket: Option<String>,
        /// When to try again.
        retry_after: Option<Duration>,
        /// Slots that this instance has free for the service.
        free: Option<u32>,
    },
}

/// What the platform can be asked for.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Resource {
    /// The published set.
    Set,
    /// The list of instances.
    Instances,
}

/// One read of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformRead {
    /// What to read.
    pub resource: Resource,
    /// The version already known.
    pub after: Revision,
    /// How long the platform may wait for a newer one; zero for a plain read.
    pub wait: Duration,
}

/// The platform's list of instances, which lags.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// Number of this list.
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
    /// Where it takes messages.
    pub control: SocketAddr,
    /// Where it takes forwarded packets.
    pub forward: SocketAddr,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// What a target's health endpoint says.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HealthReport {
    /// It bears only a little load.
    Cold,
    /// It bears its full load.
    Warm,
    /// It takes nothing new.
    Leaving,
}

/// Something that an operator should find in the log.
#[derive(Clone, Debug, Display, IntoStaticStr, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Notice {
    /// A set came into force.
    SetAdopted {
        /// Its revision.
        revision: Revision,
    },
    /// Two sets with different content have one revision.
    SetClash {
        /// The revision.
        revision: Revision,
    },
    /// A set from a peer failed the check.
    SetRefused {
        /// Its revision.
        revision: Revision,
        /// Why.
        reason: String,
    },
    /// An instance's state changed.
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
        /// How long.
        gap: Duration,
    },
    /// A target's state changed.
    TargetChanged {
        /// The target.
        target: TargetId,
        /// Its new state.
        status: crate::health::TargetStatus,
    },
    /// A non-idempotent request may have run and its answer is lost.
    OutcomeUnknown {
        /// The service.
        service: ServiceId,
        /// Why nothing more is known.
        reason: crate::message::Reason,
    },
}
