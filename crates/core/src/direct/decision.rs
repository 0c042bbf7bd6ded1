//! Records of the dispatcher's decisions, for the log and the metrics.

use std::time::Duration;

use serde::Serialize;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::direct::segment::FlowId;
use hawthornshift_model::TargetId;

/// Outcome of a decision about a packet or its flow.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// A new flow was placed on a target.
    Placed,
    /// A flow whose target did not complete the handshake was placed on another target.
    PlacedAgain,
    /// A new flow was placed on a cold target, since no warm target was available.
    PlacedCold,
    /// A new flow was queued until a slot is free.
    Waiting,
    /// A flow was reset since no configuration known here has its route, or the latest one dropped it; the packet was sent
    /// to no target.
    ResetNoRoute,
    /// A new flow was reset since no target is eligible; it was sent to no target.
    ResetNoTarget,
    /// A new flow was reset since every target is full; it was sent to no target.
    ResetFull,
    /// A new flow of many bytes was reset since this instance's own link could not carry it in time; it was sent to no
    /// target.
    ResetLink,
    /// A new flow was reset since the directory of this instance is behind; it was sent to no target.
    ResetBehind,
    /// An open flow was reset since its target is out of reach or gone. Its caller may open a new flow at once.
    ResetUnreachable,
    /// A packet was dropped since this instance does not have the configuration and the targets yet.
    DroppedNotReady,
    /// A packet was dropped since its address has no route here. Its flow may have been opened through another instance,
    /// under a newer configuration.
    DroppedNoRoute,
    /// A packet was dropped since no target has its cookie.
    DroppedUnknownCookie,
    /// A pending flow was dropped without a reset, since another instance may have placed it meanwhile.
    DroppedWaiting,
    /// A retransmitted SYN was dropped since its target has become cold and its slow-start budget is used up.
    DroppedCold,
    /// A packet was dropped since its target's failure domain is evacuated.
    DroppedEvacuated,
    /// A request was answered after its latency objective.
    AnsweredLate,
    /// An answer was so much shorter and faster than usual on its route that it is classified as a failure.
    AnsweredFailure,
    /// A target was ejected since it has not answered this flow's request, whereas later requests have been answered.
    AnswerOverdue,
    /// A request was answered after its answer had been found overdue: its target is used as before.
    AnsweredOverdue,
    /// A flow ended after its handshake, without an answer observed by this instance.
    EndedUnanswered,
    /// A flow ended without a completed handshake at this instance: its caller was served through another one, or
    /// retried.
    HandshakeUnfinished,
    /// A packet was sent to the target at which its flow is known to be open, although its cookie identifies another one.
    CookieOverruled,
}

impl Outcome {
    /// Returns the index of the outcome's counter.
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }
}

/// A decision with its inputs.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// The flow.
    pub flow: FlowId,
    /// The outcome.
    pub outcome: Outcome,
    /// The target, if the decision involves one.
    pub target: Option<TargetId>,
    /// Copies of the SYN that the caller had sent before.
    pub copies: u32,
    /// Open requests counted for the target before this decision.
    pub work: u32,
    /// Time that the flow had waited at this instance, or that its request had taken.
    pub took: Duration,
    /// Number of targets that the SYN was sent to before.
    pub tried: usize,
}

impl Decision {
    /// Returns a decision without a target, with all measures zero.
    #[must_use]
    pub fn new(flow: FlowId, outcome: Outcome) -> Self {
        Self { flow, outcome, target: None, copies: 0, work: 0, took: Duration::ZERO, tried: 0 }
    }
}

/// Number of decisions of this process, by outcome.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OutcomeCounts([u64; Outcome::COUNT]);

impl OutcomeCounts {
    /// Counts one decision.
    pub fn add(&mut self, outcome: Outcome) {
        self.0[outcome.index()] += 1;
    }

    /// Returns the number of decisions with an outcome.
    #[must_use]
    pub fn get(&self, outcome: Outcome) -> u64 {
        self.0[outcome.index()]
    }
}
