//! Quotas of the slots of overloaded services.

use std::collections::BTreeMap;

use super::Dispatcher;
use crate::Timestamp;
use crate::direct::mechanisms::Mechanism;
use crate::direct::slot_quota::QuotaChange;
use crate::direct::slot_quota::QuotaInputs;
use crate::direct::slot_quota::SlotQuotas;

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

    /// Recomputes the quotas of all services that are or were overloaded.
    pub(super) fn review_quotas(&mut self, now: Timestamp) {
        let quotas = self.slot_quotas.in_force().map(|(service, _)| service.to_owned());
        let mut services: Vec<String> = self.adaptive_limits.overloaded().map(str::to_owned).chain(quotas).collect();
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
        let mut quotas = std::mem::take(&mut self.slot_quotas);
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for target in self.directory.candidates(now, service) {
            *slots.entry(target.spec.failure_domain.as_str()).or_insert(0) += target.spec.slots.max(1);
        }
        let group = u32::try_from(self.group.len()).unwrap_or(u32::MAX).max(1);
        let inputs = QuotaInputs {
            me: self.config.id,
            domain: &self.config.domain,
            slots,
            group_fraction: 1.0 / f64::from(group),
            group: self.group.len(),
            instances: self.instances.len(),
            all_domains_reported: self.all_domains_reported,
        };
        let overloaded = self.adaptive_limits.is_limited(service);
        let open = |domain: &str| self.placement().usage(now, service, Some(domain)).open;
        quotas.review(now, service, &inputs, overloaded, open);
        self.slot_quotas = quotas;
    }
}
