//! Decisions as they are logged and counted.

use std::time::Duration;

use serde::Serialize;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::direct::segment::FlowId;
use hawthornshift_model::TargetId;

/// What was decided about a packet or its flow.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// A new flow was given to a target.
    Placed,
    /// A flow whose target did not finish the handshake was given to another one.
    PlacedAgain,
    /// A new flow was given to a cold target, since no warm one was left.
    PlacedCold,
    /// A new flow waits for a slot.
    Waiting,
    /// A flow was reset since no route leads from its address; it was sent nowhere.
    ResetNoRoute,
    /// A new flow was reset since no target may get it; it was sent nowhere.
    ResetNoTarget,
    /// A new flow was reset since every target is full; it was sent nowhere.
    ResetFull,
    /// An open flow was reset since its target is out of reach or gone: its caller may open another at once.
    ResetUnreachable,
    /// A packet was dropped since this instance does not know the configuration and the targets yet.
    DroppedNotReady,
    /// A packet was dropped since no target is known by its cookie.
    DroppedUnknownCookie,
    /// A flow that waited was dropped without a word, since another instance may have served its caller meanwhile.
    DroppedWaiting,
    /// A copy of a SYN was dropped since its target has turned cold meanwhile and bears no more flows just now.
    DroppedCold,
    /// A packet was dropped since its target's failure domain is taken out.
    DroppedEvacuated,
    /// A request took longer than its latency objective.
    AnsweredLate,
    /// An answer was so much shorter and sooner there than its route's usual ones that it is taken for a failure.
    AnsweredFailure,
    /// A target was set aside since it has not answered this flow's request, though others have answered later ones.
    AnswerOverdue,
    /// A request was answered whose target had been set aside for it: the target is used as before.
    AnsweredOverdue,
    /// A flow ended with its handshake finished and without an answer having been seen here.
    EndedUnanswered,
    /// A flow ended whose handshake was not finished here: its caller was served elsewhere, or tried again.
    HandshakeUnfinished,
}

impl Outcome {
    /// Returns the position of the outcome's counter.
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }
}

/// One decision with what it rests on.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// The flow.
    pub flow: FlowId,
    /// What was decided.
    pub outcome: Outcome,
    /// The target, if one takes part.
    pub target: Option<TargetId>,
    /// Copies of the SYN that came before.
    pub copies: u32,
    /// Requests that the target was believed to hold before.
    pub work: u32,
    /// How long the flow had waited here, or how long its request took.
    pub took: Duration,
    /// Targets tried before.
    pub tried: usize,
}

impl Decision {
    /// Makes a decision without a target.
    #[must_use]
    pub fn new(flow: FlowId, outcome: Outcome) -> Self {
        Self { flow, outcome, target: None, copies: 0, work: 0, took: Duration::ZERO, tried: 0 }
    }
}

/// Counts of all decisions of a process.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OutcomeCounts([u64; Outcome::COUNT]);

impl OutcomeCounts {
    /// Counts one more.
    pub fn add(&mut self, outcome: Outcome) {
        self.0[outcome.index()] += 1;
    }

    /// Returns how often an outcome came.
    #[must_use]
    pub fn get(&self, outcome: Outcome) -> u64 {
        self.0[outcome.index()]
    }
}
