//! Flows that wait for a slot.
//!
//! The load that this answers: every slot taken, as in the seconds after a power loss, when callers' copies of a second
//! of SYNs come on top of the usual rate, or while a third of the targets is slow. A flow placed behind a full target
//! could not be moved again, so it waits here, where the order can still be chosen. Flows that can still be answered
//! within their latency objective go first and may use a target's reserve; those that cannot get what the others leave.
//! Which flows may wait at all is decided in [`admission`](crate::direct::admission).

use std::cmp::Reverse;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::admission::QueueDepth;
use crate::direct::segment::FlowHash;
use crate::direct::segment::Segment;
use hawthornshift_model::TargetId;

/// Part of the latency objective that a flow may spend waiting here; the other half is for the request itself, whose
/// time varies by as much.
const OBJECTIVE_DIVISOR: u32 = 3;
/// Time from a caller's first SYN to the end of its attempt.
const ATTEMPT: Duration = Duration::from_millis(1_400);
/// Age of a SYN by its number of copies: callers repeat it after 200 ms and after 600 ms.
const COPY_AGES: [Duration; 3] = [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// Time from a SYN with so many copies before it to the next; there is none after the last.
const NEXT_COPY: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(400)];
/// Time before the next copy in which a flow is no longer reset: packets may take longer to one instance than to
/// another.
const RESET_MARGIN: Duration = Duration::from_millis(10);

/// A SYN that waits.
#[derive(Clone, Debug)]
pub struct PendingFlow {
    /// Its head.
    pub segment: Segment,
    /// The packet.
    pub packet: Box<[u8]>,
    /// When it came.
    pub since: Timestamp,
    /// When its latest copy came.
    heard: Timestamp,
    /// How many copies the caller had sent before that.
    retransmissions: u32,
    /// How many of them came here.
    seen: u32,
    /// Until when it may still be answered within its latency objective.
    pub in_time_until: Timestamp,
    /// When its caller's attempt ends, or the time that its route allows.
    pub until: Timestamp,
    /// Its route's priority; zero is the highest.
    pub priority: u8,
    /// Name of its service.
    pub service: String,
    /// Targets that did not answer it.
    pub tried: Vec<TargetId>,
}

impl PendingFlow {
    /// Makes an entry for a SYN that came at `since` after so many copies.
    #[must_use]
    pub fn new(
        segment: Segment,
        packet: &[u8],
        since: Timestamp,
        retransmissions: u32,
        objective: Duration,
        timeout: Duration,
    ) -> Self {
        let age = COPY_AGES[usize::try_from(retransmissions).unwrap_or(usize::MAX).min(COPY_AGES.len() - 1)];
        Self {
            segment,
            packet: packet.into(),
            since,
            heard: since,
            retransmissions,
            seen: 0,
            in_time_until: since + objective.saturating_sub(age) / OBJECTIVE_DIVISOR,
            until: since + timeout.min(ATTEMPT).saturating_sub(age),
            priority: u8::MAX,
            service: String::new(),
            tried: Vec::new(),
        }
    }

    /// Tells whether the flow can no longer be answered within its latency objective.
    #[must_use]
    pub fn is_late(&self, now: Timestamp) -> bool {
        now >= self.in_time_until
    }

    /// Tells whether a reset cannot hit a flow that is open at a target.
    ///
    /// Any copy that did not come here, before or since, may have come to another instance, which gave it to a target.
    /// What waits here is a leftover then, and nobody may tell its caller that nothing has run.
    #[must_use]
    pub fn may_be_reset(&self, now: Timestamp) -> bool {
        let next =
            usize::try_from(self.retransmissions).ok().and_then(|retransmissions| NEXT_COPY.get(retransmissions));
        self.seen == self.retransmissions && next.is_none_or(|next| now + RESET_MARGIN < self.heard + *next)
    }

    /// The newest first: under overload those that came before it are the least likely to be still wanted when they are
    /// answered, as many of them are a caller's last try.
    fn rank(&self) -> (u8, Reverse<Timestamp>) {
        (self.priority, Reverse(self.since))
    }
}

/// All flows that wait.
#[derive(Clone, Debug, Default)]
pub struct PendingQueue {
    /// Those that may still be in time, the most urgent first.
    in_time: Vec<PendingFlow>,
    /// The others, the most urgent first.
    late: Vec<PendingFlow>,
}

fn insert(flows: &mut Vec<PendingFlow>, waiting: PendingFlow) {
    let at = flows.partition_point(|other| other.rank() <= waiting.rank());
    flows.insert(at, waiting);
}

impl PendingQueue {
    /// Tells how many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }

    /// Tells whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }

    /// Returns how many flows wait for a service.
    #[must_use]
    pub fn depth(&self, service: &str) -> QueueDepth {
        let count = |flows: &[PendingFlow]| flows.iter().filter(|waiting| waiting.service == service).count();
        QueueDepth { in_time: count(&self.in_time), late: count(&self.late) }
    }

    /// Takes a flow in. Returns the least urgent of those that are late if there are more than `capacity`: it could
    /// not be served before its time is over, and its caller should know at once.
    pub fn push(&mut self, now: Timestamp, waiting: PendingFlow, capacity: usize) -> Option<PendingFlow> {
        insert(if waiting.is_late(now) { &mut self.late } else { &mut self.in_time }, waiting);
        if self.len() > capacity { self.late.pop().or_else(|| self.in_time.pop()) } else { None }
    }

    /// Takes out the flows that can no longer be in time.
    pub fn take_late(&mut self, now: Timestamp) -> Vec<PendingFlow> {
        self.in_time.extract_if(.., |waiting| waiting.is_late(now)).collect()
    }

    /// Notes a copy of a SYN; tells whether its flow waits here.
    pub fn receive_copy(&mut self, now: Timestamp, segment: &Segment, retransmissions: u32) -> bool {
        let mut all = self.in_time.iter_mut().chain(&mut self.late);
        let waiting = all.find(|waiting| waiting.segment.flow == segment.flow);
        let Some(waiting) = waiting else { return false };
        waiting.heard = now;
        waiting.retransmissions = retransmissions;
        waiting.seen += 1;
        true
    }

    fn iter(&self) -> impl Iterator<Item = &PendingFlow> {
        self.in_time.iter().chain(&self.late)
    }

    /// Removes a flow that its caller has given up or that another instance has given to a target.
    pub fn remove(&mut self, flow: FlowHash) {
        self.in_time.retain(|waiting| waiting.segment.flow.flow_hash() != flow);
        self.late.retain(|waiting| waiting.segment.flow.flow_hash() != flow);
    }

    /// Takes out the flow at a position, the most urgent first.
    pub fn take(&mut self, index: usize) -> Option<PendingFlow> {
        if index < self.in_time.len() {
            return Some(self.in_time.remove(index));
        }
        let index = index - self.in_time.len();
        (index < self.late.len()).then(|| self.late.remove(index))
    }

    /// Returns the flow at a position, the most urgent first.
    #[must_use]
    pub fn get(&self, index: usize) -> Option<&PendingFlow> {
        self.iter().nth(index)
    }

    /// Takes out one flow whose time is over.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<PendingFlow> {
        let index = self.iter().position(|waiting| waiting.until <= now)?;
        self.take(index)
    }

    /// Returns when the next flow must be looked at.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        let late = self.in_time.iter().map(|waiting| waiting.in_time_until.min(waiting.until));
        late.chain(self.late.iter().map(|waiting| waiting.until)).min()
    }
}
