//! What instances of a group tell each other of open requests and of targets that seem not to answer.
//!
//! One datagram a turn of the process carries all that the turn brought, so its cost follows the rate of what is reported
//! and not the number of decisions. Nothing is confirmed or repeated: a lost report makes a target look one request fuller
//! or emptier for a second at most.
//!
//! Which requests are reported is decided in [`open_requests`](crate::direct::open_requests): those that could change another instance's
//! choice.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::segment::Cookie;
use crate::direct::segment::FlowHash;

/// Most entries of each kind in one datagram, which keeps it below 1,200 bytes.
pub const MAX_ENTRIES: usize = 90;

/// A request that a target works on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OpenRequest {
    /// Its flow.
    pub flow: FlowHash,
    /// Its target.
    pub target: Cookie,
    /// How long it has been open, in milliseconds.
    pub age_ms: u16,
}

/// A request that was reported as open and has been answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AnsweredRequest {
    /// Its flow.
    pub flow: FlowHash,
    /// Requests that its target has answered since the sender's last report on it and that were never reported: without
    /// this number a target would seem as slow as the slowest of its requests.
    pub unreported: u16,
}

/// A target of whose answers one looked like a failure.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailedRequest {
    /// The target.
    pub target: Cookie,
    /// Requests that it has answered since the sender's last report on it and that were never reported.
    pub unreported: u16,
}

/// News of one turn.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests that targets work on.
    pub started: Vec<OpenRequest>,
    /// Requests that have been answered.
    pub ended: Vec<AnsweredRequest>,
    /// Flows of whose request nothing is expected here any more. No sign of life of their targets: were they told as
    /// answered, a dead target would seem to live by all the flows that it does not answer.
    pub abandoned: Vec<FlowHash>,
    /// Targets of whose answers one looked like a failure.
    pub failed: Vec<FailedRequest>,
    /// Targets that have been set aside since an answer of theirs is overdue.
    pub overdue: Vec<Cookie>,
    /// Targets of whose overdue answers one has come after all.
    pub answered_overdue: Vec<Cookie>,
    /// Targets that seem not to answer, and how long to avoid each.
    pub avoid: Vec<(Cookie, Duration)>,
    /// Failure domains whose targets seem not to answer, and how long to avoid each.
    pub avoid_domains: Vec<(String, Duration)>,
    /// Failure domains that were suspected and have answered just now.
    pub alive_domains: Vec<String>,
    /// Targets that the sender could not reach; some of the others should check them.
    pub unreachable: Vec<Cookie>,
    /// The same, in answer to another instance.
    pub confirmed: Vec<Cookie>,
    /// Targets that somebody suspects and that have answered here just now.
    pub alive: Vec<Cookie>,
    /// Targets that answer again after a silence, and how long they count as cold.
    pub recovered: Vec<(Cookie, Duration)>,
}

/// Generates what has to be done for each list of a report, so that none can be forgotten.
macro_rules! lists {
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

lists! {
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
    /// Tells whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Splits the report into parts that fit a datagram each.
    #[must_use]
    pub fn parts(self) -> Vec<Self> {
        if self.len() <= MAX_ENTRIES { vec![self] } else { self.split() }
    }
}
