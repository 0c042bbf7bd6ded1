//! SYNs: to which target, to wait, or to be reset.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Dispatcher;
use super::Effect;
use super::Packet;
use super::Syn;
use crate::Timestamp;
use crate::direct::adaptive_limit::Usage;
use crate::direct::admission;
use crate::direct::admission::Admission;
use crate::direct::admission::WaitBudget;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::directory::cookie;
use crate::direct::flows::Flow;
use crate::direct::flows::PendingHandshake;
use crate::direct::flows::Stage;
use crate::direct::mechanisms::Mechanism;
use crate::direct::pending::PendingFlow;
use crate::direct::placement::Choice;
use crate::direct::placement::Limit;
use crate::direct::placement::Placement;
use crate::direct::segment::Cookie;
use crate::direct::segment::FlowId;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use crate::direct::store_entries::Route;
use crate::rendezvous;
use hawthornshift_model::TargetId;

/// Targets that one SYN is sent to at the most; a third that does not answer points to the path, not to targets.
const MAX_TRIES: usize = 3;
/// Time's worth of work that may wait in all instances together, by what the targets can do; a caller's attempt lasts
/// 1.4 s, and new flows go on coming meanwhile.
const WAITING_HORIZON: f64 = 0.7;
/// Fewest flows that may wait, whatever the estimate.
const MIN_WAITING: usize = 16;

impl Dispatcher {
    /// Decides about a SYN.
    pub(super) fn open(&mut self, now: Timestamp, syn: &Syn<'_>, route: &Route, effects: &mut Vec<Effect>) {
        let Syn { segment, retransmissions, packet, since } = *syn;
        if let Some(flow) = self.flows.get_mut(&segment.flow).filter(|flow| flow.sequence == segment.sequence) {
            flow.last_seen = now;
            let target = flow.target;
            let overdue = matches!(&flow.stage, Stage::Handshake(opening)
                if now.saturating_sub(opening.sent) >= self.handshake_timeout.limit());
            if overdue && self.try_another(now, segment.flow, effects) {
                return;
            }
            if self.is_cold(now, target) && !self.takes_cold_turn(now, target) {
                self.decide(Decision { target: Some(target), ..Decision::new(segment.flow, Outcome::DroppedCold) });
                return;
            }
            self.forward(target, segment.cookie, Packet::Current, effects);
            return;
        }
        if self.waiting.receive_copy(now, segment, retransmissions) {
            return;
        }
        let hash = segment.flow.hash64();
        let shares = route.shares.iter();
        let weighted = shares.map(|share| (share, xxh3_64(share.service.as_bytes()), share.weight));
        let Some(share) = rendezvous::pick_weighted(hash, weighted) else {
            effects.push(Effect::Reset(*segment));
            self.decide(Decision::new(segment.flow, Outcome::ResetNoTarget));
            return;
        };
        let mut waiting =
            PendingFlow::new(*segment, packet, since, retransmissions, route.latency_objective, route.timeout);
        waiting.priority = route.priority;
        waiting.service.clone_from(&share.service);
        if !self.has(Mechanism::LateLast) {
            waiting.in_time_until = waiting.until;
        }
        // Copies tell of an interruption that is over, and not of the load that is to come.
        if retransmissions == 0 {
            self.rates.arrived(now, &share.service);
        }
        let late = waiting.is_late(now);
        let ahead = self.waiting.depth(&share.service);
        let first = ahead.in_time == 0 && (!late || ahead.late == 0);
        match self.choose(now, &waiting, self.limit(late)) {
            Choice::Target(target) if first => self.place(now, waiting, target, Outcome::Placed, effects),
            Choice::NoTarget if self.all_cold(now, &waiting.service) => self.start_slowly(now, waiting, effects),
            Choice::NoTarget => self.reject_pending(now, &waiting, Outcome::ResetNoTarget, effects),
            Choice::Full if self.is_hopeless(now, &waiting) => {
                self.reject_pending(now, &waiting, Outcome::ResetFull, effects);
            }
            Choice::Target(_) | Choice::Full => self.wait(now, waiting, effects),
        }
    }

    /// Tells whether a flow that finds no room could not be served if it waited.
    fn is_hopeless(&self, now: Timestamp, waiting: &PendingFlow) -> bool {
        if !self.has(Mechanism::Admission) {
            return false;
        }
        let service = &waiting.service;
        let Some(slots_free) = self.slots_free(now, service) else { return false };
        let (in_time, attempt) = (waiting.in_time_until.saturating_sub(now), waiting.until.saturating_sub(now));
        let patience = WaitBudget { in_time, attempt };
        let arrivals = self.rates.arrivals(now, service);
        admission::admit(patience, self.waiting.depth(service), slots_free, arrivals) == Admission::Reject
    }

    /// Returns the rate, a second, at which slots of a service come free for this instance: as many as it uses now, or may
    /// use, each for the time that answers take (Little's law).
    fn slots_free(&self, now: Timestamp, service: &str) -> Option<f64> {
        let took = self.rates.answer_time(service)?;
        let Usage { open, share } = self.placement().usage(now, service, None);
        Some(f64::from(open).max(share) / took.as_secs_f64())
    }

    fn wait(&mut self, now: Timestamp, waiting: PendingFlow, effects: &mut Vec<Effect>) {
        self.decide(Decision::new(waiting.segment.flow, Outcome::Waiting));
        if !self.has(Mechanism::PendingQueue) {
            self.reject_pending(now, &waiting, Outcome::ResetFull, effects);
            return;
        }
        let capacity = self.waiting_capacity(now, &waiting.service);
        if let Some(displaced) = self.waiting.push(now, waiting, capacity) {
            self.reject_pending(now, &displaced, Outcome::ResetFull, effects);
        }
        self.dispatch(now, effects);
    }

    /// Gives up a flow that was sent nowhere, and resets it if that is sure, so that its caller knows at once that nothing
    /// has run.
    pub(super) fn reject_pending(
        &mut self,
        now: Timestamp,
        waiting: &PendingFlow,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let took = now.saturating_sub(waiting.since);
        let outcome = if waiting.may_be_reset(now) {
            effects.push(Effect::Reset(waiting.segment));
            outcome
        } else {
            Outcome::DroppedWaiting
        };
        self.decide(Decision { took, ..Decision::new(waiting.segment.flow, outcome) });
    }

    /// Returns how many flows may wait here: this instance's part of what the targets can do in the horizon.
    fn waiting_capacity(&self, now: Timestamp, service: &str) -> usize {
        let slots: u32 = self.directory.candidates(now, service).map(|target| target.spec.slots).sum();
        let usual = self.open_requests.usual().max(Duration::from_millis(1));
        let all = f64::from(slots) * WAITING_HORIZON / usual.as_secs_f64();
        let instances = f64::from(u32::try_from(self.instances.len()).unwrap_or(u32::MAX)).max(1.0);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range just before")]
        let part = (all / instances).clamp(0.0, f64::from(u16::MAX)) as usize;
        part.max(MIN_WAITING)
    }

    pub(super) fn placement(&self) -> Placement<'_> {
        Placement {
            directory: &self.directory,
            open_requests: &self.open_requests,
            outliers: &self.outliers,
            domains: &self.domains,
            failures: &self.failures,
            limits: &self.limits,
            domain: &self.config.domain,
            mechanisms: self.config.mechanisms,
            all_domains_reported: self.all_domains_reported,
            handshake_timeout: self.handshake_timeout.limit(),
            me: self.config.id,
            instances: self.instances.len(),
            group: &self.group,
        }
    }

    pub(super) fn choose(&self, now: Timestamp, waiting: &PendingFlow, limit: Limit) -> Choice {
        let hash = waiting.segment.flow.hash64();
        let alone = self.instances.len() <= 1;
        let late = waiting.is_late(now) && waiting.tried.is_empty();
        if alone && late && self.has(Mechanism::SoloWindow) && !self.concurrency.allows(self.open_requests.total()) {
            return Choice::Full;
        }
        self.placement().choose(now, &waiting.service, hash, limit, &waiting.tried)
    }

    fn all_cold(&self, now: Timestamp, service: &str) -> bool {
        self.placement().cold(now, service).next().is_some()
    }

    /// Tells whether a target has turned cold.
    ///
    /// A target may have been restarted since it was given flows that it never answered. The copies of their SYNs would
    /// all open flows there at once, however few it bears.
    pub(super) fn is_cold(&self, now: Timestamp, target: TargetId) -> bool {
        self.directory.target(target).is_some_and(|target| self.placement().is_cold(now, target))
    }

    /// Takes one flow for a cold target, if it is this instance's task to do so and its budget allows.
    fn takes_cold_turn(&mut self, now: Timestamp, target: TargetId) -> bool {
        let owner = rendezvous::pick(target, self.instances.iter().copied(), u64::from);
        owner == Some(self.config.id) && self.cold.take(now, target)
    }

    /// Places on a cold target of this instance's if its budget allows; otherwise the flow waits for one to be warm.
    fn start_slowly(&mut self, now: Timestamp, waiting: PendingFlow, effects: &mut Vec<Effect>) {
        let targets: Vec<TargetId> = self.placement().cold(now, &waiting.service).collect();
        let target = targets.into_iter().find(|target| self.takes_cold_turn(now, *target));
        match target {
            Some(target) => self.place(now, waiting, target, Outcome::PlacedCold, effects),
            None => self.wait(now, waiting, effects),
        }
    }

    pub(super) fn place(
        &mut self,
        now: Timestamp,
        waiting: PendingFlow,
        target: TargetId,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let PendingFlow { segment, packet, since, tried, .. } = waiting;
        let retransmissions = if let SegmentKind::Syn { retransmissions } = segment.kind { retransmissions } else { 0 };
        let objective = self.directory.route(segment.flow.service).map_or(Duration::MAX, |r| r.latency_objective);
        let took = now.saturating_sub(since);
        let decision =
            Decision { copies: retransmissions, took, tried: tried.len(), ..Decision::new(segment.flow, outcome) };
        self.decide(Decision { target: Some(target), work: self.open_requests.count(target), ..decision });
        let flow = segment.flow.flow_hash();
        self.open_requests.start(now, flow, target);
        self.report_if_notable(now, flow, target);
        self.outliers.tried(now, target);
        if let Some(target) = self.directory.target(target) {
            self.domains.tried(now, &target.spec.failure_domain);
        }
        self.checks.sent(now, target);
        self.forward(target, segment.cookie, Packet::Buffered(packet.clone()), effects);
        let stage = Stage::Handshake(PendingHandshake { sent: now, packet, tried });
        let (id, sequence) = (segment.flow, segment.sequence);
        let (first_seen, last_seen, overdue) = (since, now, false);
        self.flows.insert(Flow { id, target, sequence, stage, first_seen, last_seen, objective, overdue });
        self.flows.watch_handshake(flow, now + self.handshake_timeout.limit());
    }

    pub(super) fn forward(&mut self, target: TargetId, carried: Cookie, packet: Packet, effects: &mut Vec<Effect>) {
        let Some(to) = self.directory.target(target).map(|target| target.spec.address) else { return };
        let wanted = cookie(target);
        let cookie = (wanted != carried).then_some(wanted);
        effects.push(Effect::Forward { packet, to, target, cookie });
    }

    /// Counts a handshake that was not finished against the target's failure domain.
    fn domain_unanswered(&mut self, now: Timestamp, target: TargetId, sent: Timestamp) {
        if !self.has(Mechanism::DomainReach) {
            return;
        }
        let Some(target) = self.directory.target(target) else { return };
        if let Some(avoidance) = self.domains.unanswered(now, target, sent) {
            self.report.avoid_domains.push((target.spec.failure_domain.clone(), avoidance));
        }
    }

    /// Sends a SYN whose handshake is overdue to another target; tells whether there was one.
    pub(super) fn try_another(&mut self, now: Timestamp, id: FlowId, effects: &mut Vec<Effect>) -> bool {
        let Some(flow) = self.flows.get(&id) else { return false };
        let Stage::Handshake(opening) = &flow.stage else { return false };
        let (target, sent) = (flow.target, opening.sent);
        let suspicion = self.has(Mechanism::OutlierDetection).then(|| self.outliers.unanswered(now, target, sent));
        if let Some(avoidance) = suspicion.flatten() {
            self.report.avoid.push((cookie(target), avoidance));
            self.checks.suspect(now, target);
        }
        self.domain_unanswered(now, target, sent);
        let Some(flow) = self.flows.get(&id) else { return false };
        let Stage::Handshake(opening) = &flow.stage else { return false };
        if opening.tried.len() + 1 >= MAX_TRIES || !self.has(Mechanism::SecondTry) {
            return false;
        }
        let Some(service) = self.directory.target(target).map(|target| target.spec.service.clone()) else {
            return false;
        };
        let mut tried = opening.tried.clone();
        tried.push(target);
        let segment = Segment {
            flow: id,
            kind: SegmentKind::Syn { retransmissions: 0 },
            sequence: flow.sequence,
            acknowledged: 0,
            payload_bytes: 0,
            cookie: 0,
        };
        let mut waiting = PendingFlow::new(segment, &opening.packet, flow.first_seen, 0, flow.objective, Duration::MAX);
        waiting.service = service;
        waiting.tried = tried;
        // Not reset if every other target is full: the first may still answer.
        let Choice::Target(next) = self.choose(now, &waiting, Limit::Full) else { return false };
        self.place(now, waiting, next, Outcome::PlacedAgain, effects);
        true
    }

    /// Lets flows that can no longer be in time wait behind those that can, or rejects them if they could not be served.
    fn put_late_last(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        for waiting in self.waiting.take_late(now) {
            if self.is_hopeless(now, &waiting) {
                self.reject_pending(now, &waiting, Outcome::ResetFull, effects);
            } else {
                self.waiting.push(now, waiting, usize::MAX);
            }
        }
    }

    /// Places waiting flows for which there is room now, the most urgent first.
    pub(super) fn dispatch(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if self.waiting.is_empty() {
            return;
        }
        self.put_late_last(now, effects);
        // A service that is full for flows in time is full for late ones too.
        let mut full: Vec<String> = Vec::new();
        let mut index = 0;
        while let Some(waiting) = self.waiting.get(index) {
            if full.contains(&waiting.service) {
                index += 1;
                continue;
            }
            match self.choose(now, waiting, self.limit(waiting.is_late(now))) {
                Choice::Target(target) => {
                    if let Some(waiting) = self.waiting.take(index) {
                        self.place(now, waiting, target, Outcome::Placed, effects);
                    }
                }
                Choice::Full | Choice::NoTarget => {
                    full.push(waiting.service.clone());
                    index += 1;
                }
            }
        }
    }
}
