//! Flows whose packets pass through this instance.
//!
//! The records are an aid and not the truth: any instance can forward any packet by its cookie alone. They tell when a
//! handshake is overdue, when a request has been answered, and which target a flow belongs to when two of them have
//! answered its SYN.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::segment::FlowHash;
use crate::direct::segment::FlowId;
use crate::maps::Map;
use hawthornshift_model::TargetId;

/// Time without a packet after which the record of a flow that waits for an answer, or is closed, is dropped: callers
/// repeat what is not acknowledged within less.
const SILENT: Duration = Duration::from_secs(3);
/// The same for a flow that is open without a request. It is longer than the pauses that callers make, so that a
/// request after a pause is not taken for a flow that has moved here.
const IDLE: Duration = Duration::from_secs(15);

/// How far a flow has come.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Its SYN was sent to a target; nothing has come from the caller since.
    Handshake(PendingHandshake),
    /// The caller waits for an answer; it had received bytes up to this number before.
    AwaitingAnswer {
        /// The acknowledgement that came with the request.
        base: u32,
    },
    /// The answer has begun to arrive; how, if that was seen here.
    Answered(Option<AnswerBegun>),
    /// The caller has sent its last bytes.
    Closed,
}

impl Stage {
    /// Tells whether the caller waits for an answer.
    #[must_use]
    pub fn awaits_answer(&self) -> bool {
        matches!(self, Self::Handshake(_) | Self::AwaitingAnswer { .. })
    }
}

/// An answer that has begun to arrive.
#[derive(Clone, Copy, Debug)]
pub struct AnswerBegun {
    /// The acknowledgement that came with the request.
    pub base: u32,
    /// How long after the request it began.
    pub after: Duration,
}

/// A handshake that is not finished.
#[derive(Clone, Debug)]
pub struct PendingHandshake {
    /// When the SYN was sent to the present target.
    pub sent: Timestamp,
    /// The SYN, to be sent to another target.
    pub packet: Box<[u8]>,
    /// Targets that it was sent to before.
    pub tried: Vec<TargetId>,
}

/// One flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Its two ends.
    pub id: FlowId,
    /// Its target.
    pub target: TargetId,
    /// Number of the SYN, which tells a copy from a new flow between the same ends.
    pub sequence: u32,
    /// How far it has come.
    pub stage: Stage,
    /// When its first SYN came here.
    pub first_seen: Timestamp,
    /// When its last packet came.
    pub last_seen: Timestamp,
    /// The route's latency objective.
    pub objective: Duration,
    /// Whether its target was set aside since the present request was not answered.
    pub overdue: bool,
}

/// All flows with a record, by their short names.
#[derive(Clone, Debug, Default)]
pub struct FlowRecords {
    flows: Map<FlowHash, Flow>,
    handshakes: VecDeque<(Timestamp, FlowHash)>,
}

impl FlowRecords {
    /// Tells how many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Tells whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the flows whose callers wait for an answer.
    pub fn unanswered(&self) -> impl Iterator<Item = &Flow> {
        self.flows.values().filter(|flow| flow.stage.awaits_answer())
    }

    /// Returns a flow.
    #[must_use]
    pub fn get(&self, id: &FlowId) -> Option<&Flow> {
        self.flows.get(&id.flow_hash()).filter(|flow| flow.id == *id)
    }

    /// Returns a flow to be changed.
    pub fn get_mut(&mut self, id: &FlowId) -> Option<&mut Flow> {
        self.flows.get_mut(&id.flow_hash()).filter(|flow| flow.id == *id)
    }

    /// Puts a flow in.
    pub fn insert(&mut self, flow: Flow) {
        self.flows.insert(flow.id.flow_hash(), flow);
    }

    /// Looks at a flow's handshake at a time.
    pub fn watch_handshake(&mut self, flow: FlowHash, due: Timestamp) {
        self.handshakes.push_back((due, flow));
    }

    /// Removes a flow.
    pub fn remove(&mut self, id: &FlowId) -> Option<Flow> {
        self.get(id)?;
        self.flows.remove(&id.flow_hash())
    }

    /// Notes that another instance serves a flow now, since its caller's packets go there.
    ///
    /// Without this the handshake would seem never to be finished, and its SYN would go to a second target, whose
    /// answer would lead the rest of the flow astray.
    pub fn moved(&mut self, flow: FlowHash) {
        if self.flows.get(&flow).is_some_and(|flow| matches!(flow.stage, Stage::Handshake(_))) {
            self.flows.remove(&flow);
        }
    }

    /// Notes that another instance has seen a flow's answer.
    pub fn answered_elsewhere(&mut self, flow: FlowHash) {
        self.moved(flow);
        if let Some(flow) = self.flows.get_mut(&flow).filter(|flow| flow.stage.awaits_answer()) {
            flow.stage = Stage::Answered(None);
        }
    }

    /// Returns the next flow whose handshake should be finished by now, with the time when it was due.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<(Timestamp, FlowId)> {
        while let Some((due, flow)) = self.handshakes.pop_front_if(|(due, _)| *due <= now) {
            if let Some(flow) = self.flows.get(&flow) {
                return Some((due, flow.id));
            }
        }
        None
    }

    /// Returns when the next handshake is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        self.handshakes.front().map(|(due, _)| *due)
    }

    /// Drops the records of flows that have been silent, and returns those that were still waiting for an answer.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<Flow> {
        let silent = |_: &FlowHash, flow: &mut Flow| {
            let limit = if matches!(flow.stage, Stage::Answered(_)) { IDLE } else { SILENT };
            now.saturating_sub(flow.last_seen) >= limit
        };
        let dropped = self.flows.extract_if(silent).map(|(_, flow)| flow);
        dropped.filter(|flow| flow.stage.awaits_answer()).collect()
    }
}
