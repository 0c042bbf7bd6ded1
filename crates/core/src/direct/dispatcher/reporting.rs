//! Load reports: what is told to the other instances, and what follows from what they tell.

use std::time::Duration;

use super::Dispatcher;
use super::Effect;
use crate::Timestamp;
use crate::direct::directory::cookie;
use crate::direct::load_report::AnsweredRequest;
use crate::direct::load_report::LoadReport;
use crate::direct::load_report::OpenRequest;
use crate::direct::mechanisms::Mechanism;
use crate::direct::segment::Cookie;
use crate::direct::segment::FlowHash;
use hawthornshift_model::TargetId;

impl Dispatcher {
    /// Takes over what a peer reports.
    pub fn apply_load_report(&mut self, now: Timestamp, report: &LoadReport, effects: &mut Vec<Effect>) {
        for open in &report.started {
            self.receive_open(now, *open);
        }
        for answered in &report.ended {
            self.receive_answered(now, *answered);
        }
        for flow in &report.abandoned {
            self.flows.answered_elsewhere(*flow);
            self.open_requests.abandon(*flow);
        }
        for failed in &report.failed {
            if let Some(target) = self.known(failed.target) {
                self.count_answers(target, failed.unreported);
                self.failures.failed(now, target);
            }
        }
        for cookie in &report.overdue {
            if let Some(target) = self.known(*cookie) {
                self.failures.overdue(now, target);
            }
        }
        for cookie in &report.answered_overdue {
            if let Some(target) = self.known(*cookie) {
                self.failures.answered_overdue(now, target);
            }
        }
        for (cookie, cold_time) in &report.recovered {
            if let Some(target) = self.known(*cookie) {
                self.outliers.mark_cold(now, target, *cold_time);
            }
        }
        for cookie in &report.alive {
            if let Some(target) = self.known(*cookie) {
                self.outliers.record_liveness(now, target);
            }
        }
        for (cookie, avoidance) in &report.avoid {
            if let Some(target) = self.known(*cookie) {
                self.receive_suspicion(now, target, *avoidance);
            }
        }
        if self.has(Mechanism::DomainReach) {
            for (domain, avoidance) in &report.avoid_domains {
                self.domains.receive(now, domain, *avoidance);
            }
            for domain in &report.alive_domains {
                self.domains.receive_answer(now, domain);
            }
        }
        self.receive_findings(now, report, effects);
        self.dispatch(now, effects);
    }

    pub(super) fn known(&self, cookie: Cookie) -> Option<TargetId> {
        self.directory.by_cookie(cookie).map(|target| target.id)
    }

    fn receive_open(&mut self, now: Timestamp, open: OpenRequest) {
        self.flows.moved(open.flow);
        self.waiting.remove(open.flow);
        let Some(target) = self.directory.by_cookie(open.target) else { return };
        self.open_requests.record_reported(now, open.flow, target.id, Duration::from_millis(u64::from(open.age_ms)));
        if target.is_cold(now) || self.outliers.is_returning(now, target.id) {
            self.cold.taken_by_peer(now, target.id);
        }
    }

    fn receive_answered(&mut self, now: Timestamp, answered: AnsweredRequest) {
        self.flows.answered_elsewhere(answered.flow);
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

    /// Takes over a peer's suspicion, and says so if the target has answered here of late.
    fn receive_suspicion(&mut self, now: Timestamp, target: TargetId, avoidance: Duration) {
        if self.has(Mechanism::OutlierDetection) {
            self.outliers.apply_suspicion(now, target, avoidance);
        }
        self.checks.suspect(now, target);
        if self.outliers.refutes(now, target) {
            self.report.alive.push(cookie(target));
        }
    }

    /// Reports an open request to the other instances.
    pub(super) fn report_open(&mut self, now: Timestamp, flow: FlowHash, target: TargetId) {
        if !self.has(Mechanism::LoadReports) {
            return;
        }
        let Some(since) = self.open_requests.mark_reported(flow) else { return };
        let age_ms = u16::try_from(now.saturating_sub(since).as_millis()).unwrap_or(u16::MAX);
        self.report.started.push(OpenRequest { flow, target: cookie(target), age_ms });
    }

    /// Reports a request that a target has just been given if it is notable at once: the target is slow or was so when it
    /// was last used, its slots are full, or it is cold, and then every other instance must know that its rate is used up.
    pub(super) fn report_if_notable(&mut self, now: Timestamp, flow: FlowHash, target: TargetId) {
        let slots = self.directory.target(target).map_or(1, |target| target.spec.slots.max(1));
        if self.open_requests.has_been_slow(target)
            || self.open_requests.count(target) > slots
            || self.is_cold(now, target)
        {
            self.report_open(now, flow, target);
        }
    }

    /// Notes a sign of life of a target, and tells it to those who suspect the target.
    pub(super) fn note_alive(&mut self, now: Timestamp, target: TargetId) {
        self.checks.answered(now, target);
        if self.outliers.answers(now, target) {
            self.report.alive.push(cookie(target));
        }
    }
}
