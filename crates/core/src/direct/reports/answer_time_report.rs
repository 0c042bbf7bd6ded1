//! Answer-time reports: the instances of a group share how long requests took at each target.
//!
//! A report has the number of answers and the sum of their times by route and target. It is not acknowledged or
//! retransmitted: a lost report only makes the estimates of its recipients less certain. An entry takes about 9 bytes.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::segment::Cookie;
use hawthornshift_model::InstanceId;

/// Maximum number of target entries in a report, which keeps its datagram below 1,200 bytes.
pub const MAX_ENTRIES: usize = 110;

/// What the counts of a report stand for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportKind {
    /// Answers that the sender has observed since its last report.
    Recent,
    /// Everything that the sender knows, for instances that have just started. Others ignore it, because they would
    /// count answers twice.
    Summary,
    /// Nothing: the sender has just started and asks for a summary. One of the recipients answers, chosen by rendezvous
    /// hashing of the sender and the number of its requests so far.
    Request {
        /// The sender.
        sender: InstanceId,
        /// Number of requests that it has sent before.
        attempt: u8,
    },
}

/// Answers of one target to the requests of one route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnswerTimes {
    /// The target.
    pub target: Cookie,
    /// Number of answers.
    pub count: u16,
    /// Sum of the times that the requests took at the target, in units of 100 us.
    pub sum: u32,
}

/// Answers to the requests of one route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteAnswerTimes {
    /// Address of the route.
    pub route: SocketAddrV4,
    /// The answers by target.
    pub targets: Vec<TargetAnswerTimes>,
}

/// A report on how long requests took at targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerTimeReport {
    /// What the counts stand for.
    pub kind: ReportKind,
    /// The answers by route.
    pub routes: Vec<RouteAnswerTimes>,
}
