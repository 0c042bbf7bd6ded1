//! State of the simulated callers: orders, which are non-idempotent requests that must run at most once, and flows,
//! which must keep their target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use hawthornshift_core::Timestamp;
use hawthornshift_core::message::Reason;
use hawthornshift_model::InstanceId;

/// Number of an order.
pub type OrderId = u64;

/// Outcome of an order, as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The caller received the answer to this order.
    Answered,
    /// Every attempt was refused as not run.
    NotRun,
    /// At least one attempt may have run, and none was answered.
    Unknown,
}

/// An order and its attempts.
#[derive(Clone, Debug, Default)]
pub struct Order {
    /// The ticket that the next attempt presents; `None` until a refusal has issued one.
    pub ticket: Option<String>,
    /// Number of attempts that the caller has sent so far.
    pub attempts: u32,
    /// The outcome; `None` while attempts continue.
    pub outcome: Option<OrderOutcome>,
    /// Number of times that targets ran it.
    pub runs: u32,
    /// Whether any attempt was refused as possibly run, or timed out.
    pub is_outcome_unknown: bool,
    /// Reasons of the refusals that report an attempt as possibly run.
    pub unknown_reasons: Vec<Reason>,
}

/// A flow and what its caller observed.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The caller's address, which identifies the flow.
    pub caller: SocketAddr,
    /// The target whose answers the caller receives; `None` until the first answer.
    pub target: Option<SocketAddr>,
    /// The instance from which a target last received a packet of the flow.
    pub holder: Option<InstanceId>,
    /// Packets sent.
    pub sent: u64,
    /// Packets answered.
    pub answered: u64,
    /// Time of the last answer.
    pub last_answer: Timestamp,
    /// Whether its holder crashed or was paused, so that the flow may change its target once.
    pub is_break_allowed: bool,
    /// Time until which the flow may change its target: a failure domain of its targets was taken out of service or
    /// returned, or a partition has healed.
    pub break_allowed_until: Timestamp,
    /// Failure domains of the targets that have received its packets.
    pub target_domains: BTreeSet<String>,
    /// Description of the first change of target that was not allowed.
    pub broken: Option<String>,
    /// Whether the failure domain of its target was taken out of service, so that the instances may abandon the flow.
    pub is_abandoned: bool,
}

/// State of all callers.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    /// Orders by number.
    pub orders: BTreeMap<OrderId, Order>,
    /// Flows by the caller's address.
    pub flows: BTreeMap<SocketAddr, Flow>,
}
