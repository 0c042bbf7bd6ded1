//! Resets of open flows whose target is out of reach, so that their callers open new flows at once.
//!
//! A request that may be repeated loses nothing by a reset. A request that may not be repeated is reset only if its
//! target is gone: the target may have received it before a partition and may still answer it after the partition,
//! whereas the caller would not try again after a reset.

use std::time::Duration;

use super::Dispatcher;
use super::Effect;
use crate::Timestamp;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::flows::Stage;
use crate::direct::mechanisms::Mechanism;
use crate::direct::reports::load_report::LoadReport;
use crate::direct::segment::FlowId;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use crate::direct::store::directory::EntryState;
use crate::direct::store::directory::cookie;
use crate::direct::store::store_entries::RequestKind;
use crate::direct::targets::reachability::CheckOutcome;
use crate::direct::targets::reachability::Finding;
use crate::direct::targets::reachability::Reachability;
use crate::rendezvous;
use hawthornshift_model::TargetId;

/// Number of instances that check a target for a peer that could not reach it. One of them may be that peer itself,
/// and one may be faulty.
const CHECKERS_PER_TARGET: usize = 4;

impl Dispatcher {
    /// Handles the outcome of a reachability check, and reports it to the peers if they asked for it or need it.
    pub fn check_finished(
        &mut self,
        now: Timestamp,
        target: TargetId,
        outcome: CheckOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if outcome == CheckOutcome::TimedOut && self.link.is_congested(now) {
            self.checks.skip(now, target);
            return;
        }
        let alone = self.group.len() <= 1;
        let check_requested = self.checks.is_check_requested(target);
        let finding = self.checks.check_finished(now, target, outcome, alone);
        let answer = match finding {
            Finding::Alive if check_requested => Some(&mut self.report.alive),
            Finding::Failed | Finding::OutOfReach | Finding::StillOutOfReach if check_requested => {
                Some(&mut self.report.confirmed)
            }
            Finding::Failed => Some(&mut self.report.unreachable),
            Finding::Inconclusive
            | Finding::Alive
            | Finding::AliveAgain
            | Finding::OutOfReach
            | Finding::StillOutOfReach => None,
        };
        if let Some(list) = answer {
            list.push(cookie(target));
        }
        match finding {
            Finding::OutOfReach => self.mark_out_of_reach(now, target, effects),
            // Peers need some time to confirm the failure; this instance checks again meanwhile.
            Finding::Failed => self.check_targets(now, effects),
            // Requests may have been forwarded while the earlier failure was too old to justify a reset.
            Finding::StillOutOfReach => self.reset_unanswered(now, target, effects),
            Finding::AliveAgain => self.report_alive_again(now, target, effects),
            Finding::Alive | Finding::Inconclusive => {}
        }
    }

    /// Uses a target again that was out of reach, and reports that to the group, whether its members asked for a check
    /// or not. Those that await nothing of the target would otherwise keep their own findings until their next check.
    fn report_alive_again(&mut self, now: Timestamp, target: TargetId, effects: &mut Vec<Effect>) {
        if self.is_enabled(Mechanism::FindingAge) {
            self.full_search = None;
            self.record_handshake(now, target);
            if !self.report.alive.contains(&cookie(target)) {
                self.report.alive.push(cookie(target));
            }
            self.dispatch(now, effects);
        }
    }

    /// Avoids a target that is out of reach, reports it and resets its flows.
    fn mark_out_of_reach(&mut self, now: Timestamp, target: TargetId, effects: &mut Vec<Effect>) {
        let avoidance = self.outliers.out_of_reach(now, target);
        self.report.avoid.push((cookie(target), avoidance));
        self.reset_unanswered(now, target, effects);
    }

    /// Applies a peer's reachability results, and checks the targets that the peer could not reach.
    pub(super) fn apply_check_results(&mut self, now: Timestamp, report: &LoadReport, effects: &mut Vec<Effect>) {
        for target in report.alive.iter().filter_map(|cookie| self.target_by_cookie(*cookie)).collect::<Vec<_>>() {
            self.checks.refuted(now, target);
        }
        let unreached: Vec<TargetId> =
            report.unreachable.iter().filter_map(|cookie| self.target_by_cookie(*cookie)).collect();
        let confirmed = report.confirmed.iter().filter_map(|cookie| self.target_by_cookie(*cookie));
        for target in unreached.iter().copied().chain(confirmed).collect::<Vec<_>>() {
            if self.checks.record_peer_failure(now, target) {
                self.mark_out_of_reach(now, target, effects);
            }
        }
        for target in unreached.iter().copied().filter(|target| self.is_checker(*target)).collect::<Vec<_>>() {
            self.checks.request_check(target);
        }
        if !unreached.is_empty() {
            self.check_targets(now, effects);
        }
    }

    /// Returns whether this instance checks a target for its peers. In a small fleet every instance does, since most
    /// of them may be behind the same partition as the target. In a large one [`CHECKERS_PER_TARGET`] instances of
    /// the group do, chosen by rendezvous hashing.
    fn is_checker(&self, target: TargetId) -> bool {
        if self.all_domains_reported {
            return true;
        }
        let mine = rendezvous::score(target, u64::from(self.config.id));
        let before = self.group.iter().filter(|id| rendezvous::score(target, u64::from(**id)) > mine).count();
        before < CHECKERS_PER_TARGET
    }

    /// Records that a request was sent to a target on an open flow, and checks the target at once if it is suspected or
    /// was found to be out of reach too long ago to act on it.
    ///
    /// Without that check each instance would detect the fault only after the time that an answer may take, when the
    /// caller's request is already late.
    pub(super) fn expect_answer(&mut self, now: Timestamp, target: TargetId, effects: &mut Vec<Effect>) {
        self.checks.sent(now, target);
        if self.outliers.is_suspected(target) || self.checks.needs_check(now, target) {
            self.checks.suspect(now, target);
            self.check_targets(now, effects);
        }
    }

    /// Starts checks of the targets whose answers are overdue.
    pub(super) fn check_targets(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if !self.is_enabled(Mechanism::TargetChecks) {
            return;
        }
        let open_requests = &self.open_requests;
        let usual = |target| open_requests.usual().mul_f64(open_requests.slowness(now, target));
        for target in self.checks.take_due(now, usual) {
            if self.directory.is_replaced(target) {
                self.checks.skip(now, target);
                if self.checks.gone(now, target) {
                    self.reset_unanswered(now, target, effects);
                }
            } else if let Some(known) =
                self.directory.target(target).filter(|known| known.entry_state != EntryState::Draining)
            {
                effects.push(Effect::Check { target, to: known.spec.address });
            } else {
                // A draining target may have closed its listening socket while it still serves its flows.
                self.checks.skip(now, target);
            }
        }
    }

    /// Resets the flow of a request that its target cannot receive. Returns whether it did.
    pub(super) fn reset_unreachable(
        &mut self,
        now: Timestamp,
        segment: &Segment,
        target: TargetId,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let is_request = segment.payload_bytes > 0 && segment.kind == SegmentKind::Ack;
        if !is_request || !self.may_reset(now, segment.flow, target) {
            return false;
        }
        self.reset_open(now, *segment, target, effects);
        true
    }

    /// Resets the flows that await an answer of a target that has just become unreachable.
    fn reset_unanswered(&mut self, now: Timestamp, target: TargetId, effects: &mut Vec<Effect>) {
        let waits =
            |stage: &Stage| if let Stage::AwaitingAnswer { request_ack } = stage { Some(*request_ack) } else { None };
        let flows = self.flows.unanswered().filter(|flow| flow.target == target);
        let open: Vec<(FlowId, u32, u32)> = flows
            .filter_map(|flow| waits(&flow.stage).map(|request_ack| (flow.id, flow.sequence, request_ack)))
            .collect();
        for (flow, sequence, acknowledged) in open {
            if self.may_reset(now, flow, target) {
                let kind = SegmentKind::Ack;
                let segment = Segment { flow, kind, sequence, acknowledged, payload_bytes: 0, cookie: cookie(target) };
                self.reset_open(now, segment, target, effects);
            }
        }
    }

    /// Returns whether a flow may be reset: its target is gone, or is out of reach and the route's requests may be
    /// repeated.
    fn may_reset(&self, now: Timestamp, flow: FlowId, target: TargetId) -> bool {
        match self.checks.reset_reason(now, target) {
            None | Some(Reachability::Reachable) => false,
            Some(Reachability::Gone) => true,
            Some(Reachability::OutOfReach) => {
                self.directory.route(flow.service).is_some_and(|route| route.kind != RequestKind::Unsafe)
            }
        }
    }

    /// Resets an open flow and removes its record.
    fn reset_open(&mut self, now: Timestamp, segment: Segment, target: TargetId, effects: &mut Vec<Effect>) {
        let first_seen = self.flows.get(&segment.flow).map(|flow| flow.first_seen);
        let took = first_seen.map_or(Duration::ZERO, |first_seen| now.saturating_sub(first_seen));
        self.abandon_request(segment.flow);
        self.flows.remove(&segment.flow);
        effects.push(Effect::Reset(segment));
        let decision = Decision::new(segment.flow, Outcome::ResetUnreachable);
        self.record_decision(Decision { took, target: Some(target), ..decision });
    }
}
