//! Observations of callers and targets, checked against the invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// Id of a request, unique within a run.
pub type RequestId = u64;

/// Time within which instances must act on a change by an operator or a target; it has a margin for a busy machine.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(8);
/// Largest number of flows that a cold target may receive within one second.
const MAX_COLD_FLOWS_PER_SECOND: usize = 5;

/// A property that every run must keep; its kebab-case name is the value of `--sabotage`.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum Invariant {
    /// A request runs at most once.
    RunOnce,
    /// A request runs only at the service of its route.
    RightService,
    /// An answer belongs to its request and is complete.
    WholeAnswer,
    /// Packets arrive unmodified, apart from the cookie.
    Genuine,
    /// No instance resets a flow that is open at a running target, unless its route was removed.
    NoForeignReset,
    /// A draining target receives no new flow.
    Drain,
    /// An evacuated failure domain receives no new flow.
    Evacuation,
    /// A cold target receives new flows at a limited rate.
    Cold,
    /// No flow opens through a removed route.
    DroppedRoute,
    /// Requests are answered again after all instances were killed, and no instance exits by itself.
    Recovery,
}

/// One violation of an invariant.
#[derive(Clone, Debug)]
pub struct Breach {
    /// The violated invariant.
    pub invariant: Invariant,
    /// Time since the start of the run.
    pub at: Duration,
    /// Description of the observation.
    pub detail: String,
}

#[derive(Debug, Default)]
struct State {
    /// Number of runs of each request.
    runs: BTreeMap<RequestId, u32>,
    asked: u64,
    /// Number of answered requests in each second of the run.
    answered: BTreeMap<u64, u64>,
    failed: u64,
    /// Flows that are open at a target.
    open_flows: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Flows that a target has reset.
    target_resets: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Ports of routes that are removed at present, and the time of the removal.
    removed_routes: BTreeMap<u16, Instant>,
    /// Time of the latest removal of each route that was ever removed, published again or not.
    last_removed: BTreeMap<u16, Instant>,
    breaches: Vec<Breach>,
    timeline: Vec<(Duration, String)>,
}

/// Records the observations of a run and checks them as they arrive.
#[derive(Debug)]
pub struct Ledger {
    started_at: Instant,
    state: Mutex<State>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self { started_at: Instant::now(), state: Mutex::default() }
    }
}

impl Ledger {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start of the run.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Records the violation of an invariant.
    pub fn record_breach(&self, invariant: Invariant, detail: impl Into<String>) {
        let at = self.elapsed();
        self.state().breaches.push(Breach { invariant, at, detail: detail.into() });
    }

    /// Records a fault or another event in the time line.
    pub fn record_event(&self, detail: impl Into<String>) {
        let at = self.elapsed();
        self.state().timeline.push((at, detail.into()));
    }

    /// Records that a target started to process a request; a second run is a breach unless `may_repeat`.
    pub fn record_run(&self, request: RequestId, may_repeat: bool) {
        let runs = {
            let mut state = self.state();
            let runs = state.runs.entry(request).or_insert(0);
            *runs += 1;
            *runs
        };
        if runs > 1 && !may_repeat {
            self.record_breach(Invariant::RunOnce, format!("request {request} ran {runs} times"));
        }
    }

    /// Records that a caller started a request.
    pub fn record_request(&self) {
        self.state().asked += 1;
    }

    /// Records the end of a request, answered or failed.
    pub fn record_end(&self, answered: bool) {
        let second = self.elapsed().as_secs();
        let mut state = self.state();
        if answered {
            *state.answered.entry(second).or_insert(0) += 1;
        } else {
            state.failed += 1;
        }
    }

    /// Records whether a flow is open at a target.
    pub fn set_flow_open(&self, flow: (SocketAddrV4, SocketAddrV4), open: bool) {
        let mut state = self.state();
        if open {
            state.open_flows.insert(flow);
        } else {
            state.open_flows.remove(&flow);
        }
    }

    /// Records that a target has reset a flow.
    pub fn record_target_reset(&self, flow: (SocketAddrV4, SocketAddrV4)) {
        self.state().target_resets.insert(flow);
    }

    /// Records that a caller received a reset from an instance, and checks that it was allowed.
    pub fn record_caller_reset(&self, flow: (SocketAddrV4, SocketAddrV4)) {
        let (open, allowed) = {
            let state = self.state();
            let removed = state.last_removed.get(&flow.1.port()).is_some_and(|at| at.elapsed() <= PROPAGATION_LIMIT);
            (state.open_flows.contains(&flow), removed || state.target_resets.contains(&flow))
        };
        // A reset is allowed for a flow whose route was just removed, and for one that the target has reset.
        if open && !allowed {
            self.record_breach(Invariant::NoForeignReset, format!("flow {}>{} was reset while open", flow.0, flow.1));
        }
    }

    /// Records that the route to a port is published or removed.
    pub fn set_route(&self, port: u16, published: bool) {
        let mut state = self.state();
        if published {
            state.removed_routes.remove(&port);
        } else {
            let at = *state.removed_routes.entry(port).or_insert_with(Instant::now);
            state.last_removed.insert(port, at);
        }
    }

    /// Records that a flow to a port has opened at a target, and checks that its route is not long removed.
    pub fn record_flow_opened(&self, port: u16) {
        let removed = self.state().removed_routes.get(&port).copied();
        if removed.is_some_and(|at| at.elapsed() > PROPAGATION_LIMIT) {
            self.record_breach(
                Invariant::DroppedRoute,
                format!("a flow to port {port} opened after its route was removed"),
            );
        }
    }

    /// Checks the rate at which a cold target received new flows; at most one breach is recorded per call.
    pub fn check_cold(&self, target: &str, opened: &[Instant]) {
        for from in opened {
            let within = opened.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count();
            if within > MAX_COLD_FLOWS_PER_SECOND {
                self.record_breach(
                    Invariant::Cold,
                    format!("target {target} received {within} flows within a second while cold"),
                );
                return;
            }
        }
    }

    /// Returns the number of requests answered from second `from` up to, not including, second `to` of the run.
    #[must_use]
    pub fn answered_between(&self, from: u64, to: u64) -> u64 {
        self.state().answered.range(from..to).map(|(_, count)| count).sum()
    }

    /// Returns the breaches recorded so far.
    #[must_use]
    pub fn breaches(&self) -> Vec<Breach> {
        self.state().breaches.clone()
    }

    /// Returns the recorded events with their times since the start of the run.
    #[must_use]
    pub fn timeline(&self) -> Vec<(Duration, String)> {
        self.state().timeline.clone()
    }

    /// Returns the numbers of requests that were started, answered and failed.
    #[must_use]
    pub fn totals(&self) -> (u64, u64, u64) {
        let state = self.state();
        (state.asked, state.answered.values().sum(), state.failed)
    }
}
