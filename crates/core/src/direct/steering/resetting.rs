//! Open flows whose target is out of reach: they are reset, so that their callers open others at once.
//!
//! A request that may be repeated loses nothing by a reset. One that may not is left alone unless its target is gone: its
//! target may have received it before a partition and answer it past the partition, and its caller would not try again.

use std::time::Duration;

use super::Effect;
use super::Steering;
use crate::Timestamp;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::directory::cookie;
use crate::direct::facts::RequestKind;
use crate::direct::flows::Stage;
use crate::direct::mechanisms::Mechanism;
use crate::direct::reachability::CheckOutcome;
use crate::direct::reachability::Reachability;
use crate::direct::segment::FlowId;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use hawthornshift_model::TargetId;

impl Steering {
    /// Takes in the outcome of a check of a target.
    pub fn checked(&mut self, now: Timestamp, target: TargetId, outcome: CheckOutcome, effects: &mut Vec<Effect>) {
        if self.checks.checked(now, target, outcome) {
            let avoidance = self.outliers.out_of_reach(now, target);
            self.report.avoid.push((cookie(target), avoidance));
            self.reset_waiting(now, target, effects);
        }
    }

    /// Asks for checks of the targets that owe answers for too long.
    pub(super) fn check_targets(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if !self.has(Mechanism::TargetChecks) {
            return;
        }
        let work = &self.work;
        let usual = |target| work.usual().mul_f64(work.slowness(now, target));
        for target in self.checks.take_due(now, usual) {
            if self.directory.is_replaced(target) {
                if self.checks.gone(target) {
                    self.reset_waiting(now, target, effects);
                }
            } else if let Some(known) = self.directory.target(target) {
                effects.push(Effect::Check { target, to: known.facts.address });
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
        let asks = segment.payload > 0 && segment.kind == SegmentKind::Carry;
        if !asks || !self.may_reset(segment.flow, target) {
            return false;
        }
        self.reset_open(now, *segment, target, effects);
        true
    }

    /// Resets the flows whose callers wait for a target that has just turned out to be out of reach.
    fn reset_waiting(&mut self, now: Timestamp, target: TargetId, effects: &mut Vec<Effect>) {
        let waits = |stage: &Stage| if let Stage::Working { base } = stage { Some(*base) } else { None };
        let flows = self.flows.unanswered().filter(|flow| flow.target == target);
        let open: Vec<(FlowId, u32, u32)> =
            flows.filter_map(|flow| waits(&flow.stage).map(|base| (flow.id, flow.sequence, base))).collect();
        for (flow, sequence, acknowledged) in open {
            if self.may_reset(flow, target) {
                let kind = SegmentKind::Carry;
                let segment = Segment { flow, kind, sequence, acknowledged, payload: 0, cookie: cookie(target) };
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
