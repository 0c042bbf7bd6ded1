//! Dump of the state of a process as JSON.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::callers::SocketCounts;
use crate::peers::PeerCounts;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::OutcomeCounts;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::limits::fair_share::ServiceUse;
use hawthornshift_core::direct::limits::link_budget::LinkStatus;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::store::directory::Target;
use hawthornshift_core::direct::targets::target_speed::SpeedEstimate;
use hawthornshift_core::message::MemberUpdate;

/// Counters of the process itself.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProcessCounts {
    /// Iterations of the process loop, each caused by at least one event.
    pub iterations: u64,
    /// Successful calls to the store.
    pub store_answers: u64,
    /// Failed calls to the store.
    pub store_failures: u64,
    /// Store entries refused as malformed.
    pub entries_refused: u64,
    /// Handovers received from other instances.
    pub pulls: u64,
    /// Handover requests that failed.
    pub pull_failures: u64,
    /// Handover requests refused by instances that served their maximum of concurrent handovers.
    pub pull_refusals: u64,
    /// Handovers of a full snapshot to other instances.
    pub whole_handovers: HandoverCounts,
    /// Handovers to other instances of only the changes since a revision.
    pub news_handovers: HandoverCounts,
}

/// Counters of handovers to other instances.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct HandoverCounts {
    /// Handovers sent, or parts of them.
    pub answers: u64,
    /// Encoded bytes of these.
    pub bytes: u64,
}

/// A target and the state that this instance assumes for it.
#[derive(Debug, Serialize)]
struct TargetState<'a> {
    #[serde(flatten)]
    target: &'a Target,
    work: u32,
    slowness: f64,
    speed: Option<SpeedEstimate>,
    cold: bool,
    takes_flows: bool,
}

#[derive(Debug, Serialize)]
struct Dump<'a> {
    ready: bool,
    revision: u64,
    version: u64,
    watching: bool,
    without: Mechanisms,
    news_age_ms: u128,
    behind_ms: u128,
    flows: usize,
    waiting: usize,
    /// Flows whose target is known although their cookies may identify another one.
    flow_bindings: usize,
    link: Option<LinkStatus>,
    /// Services whose routes or callers compete, while flows wait or a limit is in force.
    shares: BTreeMap<&'a str, ServiceUse>,
    /// Requests that this instance may have open, by overloaded service and failure domain.
    slot_quotas: BTreeMap<&'a str, &'a BTreeMap<String, u32>>,
    targets: Vec<TargetState<'a>>,
    members: Vec<&'a MemberUpdate>,
    outcomes: &'a OutcomeCounts,
    callers: &'a SocketCounts,
    peers: &'a PeerCounts,
    process: &'a ProcessCounts,
}

/// State that the dump and the metrics are made of.
#[derive(Debug)]
pub struct Sources<'a> {
    /// Whether the instance accepts new flows.
    pub ready: bool,
    /// Mechanisms in use; single ones can be disabled for experiments.
    pub mechanisms: Mechanisms,
    /// State of the dispatcher, which decides about packets.
    pub dispatcher: &'a Dispatcher,
    /// Membership and health of the other instances.
    pub fleet: &'a Fleet,
    /// Counters of the callers' socket.
    pub callers: &'a SocketCounts,
    /// Counters of the messages between instances.
    pub peers: &'a PeerCounts,
    /// Counters of the process itself.
    pub process: &'a ProcessCounts,
}

/// Returns the state as indented JSON.
#[must_use]
pub fn render(now: Timestamp, sources: &Sources<'_>) -> String {
    let Sources { ready, mechanisms, dispatcher, fleet, callers, peers, process } = *sources;
    let directory = dispatcher.directory();
    let (flows, waiting) = dispatcher.flow_counts();
    let targets = directory.targets().map(|target| TargetState {
        target,
        work: dispatcher.open_requests().count(target.id),
        slowness: dispatcher.open_requests().slowness(now, target.id),
        speed: dispatcher.target_speeds().estimate(now, target.id),
        cold: target.is_cold(now),
        takes_flows: target.takes_flows(now) && !directory.is_evacuated(&target.spec.failure_domain),
    });
    let dump = Dump {
        ready,
        revision: directory.revision(),
        version: directory.version(),
        watching: fleet.watcher_role().is_watching(),
        without: mechanisms,
        behind_ms: fleet.behind_for(now).as_millis(),
        news_age_ms: fleet.watcher_role().age(now).as_millis(),
        flows,
        waiting,
        flow_bindings: dispatcher.flow_bindings().len(),
        link: dispatcher.link_status(now),
        shares: dispatcher.shared_services(now).into_iter().collect(),
        slot_quotas: dispatcher.slot_quotas().in_force().collect(),
        targets: targets.collect(),
        members: fleet.members().collect(),
        outcomes: dispatcher.counts(),
        callers,
        peers,
        process,
    };
    serde_json::to_string_pretty(&dump).unwrap_or_else(|error| format!("the state cannot be encoded: {error}"))
}
