//! What callers see, counted by themselves.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// How an order ended, as its caller knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderEnd {
    /// Answered whole.
    Answered,
    /// Refused as not run, for good.
    NotRun,
    /// Given up without knowing.
    Unknown,
}

/// Counts of all callers.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    pub(super) flows_opened: u64,
    pub(super) flows_broken: u64,
    pub(super) flows_given_up: u64,
    pub(super) packets_sent: u64,
    pub(super) packets_answered: u64,
    pub(super) requests_sent: u64,
    pub(super) answered: u64,
    pub(super) refused_not_run: u64,
    pub(super) may_have_run: u64,
    pub(super) wrong_or_partial_answers: u64,
    pub(super) tries: u64,
    pub(super) latencies_ms: Vec<u64>,
    /// Non-idempotent orders by how they ended.
    pub(super) orders: HashMap<String, OrderEnd>,
    /// What was seen of broken flows, for the reader of a bad report.
    pub(super) remarks: Vec<String>,
}

/// Counts that callers share.
#[derive(Debug, Default)]
pub(super) struct Tally(Mutex<Counts>);

impl Tally {
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

/// Remarks kept at the most.
const MAX_REMARKS: usize = 20;
