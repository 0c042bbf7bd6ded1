//! Quotas of the slots of overloaded services, and the demand reports that they follow.

use std::collections::BTreeMap;

use super::Dispatcher;
use crate::Timestamp;
use crate::direct::limits::slot_quota::QuotaChange;
use crate::direct::limits::slot_quota::QuotaInputs;
use crate::direct::limits::slot_quota::SlotQuotas;
use crate::direct::mechanisms::Mechanism;
use crate::direct::reports::capacity_report::CapacityReport;
use crate::direct::reports::capacity_report::ServiceDemand;
use crate::direct::reports::capacity_report::domain_key;
use crate::direct::reports::capacity_report::reports_overload;
use crate::direct::reports::capacity_report::service_key;

impl Dispatcher {
    /// Returns the quotas of overloaded services.
    #[must_use]
    pub fn slot_quotas(&self) -> &SlotQuotas {
        &self.slot_quotas
    }

    /// Takes the starts and ends of quotas since the last call.
    pub fn take_quota_changes(&mut self) -> Vec<QuotaChange> {
        self.slot_quotas.take_changes()
    }

    /// Takes the capacity report to send to peers if one is due, and its number, which determines the recipients.
    pub fn take_capacity_report(&mut self, now: Timestamp) -> Option<(usize, CapacityReport)> {
        self.slot_quotas.in_force().next()?;
        let round = self.slot_quotas.demands.next_round(now)?;
        let services = self.slot_quotas.in_force().map(|(service, _)| self.own_demand(now, service)).collect();
        Some((round, CapacityReport::Demand { sender: self.config.id, services }))
    }

    /// Returns the report of overloaded services to send to the other failure domains with the capacity report of this
    /// number, if this instance is one of the group's reporters in this round.
    #[must_use]
    pub fn overload_report(&self, round: usize) -> Option<CapacityReport> {
        let services: Vec<_> = self.slot_quotas.overloaded().map(service_key).collect();
        let reports = !services.is_empty() && reports_overload(self.config.id, &self.group, round);
        reports.then(|| CapacityReport::Overloaded { domain: domain_key(&self.config.domain), services })
    }

    /// Applies a peer's capacity report.
    pub fn apply_capacity_report(&mut self, now: Timestamp, report: &CapacityReport) {
        if !self.is_enabled(Mechanism::SlotQuota) {
            return;
        }
        match report {
            CapacityReport::Demand { sender, services } => {
                if *sender != self.config.id && self.group.contains(sender) {
                    self.slot_quotas.demands.record(now, *sender, services);
                }
            }
            CapacityReport::Overloaded { domain, services } => {
                self.slot_quotas.overloaded_domains.record(now, *domain, services);
            }
        }
    }

    /// Returns this instance's demand for a service.
    fn own_demand(&self, now: Timestamp, service: &str) -> ServiceDemand {
        let arrivals = self.slot_quotas.arrivals(service).unwrap_or_else(|| self.service_rates.arrivals(now, service));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range just before")]
        let arrivals_per_second = arrivals.round().clamp(0.0, f64::from(u16::MAX)) as u16;
        let open = u16::try_from(self.placement().open(service, &self.config.domain)).unwrap_or(u16::MAX);
        ServiceDemand { service: service_key(service), arrivals_per_second, open }
    }

    /// Recomputes the quotas of all services that are or were overloaded.
    pub(super) fn review_quotas(&mut self, now: Timestamp) {
        self.slot_quotas.demands.expire(now, &self.group);
        let mut services: Vec<String> = self.slot_quotas.in_force().map(|(service, _)| service.to_owned()).collect();
        services.extend(self.adaptive_limits.overloaded().map(str::to_owned));
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.review_quota(now, &service);
        }
    }

    /// Recomputes the quotas of one service.
    pub(super) fn review_quota(&mut self, now: Timestamp, service: &str) {
        if !self.is_enabled(Mechanism::SlotQuota) || !self.is_enabled(Mechanism::AdaptiveLimit) {
            return;
        }
        self.slot_quotas.sample_arrivals(service, self.service_rates.arrivals(now, service));
        let demand = self.slot_quotas.demands.demand(self.own_demand(now, service), self.group.len());
        let domains = self.directory.ids_by_domain(service).map(|(domain, _)| domain);
        let slots = domains.map(|domain| (domain, self.directory.capacity(now, service, Some(domain)).slots));
        let slots: BTreeMap<&str, u32> = slots.filter(|(_, slots)| *slots > 0).collect();
        let is_overloaded = |domain: &str| self.slot_quotas.overloaded_domains.contains(now, service, domain);
        let others = slots.keys().copied().filter(|domain| *domain != self.config.domain);
        let free_domains = others.filter(|domain| !is_overloaded(domain)).collect();
        let inputs = QuotaInputs {
            me: self.config.id,
            domain: &self.config.domain,
            slots,
            demand,
            limited: self.adaptive_limits.is_limited(service),
            free_domains,
            group: self.group.len(),
            instances: self.instances.len(),
            all_domains_reported: self.all_domains_reported,
        };
        self.slot_quotas.review(now, service, &inputs);
    }
}
