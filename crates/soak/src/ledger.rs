//! What callers and targets have seen, held against the promises.

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

/// Number of a request, unique within a run.
pub type RequestId = u64;

/// Time after an operator's or target's word within which instances must have acted on it, with room for a busy machine.
pub const IN_FORCE: Duration = Duration::from_secs(8);
/// Flows that a cold target may get within a second.
const COLD_LIMIT: usize = 5;

/// A promise that a run may break.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// A request runs once at most.
    RunOnce,
    /// A request runs at a service that its route leads to.
    RightService,
    /// An answer belongs to its request and is whole.
    WholeAnswer,
    /// Packets arrive as they were written.
    Genuine,
    /// No instance resets a flow that is open at a target that lives.
    NoForeignReset,
    /// A target that drains gets no new flow.
    Drain,
    /// A failure domain that is taken out gets no new flow.
    Evacuation,
    /// A cold target gets a trickle.
    Cold,
    /// A route that was removed leads nowhere.
    DroppedRoute,
    /// Service comes back after all instances were killed.
    Recovery,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Which.
    pub promise: Promise,
    /// When, since the start of the run.
    pub at: Duration,
    /// What was seen.
    pub what: String,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<RequestId, u32>,
    asked: u64,
    answered: BTreeMap<u64, u64>,
    failed: u64,
    open: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    target_resets: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Ports of routes that were removed, and when.
    dropped: BTreeMap<u16, Instant>,
    /// When each route that ever was removed was so the last time.
    last_dropped: BTreeMap<u16, Instant>,
    breaches: Vec<Breach>,
    timeline: Vec<(Duration, String)>,
}

/// The ledger of a run.
#[derive(Debug)]
pub struct Ledger {
    started: Instant,
    state: Mutex<State>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self { started: Instant::now(), state: Mutex::default() }
    }
}

impl Ledger {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start of the run.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes that a promise was broken.
    pub fn breach(&self, promise: Promise, what: impl Into<String>) {
        let at = self.elapsed();
        self.state().breaches.push(Breach { promise, at, what: what.into() });
    }

    /// Notes a fault or another event for the time line.
    pub fn event(&self, what: impl Into<String>) {
        let at = self.elapsed();
        self.state().timeline.push((at, what.into()));
    }

    /// Notes that a target began to work on a request.
    pub fn ran(&self, request: RequestId, may_repeat: bool) {
        let runs = {
            let mut state = self.state();
            let runs = state.runs.entry(request).or_insert(0);
            *runs += 1;
            *runs
        };
        if runs > 1 && !may_repeat {
            self.breach(Promise::RunOnce, format!("request {request} ran {runs} times"));
        }
    }

    /// Notes that a request was asked.
    pub fn asked(&self) {
        self.state().asked += 1;
    }

    /// Notes how a request ended.
    pub fn ended(&self, answered: bool) {
        let second = self.elapsed().as_secs();
        let mut state = self.state();
        if answered {
            *state.answered.entry(second).or_insert(0) += 1;
        } else {
            state.failed += 1;
        }
    }

    /// Notes that a flow is open at a target, or no longer.
    pub fn set_open(&self, flow: (SocketAddrV4, SocketAddrV4), open: bool) {
        let mut state = self.state();
        if open {
            state.open.insert(flow);
        } else {
            state.open.remove(&flow);
        }
    }

    /// Notes that a target has reset a flow itself.
    pub fn target_reset(&self, flow: (SocketAddrV4, SocketAddrV4)) {
        self.state().target_resets.insert(flow);
    }

    /// Notes that a caller got a reset.
    pub fn caller_reset(&self, flow: (SocketAddrV4, SocketAddrV4)) {
        let (open, allowed) = {
            let state = self.state();
            let dropped = state.last_dropped.get(&flow.1.port()).is_some_and(|at| at.elapsed() <= IN_FORCE);
            (state.open.contains(&flow), dropped || state.target_resets.contains(&flow))
        };
        // A flow ends with its route, and with a target that says so itself.
        if open && !allowed {
            self.breach(Promise::NoForeignReset, format!("flow {}>{} was reset while open", flow.0, flow.1));
        }
    }

    /// Notes that the route to a port was published or removed.
    pub fn set_route(&self, port: u16, published: bool) {
        let mut state = self.state();
        if published {
            state.dropped.remove(&port);
        } else {
            let at = *state.dropped.entry(port).or_insert_with(Instant::now);
            state.last_dropped.insert(port, at);
        }
    }

    /// Notes that a flow to a port has opened at a target.
    pub fn opened(&self, port: u16) {
        let dropped = self.state().dropped.get(&port).copied();
        if dropped.is_some_and(|at| at.elapsed() > IN_FORCE) {
            self.breach(Promise::DroppedRoute, format!("a flow to port {port} opened after its route was removed"));
        }
    }

    /// Checks the times at which a cold target got flows.
    pub fn check_cold(&self, target: &str, opened: &[Instant]) {
        for from in opened {
            let within = opened.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count();
            if within > COLD_LIMIT {
                self.breach(Promise::Cold, format!("target {target} got {within} flows within a second while cold"));
                return;
            }
        }
    }

    /// Returns how many requests were answered in a span of seconds.
    #[must_use]
    pub fn answered_between(&self, from: u64, to: u64) -> u64 {
        self.state().answered.range(from..to).map(|(_, count)| count).sum()
    }

    /// Returns the breaches so far.
    #[must_use]
    pub fn breaches(&self) -> Vec<Breach> {
        self.state().breaches.clone()
    }

    /// Returns the time line.
    #[must_use]
    pub fn timeline(&self) -> Vec<(Duration, String)> {
        self.state().timeline.clone()
    }

    /// Returns how many requests were asked, were answered and failed.
    #[must_use]
    pub fn totals(&self) -> (u64, u64, u64) {
        let state = self.state();
        (state.asked, state.answered.values().sum(), state.failed)
    }
}
