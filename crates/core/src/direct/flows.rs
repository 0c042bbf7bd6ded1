//! Connection tracking of the flows whose packets pass through this instance.
//!
//! The records are optional state: any instance can forward any packet by its cookie alone. They serve to detect when
//! a handshake is overdue and when a request has been answered, and determine the target of a flow when two targets
//! have answered its SYN.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::segment::FlowHash;
use crate::direct::segment::FlowId;
use crate::direct::segment::FlowKey;
use crate::direct::segment::flow_hash_of;
use crate::direct::syn_copies::SynCopies;
use crate::maps::FixedHashMap;
use hawthornshift_model::TargetId;

/// Time without a packet after which the record of a flow that awaits an answer, or is closed, is dropped. Callers
/// retransmit unacknowledged data sooner.
const SILENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a packet after which the record of an idle flow (open without a request) is dropped. It is longer
/// than the pauses that callers make between requests, so that a request after a pause is not taken for a flow that
/// has moved here.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// State of a flow.
#[derive(Clone, Debug)]
pub enum Stage {
    /// The SYN was sent to a target; no other packet of the caller has arrived since.
    Handshake(PendingHandshake),
    /// The caller has sent a request, or completed the handshake, and awaits an answer.
    AwaitingAnswer {
        /// Acknowledgement number of the packet with the request. A higher one means that the answer has started.
        request_ack: u32,
    },
    /// The answer has started to arrive; its start is known if it was observed by this instance.
    Answered(Option<AnswerStart>),
    /// The caller has sent a FIN or RST.
    Closed,
}

impl Stage {
    /// Returns whether the caller awaits an answer.
    #[must_use]
    pub fn awaits_answer(&self) -> bool {
        matches!(self, Self::Handshake(_) | Self::AwaitingAnswer { .. })
    }
}

/// Start of an answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerStart {
    /// Acknowledgement number of the packet with the request.
    pub request_ack: u32,
    /// Time from the request to the start of the answer.
    pub after: Duration,
}

/// An unfinished handshake.
#[derive(Clone, Debug)]
pub struct PendingHandshake {
    /// When the SYN was sent to the current target.
    pub sent: Timestamp,
    /// The SYN packet, for a retry at another target.
    pub packet: Box<[u8]>,
    /// Targets that the SYN was sent to before.
    pub tried: Vec<TargetId>,
    /// Copies of the SYN that this instance has received.
    pub copies: SynCopies,
}

/// Record of one flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Endpoints of the flow.
    pub id: FlowId,
    /// Target of the flow.
    pub target: TargetId,
    /// Sequence number of the SYN. It distinguishes a retransmission from a new flow between the same endpoints.
    pub sequence: u32,
    /// State of the flow.
    pub stage: Stage,
    /// When the first SYN, or the current request if it is a later one, arrived at this instance.
    pub first_seen: Timestamp,
    /// When the last packet arrived.
    pub last_seen: Timestamp,
    /// The route's latency objective.
    pub objective: Duration,
    /// Whether the answer to the current request was found overdue, which may have ejected the target.
    pub overdue: bool,
    /// When and to how full a target the current request was sent.
    pub request: RequestStart,
}

/// Start of a request, for the time that its target works on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestStart {
    /// When the first packet with data arrived; `None` if it did not pass through this instance yet.
    pub sent: Option<Timestamp>,
    /// Number of requests that the target had open when it got this one, including it.
    pub open: u32,
}

/// Records of flows, by flow hash.
#[derive(Clone, Debug, Default)]
pub struct FlowRecords {
    flows: FixedHashMap<FlowHash, Flow>,
    handshake_timers: VecDeque<(Timestamp, FlowHash)>,
}

impl FlowRecords {
    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the flows whose callers await an answer.
    pub fn unanswered(&self) -> impl Iterator<Item = &Flow> {
        self.flows.values().filter(|flow| flow.stage.awaits_answer())
    }

    /// Returns the record of a flow.
    #[must_use]
    pub fn get(&self, id: &FlowId) -> Option<&Flow> {
        self.flows.get(&id.flow_hash()).filter(|flow| flow.id == *id)
    }

    /// Returns the record of a flow for modification.
    pub fn get_mut(&mut self, id: &FlowId) -> Option<&mut Flow> {
        self.flows.get_mut(&id.flow_hash()).filter(|flow| flow.id == *id)
    }

    /// Returns the record of a flow whose handshake has ended.
    #[must_use]
    pub fn opened(&self, key: FlowKey) -> Option<&Flow> {
        let flow = self.flows.get(&flow_hash_of(key)).filter(|flow| flow.id.hash64() == key);
        flow.filter(|flow| !matches!(flow.stage, Stage::Handshake(_)))
    }

    /// Inserts a record, replacing any other with the same flow hash.
    pub fn insert(&mut self, flow: Flow) {
        self.flows.insert(flow.id.flow_hash(), flow);
    }

    /// Schedules a handshake timeout for a flow.
    pub fn schedule_handshake_timeout(&mut self, flow: FlowHash, due: Timestamp) {
        self.handshake_timers.push_back((due, flow));
    }

    /// Removes the record of a flow, and returns it.
    pub fn remove(&mut self, id: &FlowId) -> Option<Flow> {
        self.get(id)?;
        self.flows.remove(&id.flow_hash())
    }

    /// Removes a flow in the handshake state whose packets now pass through another instance, and returns its record.
    ///
    /// Otherwise its handshake would time out here and its SYN would be sent to a second target, whose answer would
    /// divert the rest of the flow to the wrong target.
    pub fn moved_to_peer(&mut self, flow: FlowHash) -> Option<Flow> {
        self.flows.get(&flow).filter(|flow| matches!(flow.stage, Stage::Handshake(_)))?;
        self.flows.remove(&flow)
    }

    /// Sets the target of a flow to the one at which a peer has observed it to be open.
    pub fn rebind(&mut self, key: FlowKey, target: TargetId) {
        if let Some(flow) = self.flows.get_mut(&flow_hash_of(key)).filter(|flow| flow.id.hash64() == key) {
            flow.target = target;
        }
    }

    /// Records that another instance has observed the answer of a flow.
    pub fn answered_at_peer(&mut self, flow: FlowHash) {
        if let Some(flow) = self.flows.get_mut(&flow).filter(|flow| flow.stage.awaits_answer()) {
            flow.stage = Stage::Answered(None);
        }
    }

    /// Takes the next handshake timeout that has expired, and returns its time and its flow.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<(Timestamp, FlowId)> {
        while let Some((due, flow)) = self.handshake_timers.pop_front_if(|(due, _)| *due <= now) {
            if let Some(flow) = self.flows.get(&flow) {
                return Some((due, flow.id));
            }
        }
        None
    }

    /// Returns the time of the next handshake timeout.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        self.handshake_timers.front().map(|(due, _)| *due)
    }

    /// Drops the records of flows without a packet for their timeout, and returns those that were still awaiting an
    /// answer.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<Flow> {
        let silent = |_: &FlowHash, flow: &mut Flow| {
            let limit = if matches!(flow.stage, Stage::Answered(_)) { IDLE_TIMEOUT } else { SILENT_TIMEOUT };
            now.saturating_sub(flow.last_seen) >= limit
        };
        let dropped = self.flows.extract_if(silent).map(|(_, flow)| flow);
        dropped.filter(|flow| flow.stage.awaits_answer()).collect()
    }
}
