//! Queue of flows that wait for a slot.
//!
//! The expected load: all slots are taken, as in the seconds after a power loss, when callers' retransmissions of one
//! second of SYNs arrive in addition to the usual rate, or while a third of the targets is slow. A flow that has been
//! placed on a full target cannot be moved again. It therefore waits in this queue, where its order can still change.
//! Flows that can still be answered within their latency objective are served first and may use a target's reserve.
//! Late flows get the remaining capacity. [`admission`](crate::direct::limits::admission) decides which flows may wait at
//! all.

use std::cmp::Reverse;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::limits::admission::QueueDepth;
use crate::direct::limits::fair_share::FlowClass;
use crate::direct::segment::FlowHash;
use crate::direct::segment::FlowId;
use crate::direct::segment::Segment;
use crate::direct::syn_copies::SynCopies;
use hawthornshift_model::TargetId;

/// Divisor of the latency objective that gives the time that a flow may spend in the queue. The rest is for the
/// request itself, whose duration varies by as much.
const OBJECTIVE_DIVISOR: u32 = 3;
/// Time from a caller's first SYN to the end of its attempt.
pub(in crate::direct) const ATTEMPT_DURATION: Duration = Duration::from_millis(1_400);
/// Time since a caller's first SYN, by the number of retransmissions sent so far. Callers retransmit a SYN 200 ms and
/// 600 ms after the first.
const AGES_BY_RETRANSMISSIONS: [Duration; 3] = [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// Time before the next retransmission in which a flow is no longer reset, because packets may take longer to one
/// instance than to another.
const RESET_MARGIN: Duration = Duration::from_millis(10);

/// A SYN that waits for a slot.
#[derive(Clone, Debug)]
pub struct PendingFlow {
    /// The header of the SYN.
    pub segment: Segment,
    /// The packet of the SYN.
    pub packet: Box<[u8]>,
    /// When the SYN was received.
    pub received_at: Timestamp,
    /// Copies of the SYN that this instance has received.
    pub copies: SynCopies,
    /// Time until which the flow can still be answered within its latency objective.
    pub in_time_until: Timestamp,
    /// Earlier of the end of the caller's attempt and the timeout of the route.
    pub deadline: Timestamp,
    /// Priority of the route. Zero is the highest.
    pub priority: u8,
    /// Whether the caller sends many times more flows than the others of its route.
    pub heavy: bool,
    /// Name of the service.
    pub service: String,
    /// Targets that did not complete the handshake of this flow.
    pub tried: Vec<TargetId>,
}

impl PendingFlow {
    /// Creates an entry for a SYN received at `received_at` after the given number of retransmissions. The caller's
    /// latency objective and timeout count from its first SYN.
    #[must_use]
    pub fn new(
        segment: Segment,
        packet: &[u8],
        received_at: Timestamp,
        retransmissions: u32,
        objective: Duration,
        timeout: Duration,
    ) -> Self {
        let age = AGES_BY_RETRANSMISSIONS
            [usize::try_from(retransmissions).unwrap_or(usize::MAX).min(AGES_BY_RETRANSMISSIONS.len() - 1)];
        Self {
            segment,
            packet: packet.into(),
            received_at,
            copies: SynCopies::new(received_at, retransmissions),
            in_time_until: received_at + objective.saturating_sub(age) / OBJECTIVE_DIVISOR,
            deadline: received_at + timeout.min(ATTEMPT_DURATION).saturating_sub(age),
            priority: u8::MAX,
            heavy: false,
            service: String::new(),
            tried: Vec::new(),
        }
    }

    /// Returns the class of the flow among those that share its service.
    #[must_use]
    pub fn class(&self) -> FlowClass {
        FlowClass { route: self.segment.flow.service, heavy: self.heavy }
    }

    /// Returns whether the flow can no longer be answered within its latency objective.
    #[must_use]
    pub fn is_late(&self, now: Timestamp) -> bool {
        now >= self.in_time_until
    }

    /// Returns whether the flow can be reset without the risk of resetting a connection that is open at a target.
    ///
    /// A copy of the SYN that this instance did not receive, before or after this entry was queued, may have been
    /// received by another instance and placed on a target. The entry is then obsolete, and a reset must not indicate
    /// to the caller that its request was not run.
    #[must_use]
    pub fn may_be_reset(&self, now: Timestamp) -> bool {
        !self.copies.may_have_bypassed(now + RESET_MARGIN)
    }

    /// Returns the sort key of a flow: the highest priority first, then the newest. Under overload the oldest flows
    /// are the least likely to be still wanted when they are answered, because many of them are a caller's last
    /// attempt.
    fn rank(&self) -> (u8, Reverse<Timestamp>) {
        (self.priority, Reverse(self.received_at))
    }
}

/// All flows that wait for a slot.
#[derive(Clone, Debug, Default)]
pub struct PendingQueue {
    /// Flows that can still be in time, the most urgent first.
    in_time: Vec<PendingFlow>,
    /// Late flows, the most urgent first.
    late: Vec<PendingFlow>,
}

fn insert_by_rank(flows: &mut Vec<PendingFlow>, pending: PendingFlow) {
    let at = flows.partition_point(|other| other.rank() <= pending.rank());
    flows.insert(at, pending);
}

impl PendingQueue {
    /// Returns the number of waiting flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }

    /// Returns whether no flow waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }

    /// Returns the number of flows that wait for a service.
    #[must_use]
    pub fn depth(&self, service: &str) -> QueueDepth {
        let count = |flows: &[PendingFlow]| flows.iter().filter(|pending| pending.service == service).count();
        QueueDepth { in_time: count(&self.in_time), late: count(&self.late) }
    }

    /// Adds a flow. If there are more than `capacity` flows then, removes and returns the least urgent late flow, or
    /// the least urgent flow if none is late. It could not be served before its deadline, and its caller should be
    /// notified at once.
    pub fn push(&mut self, now: Timestamp, pending: PendingFlow, capacity: usize) -> Option<PendingFlow> {
        insert_by_rank(if pending.is_late(now) { &mut self.late } else { &mut self.in_time }, pending);
        if self.len() > capacity { self.late.pop().or_else(|| self.in_time.pop()) } else { None }
    }

    /// Removes and returns the flows that have become late since they were queued.
    pub fn take_late(&mut self, now: Timestamp) -> Vec<PendingFlow> {
        self.in_time.extract_if(.., |pending| pending.is_late(now)).collect()
    }

    /// Records a retransmission of a SYN. Returns whether the flow waits in this queue.
    pub fn record_retransmission(&mut self, now: Timestamp, segment: &Segment, retransmissions: u32) -> bool {
        let mut all = self.in_time.iter_mut().chain(&mut self.late);
        let pending = all.find(|pending| pending.segment.flow == segment.flow);
        let Some(pending) = pending else { return false };
        pending.copies.record(now, retransmissions);
        true
    }

    /// Returns the position of the first flow with the least key. Flows without a key are left out.
    pub fn first_by_key<K: PartialOrd>(&self, key: impl Fn(&PendingFlow) -> Option<K>) -> Option<usize> {
        let keys = self.iter().enumerate().filter_map(|(index, pending)| Some((index, key(pending)?)));
        keys.reduce(|best, other| if other.1 < best.1 { other } else { best }).map(|(index, _)| index)
    }

    /// Returns the position of the last flow with the greatest key. Flows without a key are left out.
    pub fn last_by_key<K: PartialOrd>(&self, key: impl Fn(&PendingFlow) -> Option<K>) -> Option<usize> {
        let keys = self.iter().enumerate().filter_map(|(index, pending)| Some((index, key(pending)?)));
        keys.reduce(|best, other| if other.1 < best.1 { best } else { other }).map(|(index, _)| index)
    }

    /// Returns the waiting flows, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = &PendingFlow> {
        self.in_time.iter().chain(&self.late)
    }

    /// Removes a flow that its caller has abandoned or that another instance has placed on a target.
    pub fn remove(&mut self, flow: FlowHash) {
        self.in_time.retain(|pending| pending.segment.flow.flow_hash() != flow);
        self.late.retain(|pending| pending.segment.flow.flow_hash() != flow);
    }

    /// Removes and returns a flow.
    pub fn take_flow(&mut self, flow: &FlowId) -> Option<PendingFlow> {
        let index = self.iter().position(|pending| pending.segment.flow == *flow)?;
        self.take(index)
    }

    /// Removes and returns the flow at a position, where the most urgent flow is at zero.
    pub fn take(&mut self, index: usize) -> Option<PendingFlow> {
        if index < self.in_time.len() {
            return Some(self.in_time.remove(index));
        }
        let index = index - self.in_time.len();
        (index < self.late.len()).then(|| self.late.remove(index))
    }

    /// Returns the flow at a position, where the most urgent flow is at zero.
    #[must_use]
    pub fn get(&self, index: usize) -> Option<&PendingFlow> {
        self.iter().nth(index)
    }

    /// Removes and returns one flow whose deadline has passed.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<PendingFlow> {
        let index = self.iter().position(|pending| pending.deadline <= now)?;
        self.take(index)
    }

    /// Returns the next time at which a flow becomes late or its deadline passes.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        let late = self.in_time.iter().map(|pending| pending.in_time_until.min(pending.deadline));
        late.chain(self.late.iter().map(|pending| pending.deadline)).min()
    }
}
