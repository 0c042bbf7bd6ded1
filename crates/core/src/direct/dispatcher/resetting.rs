//! Open flows whose target is out of reach: they are reset, so that their callers open others at once.
//!
//! A request that may be repeated loses nothing by a reset. One that may not is left alone unless its target is gone: its
//! target may have received it before a partition and answer it past the partition, and its caller would not try again.

use std::time::Duration;

use super::Dispatcher;
use super::Effect;
use crate::Timestamp;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::directory::EntryState;
use crate::direct::directory::cookie;
use crate::direct::flows::Stage;
use crate::direct::load_report::LoadReport;
use crate::direct::mechanisms::Mechanism;
use crate::direct::reachability::CheckOutcome;
use crate::direct::reachability::Finding;
use crate::direct::reachability::Reachability;
use crate::direct::segment::FlowId;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use crate::direct::store_entries::RequestKind;
use crate::rendezvous;
use hawthornshift_model::TargetId;

/// Instances that check a target for one that could not reach it: one may be the asker itself, and one may be in trouble.
const CHECKERS: usize = 4;

impl Dispatcher {
    /// Takes in the outcome of a check of a target.
    pub fn check_finished(
        &mut self,
        now: Timestamp,
        target: TargetId,
        outcome: CheckOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let alone = self.group.len() <= 1;
        let asked = self.checks.is_asked(target);
        let finding = self.checks.check_finished(now, target, outcome, alone);
        let answer = match finding {
            Finding::Alive if asked => Some(&mut self.report.alive),
            Finding::Failed | Finding::OutOfReach | Finding::StillOutOfReach if asked => {
                Some(&mut self.report.confirmed)
            }
            Finding::Failed => Some(&mut self.report.unreachable),
            Finding::Inconclusive | Finding::Alive | Finding::OutOfReach | Finding::StillOutOfReach => None,
        };
        if let Some(list) = answer {
            list.push(cookie(target));
        }
        match finding {
            Finding::OutOfReach => self.lose_reach(now, target, effects),
            // Others need a moment to find the same, and this instance checks again meanwhile.
            Finding::Failed => self.check_targets(now, effects),
            Finding::Alive | Finding::Inconclusive | Finding::StillOutOfReach => {}
        }
    }

    fn lose_reach(&mut self, now: Timestamp, target: TargetId, effects: &mut Vec<Effect>) {
        let avoidance = self.outliers.out_of_reach(now, target);
        self.report.avoid.push((cookie(target), avoidance));
        self.reset_waiting(now, target, effects);
    }

    /// Takes over what a peer has found out about targets that it could not reach.
    pub(super) fn receive_findings(&mut self, now: Timestamp, report: &LoadReport, effects: &mut Vec<Effect>) {
        for target in report.alive.iter().filter_map(|cookie| self.known(*cookie)).collect::<Vec<_>>() {
            self.checks.refuted(now, target);
        }
        let unreached: Vec<TargetId> = report.unreachable.iter().filter_map(|cookie| self.known(*cookie)).collect();
        let confirmed = report.confirmed.iter().filter_map(|cookie| self.known(*cookie));
        for target in unreached.iter().copied().chain(confirmed).collect::<Vec<_>>() {
            if self.checks.confirmed(now, target) {
                self.lose_reach(now, target, effects);
            }
        }
        for target in unreached.iter().copied().filter(|target| self.is_checker(*target)).collect::<Vec<_>>() {
            self.checks.asked(target);
        }
        if !unreached.is_empty() {
            self.check_targets(now, effects);
        }
    }

    /// Tells whether this instance is one of those that check a target for others: everyone in a small fleet, since most of
    /// its instances may be behind the same partition as the target, and a few of a failure domain in a large one.
    fn is_checker(&self, target: TargetId) -> bool {
        if self.all_domains_reported {
            return true;
        }
        let mine = rendezvous::score(target, u64::from(self.config.id));
        let before = self.group.iter().filter(|id| rendezvous::score(target, u64::from(**id)) > mine).count();
        before < CHECKERS
    }

    /// Notes that a target was sent a request on an open flow, and checks it at once if it is suspected.
    ///
    /// Each instance would else find out for itself, after the time that an answer may take, and the caller's request would
    /// be late by then.
    pub(super) fn expect_answer(&mut self, now: Timestamp, target: TargetId, effects: &mut Vec<Effect>) {
        self.checks.sent(now, target);
        if self.outliers.is_suspected(target) {
            self.checks.suspect(now, target);
            self.check_targets(now, effects);
        }
    }

    /// Asks for checks of the targets that owe answers for too long.
    pub(super) fn check_targets(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if !self.has(Mechanism::TargetChecks) {
            return;
        }
        let open_requests = &self.open_requests;
        let usual = |target| open_requests.usual().mul_f64(open_requests.slowness(now, target));
        for target in self.checks.take_due(now, usual) {
            if self.directory.is_replaced(target) {
                self.checks.skip(now, target);
                if self.checks.gone(target) {
                    self.reset_waiting(now, target, effects);
                }
            } else if let Some(known) =
                self.directory.target(target).filter(|known| known.entry_state != EntryState::Draining)
            {
                effects.push(Effect::Check { target, to: known.spec.address });
            } else {
                // One that leaves may stop to listen while it still serves its flows.
                self.checks.skip(now, target);
            }
        }
    }

    /// Resets the flow of a packet that its target cannot get; tells whether it did.
    pub(super) fn reset_unreachable(
        &mut self,
        now: Timestamp,
        segment: &Segment,
        target: TargetId,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let asks = segment.payload_bytes > 0 && segment.kind == SegmentKind::Ack;
        if !asks || !self.may_reset(segment.flow, target) {
            return false;
        }
        self.reset_open(now, *segment, target, effects);
        true
    }

    /// Resets the flows whose callers wait for a target that has just turned out to be out of reach.
    fn reset_waiting(&mut self, now: Timestamp, target: TargetId, effects: &mut Vec<Effect>) {
        let waits = |stage: &Stage| if let Stage::AwaitingAnswer { base } = stage { Some(*base) } else { None };
        let flows = self.flows.unanswered().filter(|flow| flow.target == target);
        let open: Vec<(FlowId, u32, u32)> =
            flows.filter_map(|flow| waits(&flow.stage).map(|base| (flow.id, flow.sequence, base))).collect();
        for (flow, sequence, acknowledged) in open {
            if self.may_reset(flow, target) {
                let kind = SegmentKind::Ack;
                let segment = Segment { flow, kind, sequence, acknowledged, payload_bytes: 0, cookie: cookie(target) };
                self.reset_open(now, segment, target, effects);
            }
        }
    }

    fn may_reset(&self, flow: FlowId, target: TargetId) -> bool {
        match self.checks.reachability(target) {
            Reachability::Reachable => false,
            Reachability::Gone => true,
            Reachability::OutOfReach => {
                self.directory.route(flow.service).is_some_and(|route| route.kind != RequestKind::Unsafe)
            }
        }
    }

    fn reset_open(&mut self, now: Timestamp, segment: Segment, target: TargetId, effects: &mut Vec<Effect>) {
        let asked = self.flows.get(&segment.flow).map(|flow| flow.first_seen);
        let took = asked.map_or(Duration::ZERO, |asked| now.saturating_sub(asked));
        self.end_work(segment.flow);
        self.flows.remove(&segment.flow);
        effects.push(Effect::Reset(segment));
        let decision = Decision::new(segment.flow, Outcome::ResetUnreachable);
        self.decide(Decision { took, target: Some(target), ..decision });
    }
}
