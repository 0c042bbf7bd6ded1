//! Load reports: what this instance reports to its peers, and how it applies their reports.

use std::time::Duration;

use super::Dispatcher;
use super::Effect;
use crate::Timestamp;
use crate::direct::mechanisms::Mechanism;
use crate::direct::reports::answer_time_report::AnswerTimeReport;
use crate::direct::reports::answer_time_report::ReportKind;
use crate::direct::reports::load_report::AnsweredRequest;
use crate::direct::reports::load_report::LoadReport;
use crate::direct::reports::load_report::OpenRequest;
use crate::direct::segment::Cookie;
use crate::direct::segment::FlowHash;
use crate::direct::store::directory::cookie;
use crate::direct::targets::target_speed::CapacityShare;
use crate::direct::targets::target_speed::Recipients;
use crate::direct::targets::target_speed::SpeedChange;
use crate::direct::targets::target_speed::TargetSpeeds;
use crate::rendezvous;
use hawthornshift_model::TargetId;

impl Dispatcher {
    /// Applies a peer's load report.
    pub fn apply_load_report(&mut self, now: Timestamp, report: &LoadReport, effects: &mut Vec<Effect>) {
        for open in &report.started {
            self.apply_open_request(now, *open);
        }
        for answered in &report.ended {
            self.apply_answered_request(now, *answered);
        }
        for flow in &report.abandoned {
            self.handshake_moved(*flow, None);
            self.flows.answered_at_peer(*flow);
            self.open_requests.abandon(*flow);
        }
        for failed in &report.failed {
            if let Some(target) = self.target_by_cookie(failed.target) {
                self.count_answers(target, failed.unreported);
                self.failures.failed(now, target);
            }
        }
        for cookie in &report.overdue {
            if let Some(target) = self.target_by_cookie(*cookie) {
                self.failures.overdue(now, target);
            }
        }
        for cookie in &report.answered_overdue {
            if let Some(target) = self.target_by_cookie(*cookie) {
                self.failures.answered_overdue(now, target);
            }
        }
        for (cookie, cold_time) in &report.recovered {
            if let Some(target) = self.target_by_cookie(*cookie) {
                self.outliers.mark_cold(now, target, *cold_time);
            }
        }
        for cookie in &report.alive {
            if let Some(target) = self.target_by_cookie(*cookie) {
                self.outliers.record_liveness(now, target);
            }
        }
        for (cookie, avoidance) in &report.avoid {
            if let Some(target) = self.target_by_cookie(*cookie) {
                self.apply_peer_suspicion(now, target, *avoidance);
            }
        }
        if self.is_enabled(Mechanism::DomainReach) {
            for (domain, avoidance) in &report.avoid_domains {
                self.domains.apply_suspicion(now, domain, *avoidance);
            }
            for domain in &report.alive_domains {
                self.domains.receive_answer(now, domain);
            }
        }
        self.apply_check_results(now, report, effects);
        self.dispatch(now, effects);
    }

    /// Applies a peer's answer-time report.
    pub fn apply_answer_times(&mut self, now: Timestamp, report: &AnswerTimeReport) {
        if !self.is_enabled(Mechanism::TargetSpeed) {
            return;
        }
        if let ReportKind::Request { sender, attempt } = report.kind {
            let others = self.group.iter().copied().filter(|id| *id != sender);
            let key = u64::from(sender) ^ (u64::from(attempt) << u32::BITS);
            if rendezvous::pick(key, others, u64::from) == Some(self.config.id) {
                self.target_speeds.request_summary();
            }
            return;
        }
        self.target_speeds.apply(now, &self.directory, report);
    }

    /// Takes the answer-time report to send to the group, if one is due.
    pub fn take_answer_times(&mut self, now: Timestamp) -> Option<AnswerTimeReport> {
        if !self.is_enabled(Mechanism::TargetSpeed) {
            return None;
        }
        let group = Recipients { me: self.config.id, peers: self.group.len().saturating_sub(1) };
        self.target_speeds.take_report(now, &self.directory, group)
    }

    /// Fits the speeds of the targets. The group shares the targets that its load reports cover.
    pub(super) fn update_target_speeds(&mut self, now: Timestamp) {
        let domain = (!self.all_domains_reported).then_some(self.config.domain.as_str());
        self.target_speeds.update(now, &self.directory, CapacityShare { domain, instances: self.group.len() });
    }

    /// Returns the speeds of the targets.
    #[must_use]
    pub fn target_speeds(&self) -> &TargetSpeeds {
        &self.target_speeds
    }

    /// Takes the changes of whether targets' speeds act since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        self.target_speeds.take_changes()
    }

    /// Returns the target with a cookie, if the directory has it.
    pub(super) fn target_by_cookie(&self, cookie: Cookie) -> Option<TargetId> {
        self.directory.by_cookie(cookie).map(|target| target.id)
    }

    /// Applies a peer's open request: the flow passes through that peer now, and its request counts for the target.
    /// On a cold target it also counts against the slow-start budget.
    fn apply_open_request(&mut self, now: Timestamp, open: OpenRequest) {
        self.handshake_moved(open.flow, Some(open.target));
        self.pending.remove(open.flow);
        let Some(target) = self.directory.by_cookie(open.target) else { return };
        self.open_requests.record_reported(now, open.flow, target.id, Duration::from_millis(u64::from(open.age_ms)));
        if target.is_cold(now) || self.outliers.is_returning(now, target.id) {
            self.slow_start.taken_by_peer(now, target.id);
        }
    }

    /// Applies a peer's answered request, with the answers of the same target that the peer had not reported.
    fn apply_answered_request(&mut self, now: Timestamp, answered: AnsweredRequest) {
        self.handshake_moved(answered.flow, None);
        self.flows.answered_at_peer(answered.flow);
        if let Some(ended) = self.open_requests.record_reported_end(now, answered.flow, answered.unreported) {
            self.outliers.record_liveness(now, ended.target);
            self.count_answers(ended.target, answered.unreported.saturating_add(1));
        }
    }

    fn count_answers(&mut self, target: TargetId, count: u16) {
        for _ in 0..count {
            self.failures.answered(target);
        }
    }

    /// Applies a peer's suspicion of a target, and refutes it by a report if the target has answered here recently.
    fn apply_peer_suspicion(&mut self, now: Timestamp, target: TargetId, avoidance: Duration) {
        if self.is_enabled(Mechanism::OutlierDetection) {
            self.outliers.apply_suspicion(now, target, avoidance);
        }
        self.checks.suspect(now, target);
        if self.outliers.refutes(now, target) {
            self.report.alive.push(cookie(target));
        }
    }

    /// Reports an open request to the peers.
    pub(super) fn report_open(&mut self, now: Timestamp, flow: FlowHash, target: TargetId) {
        if !self.is_enabled(Mechanism::LoadReports) {
            return;
        }
        let Some(since) = self.open_requests.mark_reported(flow) else { return };
        let age_ms = u16::try_from(now.saturating_sub(since).as_millis()).unwrap_or(u16::MAX);
        self.report.started.push(OpenRequest { flow, target: cookie(target), age_ms });
    }

    /// Reports a request that was just placed if peers need it at once: the target is slow or was slow when last
    /// used, has more open requests than slots, or is cold. For a cold target every peer must know that its budget is
    /// used.
    pub(super) fn report_if_needed(&mut self, now: Timestamp, flow: FlowHash, target: TargetId) {
        let slots = self.directory.target(target).map_or(1, |target| target.spec.slots.max(1));
        if self.open_requests.has_been_slow(target)
            || self.open_requests.count(target) > slots
            || self.is_cold(now, target)
        {
            self.report_open(now, flow, target);
        }
    }

    /// Records that a target answered, and reports it if peers suspect the target or it was out of reach here.
    pub(super) fn record_liveness(&mut self, now: Timestamp, target: TargetId) {
        let was_out_of_reach = self.checks.answered(now, target) && self.is_enabled(Mechanism::FindingAge);
        if self.outliers.record_response(now, target) || was_out_of_reach {
            self.report.alive.push(cookie(target));
        }
    }
}
