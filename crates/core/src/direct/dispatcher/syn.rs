//! Handling of SYNs: a new flow is placed on a target, queued or reset.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Dispatcher;
use super::Effect;
use super::Packet;
use super::Syn;
use crate::Timestamp;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::flows::Flow;
use crate::direct::flows::PendingHandshake;
use crate::direct::flows::RequestStart;
use crate::direct::flows::Stage;
use crate::direct::limits::adaptive_limit::Usage;
use crate::direct::limits::admission;
use crate::direct::limits::admission::Admission;
use crate::direct::limits::admission::WaitBudget;
use crate::direct::limits::fair_share::Standing;
use crate::direct::limits::pending::PendingFlow;
use crate::direct::mechanisms::Mechanism;
use crate::direct::placement::Choice;
use crate::direct::placement::Limit;
use crate::direct::placement::Placement;
use crate::direct::segment::Cookie;
use crate::direct::segment::FlowId;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use crate::direct::store::directory::cookie;
use crate::direct::store::store_entries::Route;
use crate::rendezvous;
use hawthornshift_model::TargetId;

/// Maximum number of targets that one SYN is sent to. A third target that does not answer indicates a fault of the
/// path and not of the targets.
const MAX_ATTEMPTS: usize = 3;
/// Capacity of the pending queues of all instances together, as seconds of work at the targets' full rate. A caller's
/// attempt lasts 1.4 s, and new flows keep arriving meanwhile.
const PENDING_HORIZON_S: f64 = 0.7;
/// Minimum capacity of an instance's pending queue, in flows.
const MIN_PENDING: usize = 16;

/// Time for which a search for free slots without a result is not repeated while no request ends. Suspicions of targets
/// and waiting flows change in the meantime.
const SEARCH_VALIDITY: Duration = Duration::from_millis(5);

/// A search that left flows waiting, since no target had room.
#[derive(Clone, Copy, Debug)]
pub(super) struct FullSearch {
    at: Timestamp,
    /// [`OpenRequests::released`](crate::direct::targets::open_requests::OpenRequests::released) at that time.
    released: u64,
}

impl FullSearch {
    /// Returns whether another search would have the same result. Under overload, each packet of a caller would
    /// otherwise cause one.
    fn is_valid(self, now: Timestamp, released: u64) -> bool {
        self.released == released && now.saturating_sub(self.at) < SEARCH_VALIDITY
    }
}

impl Dispatcher {
    /// Handles a SYN.
    ///
    /// A retransmission of a recorded SYN goes to the recorded target, or to another one when the handshake is
    /// overdue. A new SYN is placed, queued or rejected.
    pub(super) fn handle_syn(&mut self, now: Timestamp, syn: &Syn<'_>, route: &Route, effects: &mut Vec<Effect>) {
        let Syn { segment, retransmissions, packet, received_at } = *syn;
        if self.missing_revision(now).is_some() {
            self.reject_while_behind(now, syn, route, effects);
            return;
        }
        if self.retransmit_recorded(now, segment, retransmissions, effects) || self.forward_bound(now, segment, effects)
        {
            return;
        }
        if self.pending.record_retransmission(now, segment, retransmissions) {
            return;
        }
        let hash = segment.flow.hash64();
        let shares = route.shares.iter();
        let weighted = shares.map(|share| (share, xxh3_64(share.service.as_bytes()), share.weight));
        let mut pending =
            PendingFlow::new(*segment, packet, received_at, retransmissions, route.latency_objective, route.timeout);
        let Some(share) = rendezvous::pick_weighted(hash, weighted) else {
            self.reject_pending(now, &pending, Outcome::ResetNoTarget, effects);
            return;
        };
        pending.priority = route.priority;
        pending.service.clone_from(&share.service);
        if !self.is_enabled(Mechanism::LateLast) {
            pending.in_time_until = pending.deadline;
        }
        if !self.link.admit(now, segment, route.latency_objective) {
            self.reject_pending(now, &pending, Outcome::ResetLink, effects);
            return;
        }
        // Retransmissions come from a past interruption and do not predict the arrival rate.
        if retransmissions == 0 {
            self.record_caller(now, segment.flow);
            self.service_rates.arrived(now, &share.service);
        }
        pending.heavy = self.fair_shares.class_of(segment.flow.service, *segment.flow.caller.ip()).heavy;
        let late = pending.is_late(now);
        let depth = self.pending.depth(&share.service);
        let first = depth.in_time == 0 && (!late || depth.late == 0);
        match self.choose(now, &pending, self.limit(late)) {
            Choice::Target(target) if first => self.place(now, pending, target, Outcome::Placed, effects),
            Choice::NoTarget if self.has_cold_target(now, &pending.service) => self.place_cold(now, pending, effects),
            Choice::NoTarget => self.reject_pending(now, &pending, Outcome::ResetNoTarget, effects),
            Choice::Full if self.cannot_be_served(now, &pending) => {
                self.reject_pending(now, &pending, Outcome::ResetFull, effects);
            }
            Choice::Target(_) => {
                // Others of the service wait although there is a slot.
                self.full_search = None;
                self.enqueue(now, pending, effects);
            }
            Choice::Full => self.enqueue(now, pending, effects),
        }
    }

    /// Handles a retransmission of a recorded SYN. Returns whether the SYN is recorded.
    fn retransmit_recorded(
        &mut self,
        now: Timestamp,
        segment: &Segment,
        retransmissions: u32,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(flow) = self.flows.get_mut(&segment.flow).filter(|flow| flow.sequence == segment.sequence) else {
            return false;
        };
        flow.last_seen = now;
        let target = flow.target;
        let mut overdue = false;
        if let Stage::Handshake(handshake) = &mut flow.stage {
            handshake.copies.record(now, retransmissions);
            overdue = now.saturating_sub(handshake.sent) >= self.handshake_timeout.limit();
        }
        if overdue && self.retry_handshake(now, segment.flow, effects) {
            return true;
        }
        if self.is_cold(now, target) && !self.take_cold_budget(now, target) {
            let decision = Decision::new(segment.flow, Outcome::DroppedCold);
            self.record_decision(Decision { target: Some(target), ..decision });
            return true;
        }
        self.forward(target, segment.cookie, Packet::Current, effects);
        true
    }

    /// Forwards a copy of a SYN whose flow is known to be open to its target, which answers it again. Another target would
    /// answer it, too, and change the caller's cookie. Returns whether the flow is open.
    fn forward_bound(&mut self, now: Timestamp, segment: &Segment, effects: &mut Vec<Effect>) -> bool {
        let bound = self.flow_bindings.target_of_syn(segment).and_then(|cookie| self.target_by_cookie(cookie));
        let Some(target) = bound else { return false };
        if !self.is_evacuated(now, target) {
            self.forward(target, segment.cookie, Packet::Current, effects);
        }
        true
    }

    /// Rejects a SYN while the directory is behind. A copy of a recorded SYN is dropped: its target may be draining, and
    /// the flow may be open there.
    fn reject_while_behind(&mut self, now: Timestamp, syn: &Syn<'_>, route: &Route, effects: &mut Vec<Effect>) {
        let Syn { segment, retransmissions, packet, received_at } = *syn;
        if self.flows.get(&segment.flow).is_some_and(|flow| flow.sequence == segment.sequence) {
            self.record_decision(Decision::new(segment.flow, Outcome::DroppedNotReady));
            return;
        }
        self.pending.remove(segment.flow.flow_hash());
        let pending =
            PendingFlow::new(*segment, packet, received_at, retransmissions, route.latency_objective, route.timeout);
        self.reject_pending(now, &pending, Outcome::ResetBehind, effects);
    }

    /// Returns whether a flow that finds no free slot could not be served if it were queued.
    fn cannot_be_served(&self, now: Timestamp, pending: &PendingFlow) -> bool {
        if !self.is_enabled(Mechanism::Admission) {
            return false;
        }
        let service = &pending.service;
        let Some(slot_release_rate) = self.slot_release_rate(now, service) else { return false };
        let class = pending.class();
        let service_use = self.service_use(now, service, Some(class));
        let depth = service_use.as_ref().map_or(self.pending.depth(service), |it| it.depth_before(class));
        let (in_time, attempt) = (pending.in_time_until.saturating_sub(now), pending.deadline.saturating_sub(now));
        let budget = WaitBudget { in_time, attempt };
        // New flows of other classes take at most what is not guaranteed to this one.
        let arrivals = match service_use.filter(|it| it.is_guaranteed(class)) {
            Some(it) => slot_release_rate * (1.0 - it.fraction(class)),
            None => self.service_rates.arrivals(now, service),
        };
        admission::admit(budget, depth, slot_release_rate, arrivals) == Admission::Reject
    }

    /// Returns the rate per second at which slots of a service become free for this instance (Little's law): the
    /// slots that it uses or its share of them, whichever is more, divided by the answer time. `None` before the
    /// first answer.
    fn slot_release_rate(&self, now: Timestamp, service: &str) -> Option<f64> {
        let took = self.service_rates.answer_time(service)?;
        let Usage { open, share } = self.placement().usage(now, service, None);
        Some(f64::from(open).max(share) / took.as_secs_f64())
    }

    /// Queues a flow, and rejects the one that the queue displaces if it is full.
    fn enqueue(&mut self, now: Timestamp, pending: PendingFlow, effects: &mut Vec<Effect>) {
        self.record_decision(Decision::new(pending.segment.flow, Outcome::Waiting));
        if !self.is_enabled(Mechanism::PendingQueue) {
            self.reject_pending(now, &pending, Outcome::ResetFull, effects);
            return;
        }
        let capacity = self.pending_capacity(now, &pending.service);
        if let Some(displaced) = self.push_pending(now, pending, capacity) {
            self.reject_pending(now, &displaced, Outcome::ResetFull, effects);
        }
        self.dispatch(now, effects);
    }

    /// Rejects a flow that was sent to no target. It is reset if it cannot be open at a target through another
    /// instance, so that its caller learns at once that nothing has run; otherwise it is dropped.
    pub(super) fn reject_pending(
        &mut self,
        now: Timestamp,
        pending: &PendingFlow,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        self.link.closed(pending.segment.flow.flow_hash());
        let took = now.saturating_sub(pending.received_at);
        let outcome = if pending.may_be_reset(now) {
            effects.push(Effect::Reset(pending.segment));
            outcome
        } else {
            Outcome::DroppedWaiting
        };
        self.record_decision(Decision { took, ..Decision::new(pending.segment.flow, outcome) });
    }

    /// Returns the capacity of the pending queue: this instance's share of what the targets can serve in
    /// [`PENDING_HORIZON_S`].
    fn pending_capacity(&self, now: Timestamp, service: &str) -> usize {
        let slots = self.directory.capacity(now, service, None).slots;
        let usual = self.open_requests.usual().max(Duration::from_millis(1));
        let all = f64::from(slots) * PENDING_HORIZON_S / usual.as_secs_f64();
        let instances = f64::from(u32::try_from(self.instances.len()).unwrap_or(u32::MAX)).max(1.0);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range just before")]
        let part = (all / instances).clamp(0.0, f64::from(u16::MAX)) as usize;
        part.max(MIN_PENDING)
    }

    /// Returns the inputs of target selection.
    pub(super) fn placement(&self) -> Placement<'_> {
        Placement {
            directory: &self.directory,
            open_requests: &self.open_requests,
            outliers: &self.outliers,
            domains: &self.domains,
            checks: &self.checks,
            failures: &self.failures,
            limits: &self.adaptive_limits,
            quotas: &self.slot_quotas,
            speeds: &self.target_speeds,
            domain: &self.config.domain,
            mechanisms: self.config.mechanisms,
            all_domains_reported: self.all_domains_reported,
            handshake_timeout: self.handshake_timeout.limit(),
            standing: Standing::Unaffected,
            me: self.config.id,
            instances: self.instances.len(),
            group: &self.group,
            examined: &self.examined_targets,
        }
    }

    /// Selects a target for a flow. A late flow without earlier attempts gets none while this instance knows no other
    /// and its concurrency limit is reached.
    pub(super) fn choose(&self, now: Timestamp, pending: &PendingFlow, limit: Limit) -> Choice {
        if self.missing_revision(now).is_some() {
            return Choice::NoTarget;
        }
        let hash = pending.segment.flow.hash64();
        let alone = self.instances.len() <= 1;
        let late = pending.is_late(now) && pending.tried.is_empty();
        if alone
            && late
            && self.is_enabled(Mechanism::SoloWindow)
            && !self.concurrency_limit.allows(self.open_requests.total())
        {
            return Choice::Full;
        }
        let standing = self.standing(now, pending);
        Placement { standing, ..self.placement() }.choose(now, &pending.service, hash, limit, &pending.tried)
    }

    /// Returns whether a service has a cold target.
    fn has_cold_target(&self, now: Timestamp, service: &str) -> bool {
        self.placement().cold(now, service).next().is_some()
    }

    /// Returns whether a target is cold.
    ///
    /// A target may have restarted after flows were placed on it that it never answered. The retransmitted SYNs of
    /// all these flows would open there at once and exceed what a cold target can serve.
    pub(super) fn is_cold(&self, now: Timestamp, target: TargetId) -> bool {
        self.directory.target(target).is_some_and(|target| self.placement().is_cold(now, target))
    }

    /// Takes one flow from a cold target's slow-start budget. Returns whether this instance is the one that
    /// rendezvous hashing assigns the target to, and the budget allowed it.
    fn take_cold_budget(&mut self, now: Timestamp, target: TargetId) -> bool {
        let owner = rendezvous::pick(target, self.instances.iter().copied(), u64::from);
        owner == Some(self.config.id) && self.slow_start.take(now, target)
    }

    /// Places a flow on a cold target assigned to this instance if the target's budget allows, or queues the flow.
    fn place_cold(&mut self, now: Timestamp, pending: PendingFlow, effects: &mut Vec<Effect>) {
        let mut targets: Vec<TargetId> = self.placement().cold(now, &pending.service).collect();
        targets.sort_unstable();
        let target = targets.into_iter().find(|target| self.take_cold_budget(now, *target));
        match target {
            Some(target) => self.place(now, pending, target, Outcome::PlacedCold, effects),
            None => self.enqueue(now, pending, effects),
        }
    }

    /// Places a flow on a target: forwards its SYN, records the flow and starts its handshake timeout.
    pub(super) fn place(
        &mut self,
        now: Timestamp,
        pending: PendingFlow,
        target: TargetId,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        self.guaranteed_count += u64::from(self.standing(now, &pending) == Standing::Guaranteed);
        let PendingFlow { segment, packet, received_at, tried, copies, .. } = pending;
        let retransmissions = if let SegmentKind::Syn { retransmissions } = segment.kind { retransmissions } else { 0 };
        let objective = self.directory.route(segment.flow.service).map_or(Duration::MAX, |r| r.latency_objective);
        let took = now.saturating_sub(received_at);
        let decision =
            Decision { copies: retransmissions, took, tried: tried.len(), ..Decision::new(segment.flow, outcome) };
        self.record_decision(Decision { target: Some(target), work: self.open_requests.count(target), ..decision });
        let flow = segment.flow.flow_hash();
        self.open_requests.start(now, flow, target);
        self.record_class_open(target, segment.flow);
        self.report_if_needed(now, flow, target);
        self.outliers.tried(now, target);
        if let Some(target) = self.directory.target(target) {
            self.domains.tried(now, &target.spec.failure_domain);
        }
        self.checks.sent(now, target);
        self.forward(target, segment.cookie, Packet::Buffered(packet.clone()), effects);
        let stage = Stage::Handshake(PendingHandshake { sent: now, packet, tried, copies });
        let (id, sequence) = (segment.flow, segment.sequence);
        let (first_seen, last_seen, overdue) = (received_at, now, false);
        let request = RequestStart { sent: None, open: self.open_requests.count(target) };
        self.flows.insert(Flow { id, target, sequence, stage, first_seen, last_seen, objective, overdue, request });
        self.flows.schedule_handshake_timeout(flow, now + self.handshake_timeout.limit());
    }

    /// Appends the effect that forwards a packet to a target, with the target's cookie if the packet carries another.
    pub(super) fn forward(&mut self, target: TargetId, carried: Cookie, packet: Packet, effects: &mut Vec<Effect>) {
        let Some(to) = self.directory.target(target).map(|target| target.spec.address) else { return };
        let wanted = cookie(target);
        let cookie = (wanted != carried).then_some(wanted);
        effects.push(Effect::Forward { packet, to, target, cookie });
    }

    /// Counts an unfinished handshake against the target's failure domain.
    fn record_unanswered_handshake(&mut self, now: Timestamp, target: TargetId, sent: Timestamp) {
        if !self.is_enabled(Mechanism::DomainReach) {
            return;
        }
        let Some(target) = self.directory.target(target) else { return };
        if let Some(avoidance) = self.domains.unanswered(now, target, sent) {
            self.report.avoid_domains.push((target.spec.failure_domain.clone(), avoidance));
        }
    }

    /// Sends a SYN whose handshake is overdue to another target. Returns whether there was one. While this instance's
    /// own link delays packets, the target is not at fault, and another SYN would only add to the delay.
    pub(super) fn retry_handshake(&mut self, now: Timestamp, id: FlowId, effects: &mut Vec<Effect>) -> bool {
        if self.link.is_congested(now) {
            return false;
        }
        let Some(flow) = self.flows.get(&id) else { return false };
        let Stage::Handshake(handshake) = &flow.stage else { return false };
        let (target, sent) = (flow.target, handshake.sent);
        let suspicion =
            self.is_enabled(Mechanism::OutlierDetection).then(|| self.outliers.handshake_failed(now, target, sent));
        if let Some(avoidance) = suspicion.flatten() {
            self.report.avoid.push((cookie(target), avoidance));
            self.checks.suspect(now, target);
        }
        self.record_unanswered_handshake(now, target, sent);
        let Some(flow) = self.flows.get(&id) else { return false };
        let Stage::Handshake(handshake) = &flow.stage else { return false };
        if handshake.tried.len() + 1 >= MAX_ATTEMPTS || !self.is_enabled(Mechanism::SecondTry) {
            return false;
        }
        let Some(service) = self.directory.target(target).map(|target| target.spec.service.clone()) else {
            return false;
        };
        let mut tried = handshake.tried.clone();
        tried.push(target);
        let segment = Segment {
            flow: id,
            kind: SegmentKind::Syn { retransmissions: 0 },
            sequence: flow.sequence,
            acknowledged: 0,
            payload_bytes: 0,
            cookie: 0,
        };
        let mut pending =
            PendingFlow::new(segment, &handshake.packet, flow.first_seen, 0, flow.objective, Duration::MAX);
        pending.service = service;
        pending.tried = tried;
        pending.copies = handshake.copies;
        pending.heavy = self.fair_shares.class_of(id.service, *id.caller.ip()).heavy;
        // The flow is not reset if every other target is full, since the first one may still answer.
        let Choice::Target(next) = self.choose(now, &pending, Limit::Queue) else { return false };
        self.place(now, pending, next, Outcome::PlacedAgain, effects);
        // The caller's answer may pass through another instance, or this one may die before it arrives.
        self.flow_bindings.request_from_group(id.hash64());
        true
    }

    /// Moves flows that can no longer meet their latency objective behind those that can, or rejects them if they
    /// could not be served.
    fn requeue_late(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        for pending in self.pending.take_late(now) {
            if self.cannot_be_served(now, &pending) {
                self.reject_pending(now, &pending, Outcome::ResetFull, effects);
            } else {
                self.pending.push(now, pending, usize::MAX);
            }
        }
    }

    /// Places the pending flows for which a slot is free, most urgent first.
    pub(super) fn dispatch(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if self.pending.is_empty() {
            return;
        }
        if self.missing_revision(now).is_some() {
            while let Some(pending) = self.pending.take(0) {
                self.reject_pending(now, &pending, Outcome::ResetBehind, effects);
            }
            return;
        }
        self.requeue_late(now, effects);
        let released = self.open_requests.released();
        if self.full_search.is_some_and(|search| search.is_valid(now, released)) {
            return;
        }
        self.full_search = None;
        // A service without a free slot for flows in time has none for late flows either.
        let mut full = self.dispatch_shared(now, effects);
        let mut index = 0;
        while let Some(pending) = self.pending.get(index) {
            if full.contains(&pending.service) {
                index += 1;
                continue;
            }
            match self.choose(now, pending, self.limit(pending.is_late(now))) {
                Choice::Target(target) => {
                    if let Some(pending) = self.pending.take(index) {
                        self.place(now, pending, target, Outcome::Placed, effects);
                    }
                }
                Choice::Full | Choice::NoTarget => {
                    full.push(pending.service.clone());
                    index += 1;
                }
            }
        }
        if !self.pending.is_empty() {
            self.full_search = Some(FullSearch { at: now, released: self.open_requests.released() });
        }
    }
}
