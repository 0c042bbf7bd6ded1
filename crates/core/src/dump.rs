//! State of a node, as reported to operators on request.

use serde::Serialize;

use crate::coordinator::CoordinatedTargetDump;
use crate::flows::FlowCounts;
use crate::invariants::Breach;
use crate::message::MemberUpdate;
use crate::requests::RequestCounts;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;

/// State of a node.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Dump {
    /// Membership entry of this instance.
    pub me: MemberUpdate,
    /// Lifecycle phase: `starting`, `serving`, `stopping`, `stopped` or `superseded`.
    pub phase: &'static str,
    /// Time since start, in milliseconds.
    pub uptime_ms: u128,
    /// Whether the node makes no new decisions until its view is confirmed.
    pub fenced: bool,
    /// The active configuration set.
    pub configuration: ConfigurationDump,
    /// Hash of the view; equal on instances that have the same view.
    pub view: String,
    /// Instances that are serving in this node's view.
    pub serving: Vec<InstanceId>,
    /// Known state of other instances.
    pub members: Vec<MemberUpdate>,
    /// Datagram flows.
    pub flows: FlowDump,
    /// Number of open streams.
    pub streams: usize,
    /// Counts of requests by outcome.
    pub requests: RequestCounts,
    /// Number of requests in progress.
    pub requests_under_way: usize,
    /// Number of requests running at targets that this instance coordinates.
    pub running: usize,
    /// Number of requests that wait for a free slot.
    pub queued: usize,
    /// Number of stored ticket redemptions.
    pub tickets_remembered: usize,
    /// Total size of the answers stored for retries, in bytes.
    pub answer_bytes: usize,
    /// Targets that this instance coordinates.
    pub kept: Vec<CoordinatedTargetDump>,
    /// Violated invariants; empty unless this program has a fault.
    pub breaches: Vec<Breach>,
}

/// The active configuration set.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationDump {
    /// Revision of the set.
    pub revision: Revision,
    /// Hash of its content.
    pub digest: String,
    /// Names of the failure domains that are out of service.
    pub out: Vec<String>,
    /// How often two sets with different content had the same revision.
    pub clashes: u64,
    /// Number of sets from peers that failed validation.
    pub refused: u64,
}

/// Datagram flows of a node.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowDump {
    /// Number of flows held by this instance.
    pub held: usize,
    /// Number of flows known to be held by other instances.
    pub elsewhere: usize,
    /// Number of earlier views that may still have flows at their homes.
    pub earlier_views: usize,
    /// Whether all flows that stay at this instance have been advertised to their homes.
    pub settled: bool,
    /// Counts since start.
    pub counts: FlowCounts,
}
