//! The state of a process as it shows it on request.

use serde::Serialize;

use crate::callers::SocketCounts;
use crate::peers::PeerCounts;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::OutcomeCounts;
use hawthornshift_core::direct::directory::Target;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::message::MemberUpdate;

/// Counts that belong to the process itself.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProcessCounts {
    /// Answers of the store.
    pub store_answers: u64,
    /// Calls to the store that failed.
    pub store_failures: u64,
    /// Entries of the store that were refused.
    pub entries_refused: u64,
    /// Handovers fetched from other instances.
    pub pulls: u64,
    /// Handovers that failed.
    pub pull_failures: u64,
    /// Handovers that were refused by instances that were busy with others.
    pub pull_refusals: u64,
    /// Handovers of everything to other instances.
    pub whole_handovers: HandoverCounts,
    /// Handovers of news to other instances.
    pub news_handovers: HandoverCounts,
}

/// Counts of handovers to other instances.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct HandoverCounts {
    /// Answers.
    pub answers: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// A target with what is believed of it.
#[derive(Debug, Serialize)]
struct TargetState<'a> {
    #[serde(flatten)]
    target: &'a Target,
    work: u32,
    slowness: f64,
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
    flows: usize,
    waiting: usize,
    targets: Vec<TargetState<'a>>,
    members: Vec<&'a MemberUpdate>,
    outcomes: &'a OutcomeCounts,
    callers: &'a SocketCounts,
    peers: &'a PeerCounts,
    process: &'a ProcessCounts,
}

/// What is dumped.
#[derive(Debug)]
pub struct Sources<'a> {
    /// Whether the instance takes new flows.
    pub ready: bool,
    /// What is switched off for a trial.
    pub mechanisms: Mechanisms,
    /// Decisions about packets.
    pub dispatcher: &'a Dispatcher,
    /// The other instances.
    pub fleet: &'a Fleet,
    /// Counts of the callers' socket.
    pub callers: &'a SocketCounts,
    /// Counts of messages.
    pub peers: &'a PeerCounts,
    /// Counts of the process.
    pub process: &'a ProcessCounts,
}

/// Returns the state as JSON.
#[must_use]
pub fn render(now: Timestamp, sources: &Sources<'_>) -> String {
    let Sources { ready, mechanisms, dispatcher, fleet, callers, peers, process } = *sources;
    let directory = dispatcher.directory();
    let (flows, waiting) = dispatcher.flow_counts();
    let targets = directory.targets().map(|target| TargetState {
        target,
        work: dispatcher.open_requests().count(target.id),
        slowness: dispatcher.open_requests().slowness(now, target.id),
        cold: target.is_cold(now),
        takes_flows: target.takes_flows(now) && !directory.is_evacuated(&target.spec.failure_domain),
    });
    let dump = Dump {
        ready,
        revision: directory.revision(),
        version: directory.version(),
        watching: fleet.watcher_role().is_watching(),
        without: mechanisms,
        news_age_ms: fleet.watcher_role().age(now).as_millis(),
        flows,
        waiting,
        targets: targets.collect(),
        members: fleet.members().collect(),
        outcomes: dispatcher.counts(),
        callers,
        peers,
        process,
    };
    serde_json::to_string_pretty(&dump).unwrap_or_else(|error| format!("the state cannot be written: {error}"))
}
