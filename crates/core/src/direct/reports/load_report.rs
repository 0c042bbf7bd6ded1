//! Load reports: the instances of a group share their open requests and the targets that appear unresponsive.
//!
//! Each iteration of the event loop sends one report with everything it produced, so the cost follows the rate of
//! reported events and not the number of decisions. Reports are not acknowledged or retransmitted: a lost report makes
//! a target appear to have one request more or fewer for at most a second.
//!
//! [`open_requests`](crate::direct::targets::open_requests) decides which requests are reported: those that could change another
//! instance's choice.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::segment::Cookie;
use crate::direct::segment::FlowHash;

/// Maximum number of entries in one datagram, which keeps it below 1,200 bytes.
pub const MAX_ENTRIES: usize = 90;

/// A request that a target is processing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OpenRequest {
    /// The request's flow.
    pub flow: FlowHash,
    /// The request's target.
    pub target: Cookie,
    /// Time since the request was opened, in milliseconds.
    pub age_ms: u16,
}

/// A request that was reported as open and has been answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AnsweredRequest {
    /// The request's flow.
    pub flow: FlowHash,
    /// Number of unreported requests that the target has answered since the sender's last report on it. Without this
    /// count a target would appear as slow as its slowest requests.
    pub unreported: u16,
}

/// A target that returned an answer that looked like a failure.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailedRequest {
    /// The target.
    pub target: Cookie,
    /// Number of unreported requests that the target has answered since the sender's last report on it.
    pub unreported: u16,
}

/// Everything that one iteration of the event loop reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests that targets are processing.
    pub started: Vec<OpenRequest>,
    /// Requests that have been answered.
    pub ended: Vec<AnsweredRequest>,
    /// Flows whose request is no longer expected to be answered here. They are not evidence that their targets are
    /// alive: if they were reported as answered, a dead target would appear alive because of all the flows that it does
    /// not answer.
    pub abandoned: Vec<FlowHash>,
    /// Targets that returned an answer that looked like a failure.
    pub failed: Vec<FailedRequest>,
    /// Targets that have been ejected because an answer is overdue.
    pub overdue: Vec<Cookie>,
    /// Targets that have returned an overdue answer after all.
    pub answered_overdue: Vec<Cookie>,
    /// Targets that appear unresponsive, and how long to avoid each.
    pub avoid: Vec<(Cookie, Duration)>,
    /// Failure domains whose targets appear unresponsive, and how long to avoid each.
    pub avoid_domains: Vec<(String, Duration)>,
    /// Failure domains that were suspected and have just answered.
    pub alive_domains: Vec<String>,
    /// Targets that the sender could not reach and that some of the other instances should check.
    pub unreachable: Vec<Cookie>,
    /// Targets that the sender could not reach when it checked them for another instance.
    pub confirmed: Vec<Cookie>,
    /// Suspected targets that have just answered the sender.
    pub alive: Vec<Cookie>,
    /// Targets that respond again after having been unresponsive, and how long to treat each as cold.
    pub recovered: Vec<(Cookie, Duration)>,
}

/// Implements the operations that cover every list of a report, so that none can be omitted.
macro_rules! impl_list_methods {
    ($($list:ident,)*) => {
        impl LoadReport {
            fn len(&self) -> usize {
                let Self { $($list),* } = self;
                0 $(+ $list.len())*
            }

            fn split(self) -> Vec<Self> {
                let Self { $($list),* } = self;
                let mut parts = Vec::new();
                $(
                    parts.extend($list.chunks(MAX_ENTRIES).map(|part| Self { $list: part.to_vec(), ..Self::default() }));
                )*
                parts
            }
        }
    };
}

impl_list_methods! {
    started,
    ended,
    abandoned,
    failed,
    overdue,
    answered_overdue,
    avoid,
    avoid_domains,
    alive_domains,
    unreachable,
    confirmed,
    alive,
    recovered,
}

impl LoadReport {
    /// Returns whether the report has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Splits the report into parts that each fit in a datagram.
    #[must_use]
    pub fn parts(self) -> Vec<Self> {
        if self.len() <= MAX_ENTRIES { vec![self] } else { self.split() }
    }
}
