//! Counts kept by the callers, independent of the instances.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Outcome of an order as known to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderOutcome {
    /// A target answered.
    Answered,
    /// Refused as not run, and not retried any more.
    NotRun,
    /// Abandoned with an unknown outcome.
    Unknown,
}

/// Counts of all callers.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    pub(super) flows_opened: u64,
    pub(super) flows_broken: u64,
    pub(super) flows_abandoned: u64,
    pub(super) packets_sent: u64,
    pub(super) packets_answered: u64,
    pub(super) requests_sent: u64,
    pub(super) answered: u64,
    pub(super) refused_not_run: u64,
    pub(super) may_have_run: u64,
    pub(super) wrong_or_partial_answers: u64,
    pub(super) attempts: u64,
    pub(super) latencies_ms: Vec<u64>,
    /// Outcomes of the (non-idempotent) orders by order id.
    pub(super) orders: HashMap<String, OrderOutcome>,
    /// Descriptions of broken flows, printed in the report.
    pub(super) remarks: Vec<String>,
}

/// Counts shared by all callers.
#[derive(Debug, Default)]
pub(super) struct SharedCounts(Mutex<Counts>);

impl SharedCounts {
    pub(super) fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn remark(&self, remark: String) {
        let mut counts = self.lock();
        if counts.remarks.len() < MAX_REMARKS {
            counts.remarks.push(remark);
        }
    }
}

/// Maximum number of recorded remarks.
const MAX_REMARKS: usize = 20;
