//! The state of a node as shown to operators on request.

use serde::Serialize;

use crate::coordinator::CoordinatedTargetDump;
use crate::flows::FlowCounts;
use crate::invariants::Breach;
use crate::message::MemberUpdate;
use crate::requests::RequestCounts;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;

/// The state of a node.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Dump {
    /// This instance as it presents itself.
    pub me: MemberUpdate,
    /// Where it stands in its life: `starting`, `serving`, `stopping`, `stopped` or
    /// `superseded`.
    pub phase: &'static str,
    /// Milliseconds since its start.
    pub uptime_ms: u128,
    /// Whether it refreshes its view before it decides anything new.
    pub fenced: bool,
    /// The set in force.
    pub configuration: ConfigurationDump,
    /// Hash of its view; equal on instances that agree.
    pub view: String,
    /// Instances that serve under its view.
    pub serving: Vec<InstanceId>,
    /// What it knows of other instances.
    pub members: Vec<MemberUpdate>,
    /// Its flows.
    pub flows: FlowDump,
    /// Open streams.
    pub streams: usize,
    /// Requests by how they ended.
    pub requests: RequestCounts,
    /// Requests under way.
    pub requests_under_way: usize,
    /// Requests at targets that it keeps.
    pub running: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Ticket redemptions it remembers.
    pub tickets_remembered: usize,
    /// Bytes of answers it keeps for retries.
    pub answer_bytes: usize,
    /// The targets it keeps.
    pub kept: Vec<CoordinatedTargetDump>,
    /// Invariants that were broken; empty unless something is wrong with this program.
    pub breaches: Vec<Breach>,
}

/// The set in force.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationDump {
    /// Its revision.
    pub revision: Revision,
    /// Hash of its content.
    pub digest: String,
    /// Failure domains that are out of service.
    pub out: Vec<String>,
    /// How often two sets had one revision.
    pub clashes: u64,
    /// Sets that failed the check.
    pub refused: u64,
}

/// The flows of a node.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowDump {
    /// Flows held here.
    pub held: usize,
    /// Flows known to be held elsewhere.
    pub elsewhere: usize,
    /// Earlier views that still matter.
    pub earlier_views: usize,
    /// Whether all flows that stay behind have been told.
    pub settled: bool,
    /// Counts since start.
    pub counts: FlowCounts,
}
