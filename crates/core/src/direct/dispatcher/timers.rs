//! What is due without a packet.

use std::time::Duration;

use super::Dispatcher;
use super::Effect;
use super::UNSEEN;
use crate::Timestamp;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::directory::cookie;
use crate::direct::flows::Stage;
use crate::direct::mechanisms::Mechanism;
use crate::direct::pending::PendingFlow;
use crate::direct::placement::Choice;
use crate::direct::placement::Limit;
use crate::direct::segment::FlowHash;
use crate::direct::segment::FlowId;
use hawthornshift_model::TargetId;

/// Delay of a timer beyond which this process, and not the target, is taken to have been paused.
const STALL: Duration = Duration::from_millis(20);
/// Delay of a timer beyond which its handshake is not judged at all: what the caller sent meanwhile may be lost.
const FREEZE: Duration = Duration::from_millis(200);
/// Time between two looks at work that goes on.
const REVIEW: Duration = Duration::from_millis(50);
/// Part of a service's targets, as a divisor, that may be set aside for answers that are overdue.
const MAX_ASIDE: usize = 4;
/// Time between two clean-ups of records.
const SWEEP: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Does what is due.
    pub fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if !self.early.is_empty() {
            self.admit_early(now, effects);
        }
        while let Some((due, id)) = self.flows.pop_due(now) {
            self.judge_handshake(now, due, id, effects);
        }
        while let Some(waiting) = self.waiting.pop_due(now) {
            self.decide_waiting(now, waiting, effects);
        }
        if now >= self.next_refresh {
            let late = now.saturating_sub(self.next_refresh);
            self.next_refresh = now + REVIEW;
            if late >= FREEZE {
                self.checks.restart_deadlines(now);
                self.unseen_until = Some(now + UNSEEN);
            }
            self.refresh(now);
            self.check_targets(now, effects);
        }
        self.open_requests.expire(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            for flow in self.flows.sweep(now) {
                self.unanswered(now, &flow);
            }
        }
        self.dispatch(now, effects);
    }

    /// Says that work which has gone on for a while goes on, and gives up what has ended unseen or will never end.
    ///
    /// While callers' packets may go unseen, a request of which nothing is heard for long has probably been answered. At other
    /// times its target is set aside first: one that takes requests and never answers would else look idle, and draw more.
    fn refresh(&mut self, now: Timestamp) {
        let unseen = now < *self.unseen_until.get_or_insert(now + UNSEEN);
        let (mut ended, mut open) = (Vec::new(), Vec::new());
        for flow in self.flows.unanswered() {
            let silence = self.open_requests.silence_limit(now, flow.target);
            let overdue = self.answer_times.limit(flow.id.service).filter(|_| !unseen);
            if now.saturating_sub(flow.last_seen) >= overdue.map_or(silence, |limit| limit.max(silence)) {
                ended.push(flow.id);
            } else {
                open.push((flow.id.flow_hash(), flow.target));
            }
        }
        for (flow, target) in open {
            self.say_open(now, flow, target);
        }
        for id in ended {
            if !unseen && self.has(Mechanism::OverdueDetection) {
                self.judge_unanswered(now, id);
            }
            self.end_work(id);
        }
    }

    /// Sets the target of a request aside that should have answered it, if that is the target's fault.
    fn judge_unanswered(&mut self, now: Timestamp, id: FlowId) {
        let Some(sent) = self.open_requests.opened_at(id.flow_hash()) else { return };
        if !self.answer_times.has_later_answer(id.service, sent)
            || self.may_be_queued(id)
            || self.many_are_aside(now, id)
        {
            return;
        }
        let Some(flow) = self.flows.get_mut(&id).filter(|flow| matches!(flow.stage, Stage::AwaitingAnswer { .. }))
        else {
            return;
        };
        flow.overdue = true;
        let target = flow.target;
        if self.failures.overdue(now, target) {
            self.report.overdue.push(cookie(target));
            let took = now.saturating_sub(sent);
            self.decide(Decision { took, target: Some(target), ..Decision::new(id, Outcome::AnswerOverdue) });
        }
    }

    /// Tells whether a flow's request may still wait at its target, or have been dropped there: the target has more requests
    /// than slots, or those around it are overloaded.
    fn may_be_queued(&self, id: FlowId) -> bool {
        let target = self.flows.get(&id).and_then(|flow| self.directory.target(flow.target));
        target.is_none_or(|target| {
            let facts = &target.spec;
            let overloaded = self.limits.size(&facts.service, &facts.failure_domain).is_some();
            overloaded || self.open_requests.count(target.id) > facts.slots.max(1)
        })
    }

    /// Tells whether so many targets of a flow's service are set aside that another reason is likelier, or the others would be
    /// overloaded.
    fn many_are_aside(&self, now: Timestamp, id: FlowId) -> bool {
        let target = self.flows.get(&id).and_then(|flow| self.directory.target(flow.target));
        let Some(target) = target else { return true };
        let all = self.directory.candidates(now, &target.spec.service).count();
        let aside = self.directory.candidates(now, &target.spec.service);
        let aside = aside.filter(|target| self.failures.is_ejected(now, target.id, || true)).count();
        (aside + 1) * MAX_ASIDE > all.max(MAX_ASIDE)
    }

    /// Keeps a request counted that its caller's packets show to be open, and reports it if it is notable.
    fn say_open(&mut self, now: Timestamp, flow: FlowHash, target: TargetId) {
        if !self.open_requests.is_open(flow) {
            return;
        }
        let notable = self.open_requests.needs_report(now, flow);
        if notable || !self.open_requests.is_reported(flow) {
            self.open_requests.keep(now, flow);
        }
        if notable {
            self.report_open(now, flow, target);
        }
    }

    fn judge_handshake(&mut self, now: Timestamp, due: Timestamp, id: FlowId, effects: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&id) else { return };
        let Stage::Handshake(opening) = &flow.stage else { return };
        if opening.sent >= due {
            return;
        }
        // A process that was paused has not read what the caller sent meanwhile. Judging by the clock alone would
        // put every target under suspicion at once, and send SYNs twice.
        let late = now.saturating_sub(due);
        if late >= FREEZE {
            return;
        }
        if late >= STALL {
            self.flows.watch_handshake(id.flow_hash(), now + STALL);
            return;
        }
        // Without a handshake there is no work, whoever is to blame: a target that is dead, or a caller that has given
        // up. Counted on, such flows would make every target look full in the seconds after an outage.
        if !self.try_another(now, id, effects) {
            self.end_work(id);
        }
    }

    /// Decides about a flow that has waited as long as it may: its caller's attempt is about to end.
    fn decide_waiting(&mut self, now: Timestamp, waiting: PendingFlow, effects: &mut Vec<Effect>) {
        match self.choose(now, &waiting, Limit::Usual) {
            Choice::Target(target) => self.place(now, waiting, target, Outcome::Placed, effects),
            Choice::Full => self.reject_pending(now, &waiting, Outcome::ResetFull, effects),
            Choice::NoTarget => self.reject_pending(now, &waiting, Outcome::ResetNoTarget, effects),
        }
    }

    /// Returns when [`Dispatcher::tick`] has something to do next.
    #[must_use]
    pub fn next_due(&self) -> Timestamp {
        let dues = [self.flows.next_due(), self.waiting.next_due(), Some(self.next_refresh)];
        dues.into_iter().flatten().min().unwrap_or(self.next_refresh)
    }
}
