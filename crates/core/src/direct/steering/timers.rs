//! What is due without a packet.

use std::time::Duration;

use super::Effect;
use super::Steering;
use crate::Timestamp;
use crate::direct::decision::Outcome;
use crate::direct::flows::Stage;
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
/// Time between two clean-ups of records.
const SWEEP: Duration = Duration::from_secs(1);

impl Steering {
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
            self.refresh(now);
            if late >= FREEZE {
                self.checks.start_over(now);
            }
            self.check_targets(now, effects);
        }
        self.work.expire(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            for flow in self.flows.sweep(now) {
                self.unanswered(now, &flow);
            }
        }
        self.dispatch(now, effects);
    }

    /// Says that work which has gone on for a while goes on, and gives up what has probably ended unseen.
    fn refresh(&mut self, now: Timestamp) {
        let (mut ended, mut open) = (Vec::new(), Vec::new());
        for flow in self.flows.unanswered() {
            let short = flow.id.short();
            let silent = now.saturating_sub(flow.last_seen);
            if silent >= self.work.silence_limit(now, flow.target) {
                ended.push(flow.id);
            } else {
                open.push((short, flow.target));
            }
        }
        for (flow, target) in open {
            self.say_open(now, flow, target);
        }
        for id in ended {
            self.end_work(id);
        }
    }

    /// Keeps a request counted that its caller's packets show to be open, and reports it if it is notable.
    fn say_open(&mut self, now: Timestamp, flow: FlowHash, target: TargetId) {
        if !self.work.is_open(flow) {
            return;
        }
        let notable = self.work.wants_report(now, flow);
        if notable || !self.work.is_reported(flow) {
            self.work.start(now, flow, target);
        }
        if notable {
            self.report_open(now, flow, target);
        }
    }

    fn judge_handshake(&mut self, now: Timestamp, due: Timestamp, id: FlowId, effects: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&id) else { return };
        let Stage::Opening(opening) = &flow.stage else { return };
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
            self.flows.watch_handshake(id.short(), now + STALL);
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
            Choice::Nowhere => self.reject_pending(now, &waiting, Outcome::ResetNoTarget, effects),
        }
    }

    /// Returns when [`Steering::tick`] has something to do next.
    #[must_use]
    pub fn next_due(&self) -> Timestamp {
        let dues = [self.flows.next_due(), self.waiting.next_due(), Some(self.next_refresh)];
        dues.into_iter().flatten().min().unwrap_or(self.next_refresh)
    }
}
