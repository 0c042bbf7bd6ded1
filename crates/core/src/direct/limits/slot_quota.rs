//! Divides the slots of a service among the instances while the service is overloaded.
//!
//! The expected load: several times more requests than all targets together can serve, through dozens of instances of
//! which none knows what the instances of other failure domains place. If each of them bounds its open requests by
//! itself, as [`adaptive_limit`](crate::direct::limits::adaptive_limit) does, the lower bounds of these limits add up to more
//! than the slots, and the excess waits in the targets' queues until they refuse it.
//!
//! While a service is overloaded, each of its slots has one owner: the slots of a failure domain are divided among the
//! instances there. A single report group needs no quotas, since its instances know what all others place.
//!
//! The slots are divided in proportion to the demand that the instances share in
//! [`capacity_report`](crate::direct::reports::capacity_report).
//!
//! If only some failure domains are overloaded, the excess of their callers goes to the others. A domain has a quota at
//! instances elsewhere only while its own instances report that its slots are used; otherwise the adaptive limit applies.
//!
//! An instance applies its quotas from its first adaptive limit of the service until the open requests of the group have
//! been fewer than the slots for `RELEASE_TIME`. Answers are quick again as soon as the quotas take effect, so the
//! limits alone would be removed while the demand continues.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::Timestamp;
use crate::direct::reports::capacity_report::GroupDemand;
use crate::direct::reports::capacity_report::GroupDemands;
use crate::direct::reports::capacity_report::OverloadedDomains;
use hawthornshift_model::InstanceId;

/// Ratio of the open requests that an instance may have to the slots that it owns.
///
/// A request counts as open during its handshake and until its caller has acknowledged the answer, and instances choose
/// targets without knowing all requests of the others. A lower ratio leaves slots idle, a higher one fills the targets'
/// queues.
const OPEN_PER_SLOT: f64 = 2.4;
/// Fraction of what the quotas of a failure domain allow from which the domain reports that it is overloaded. Below it,
/// requests of other domains find free slots there.
const OVERLOADED_FRACTION: f64 = 0.7;
/// Time with fewer open requests than slots after which the quotas of a service are removed.
const RELEASE_TIME: Duration = Duration::from_secs(1);
/// Smallest demand with which an instance counts, as a fraction of the average. An instance without arrivals would
/// otherwise have no quota for the first of them.
const MIN_DEMAND: f64 = 0.2;
/// Weight of a new sample in the arrival rate. With a sample every 50 ms the rate follows the demand within 0.5 s, and
/// the random variation of 30 arrivals per second stays below a fifth.
const ARRIVALS_WEIGHT: f64 = 0.05;
/// Fraction of a failure domain's slots that are divided among the instances of other failure domains.
const REMOTE_FRACTION: f64 = 0.05;
/// Period after which the fractions of quotas are rounded differently, so that an instance with a quota below one
/// request is not left without any for long.
const ROUNDING_PERIOD: Duration = Duration::from_millis(250);

/// What the quotas of a service are computed from.
#[derive(Clone, Debug)]
pub struct QuotaInputs<'a> {
    /// The ID of this instance.
    pub me: InstanceId,
    /// Failure domain of this instance.
    pub domain: &'a str,
    /// Number of slots of the service's targets, by failure domain.
    pub slots: BTreeMap<&'a str, u32>,
    /// Demand of the report group.
    pub demand: GroupDemand,
    /// Whether an adaptive limit of the service is in force.
    pub limited: bool,
    /// Other failure domains that do not report that their slots are used.
    pub free_domains: Vec<&'a str>,
    /// Number of instances in the report group, including this one.
    pub group: usize,
    /// Number of all serving instances, including this one.
    pub instances: usize,
    /// Whether the report group covers all failure domains.
    pub all_domains_reported: bool,
}

impl QuotaInputs<'_> {
    /// Returns the number of requests, not rounded, that this instance may have open in a failure domain.
    fn quota(&self, domain: &str, slots: u32) -> f64 {
        let open = f64::from(slots) * OPEN_PER_SLOT;
        if domain == self.domain {
            return open * (1.0 - REMOTE_FRACTION) * self.own_fraction();
        }
        if !self.slots.contains_key(self.domain) {
            return open / count(self.instances);
        }
        open * REMOTE_FRACTION / count(self.instances.saturating_sub(self.group))
    }

    /// Returns the fraction of the slots of its failure domain that this instance owns.
    fn own_fraction(&self) -> f64 {
        (self.demand.own_fraction + MIN_DEMAND / count(self.group)) / (1.0 + MIN_DEMAND)
    }

    /// Returns whether the group has at least as many requests open in its failure domain as there are slots.
    fn are_slots_used(&self) -> bool {
        self.slots.get(self.domain).is_none_or(|slots| self.demand.open >= f64::from(*slots))
    }

    /// Returns whether the group has so many requests open in its failure domain that hardly any slot is free.
    fn is_overloaded(&self) -> bool {
        let slots = self.slots.get(self.domain).copied().unwrap_or(0);
        slots > 0 && self.demand.open >= f64::from(slots) * OPEN_PER_SLOT * OVERLOADED_FRACTION
    }

    /// Returns a quota rounded up or down. The instances round differently, so that the sum is that of the quotas
    /// before rounding, up to its random deviation.
    fn round(&self, now: Timestamp, domain: &str, quota: f64) -> u32 {
        let period = now.as_nanos() / ROUNDING_PERIOD.as_nanos();
        let mut key = domain.as_bytes().to_vec();
        key.extend(self.me.to_le_bytes());
        key.extend(period.to_le_bytes());
        let [a, b, c, d, ..] = xxh3_64(&key).to_le_bytes();
        let offset = f64::from(u32::from_le_bytes([a, b, c, d])) / f64::from(u32::MAX);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range just before")]
        let rounded = (quota + offset).floor().clamp(0.0, f64::from(u32::MAX)) as u32;
        rounded
    }
}

fn count(instances: usize) -> f64 {
    f64::from(u32::try_from(instances).unwrap_or(u32::MAX)).max(1.0)
}

/// The quotas of one service.
#[derive(Clone, Debug)]
struct ServiceQuotas {
    /// When all slots were last used.
    last_used: Timestamp,
    /// Number of requests that this instance may have open, by failure domain.
    domains: BTreeMap<String, u32>,
    /// Whether hardly any slot is free in the instance's own failure domain.
    is_overloaded: bool,
}

/// Start or end of the quotas of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaChange {
    /// The service.
    pub service: String,
    /// Whether the quotas are in force now.
    pub in_force: bool,
    /// Number of requests that this instance may have open in its own failure domain.
    pub quota: u32,
    /// Number of slots of the service in the instance's own failure domain.
    pub slots: u32,
    /// Time since all slots were last used.
    pub idle: Duration,
    /// Fraction of the group's demand that is this instance's own.
    pub own_fraction: f64,
}

/// The quotas of all services that are overloaded.
#[derive(Clone, Debug, Default)]
pub struct SlotQuotas {
    services: BTreeMap<String, ServiceQuotas>,
    changes: Vec<QuotaChange>,
    /// Smoothed arrival rate of new flows per second, by service.
    arrivals: BTreeMap<String, f64>,
    /// Demand of the group's other members.
    pub demands: GroupDemands,
    /// Other failure domains that are overloaded, by their own reports.
    pub overloaded_domains: OverloadedDomains,
}

impl SlotQuotas {
    /// Returns the number of requests that this instance may have open with a service's targets in a failure domain,
    /// or `None` while no quota is in force there.
    #[must_use]
    pub fn quota(&self, service: &str, domain: &str) -> Option<u32> {
        self.services.get(service)?.domains.get(domain).copied()
    }

    /// Returns whether the quotas of a service are in force.
    #[must_use]
    pub fn is_in_force(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the services whose quotas are in force, with this instance's quotas by failure domain.
    pub fn in_force(&self) -> impl Iterator<Item = (&str, &BTreeMap<String, u32>)> {
        self.services.iter().map(|(name, service)| (name.as_str(), &service.domains))
    }

    /// Returns the services of which hardly any slot is free in the instance's own failure domain.
    pub fn overloaded(&self) -> impl Iterator<Item = &str> {
        self.services.iter().filter(|(_, service)| service.is_overloaded).map(|(name, _)| name.as_str())
    }

    /// Adds a sample of the arrival rate of new flows, per second.
    pub fn sample_arrivals(&mut self, service: &str, per_second: f64) {
        let rate = self.arrivals.entry(service.to_owned()).or_insert(per_second);
        *rate += (per_second - *rate) * ARRIVALS_WEIGHT;
    }

    /// Returns the smoothed arrival rate of new flows per second, or `None` before the first sample.
    #[must_use]
    pub fn arrivals(&self, service: &str) -> Option<f64> {
        self.arrivals.get(service).copied()
    }

    /// Recomputes the quotas of a service.
    pub fn review(&mut self, now: Timestamp, service: &str, inputs: &QuotaInputs<'_>) {
        let is_in_force = self.services.contains_key(service);
        let starts = inputs.limited && inputs.are_slots_used();
        if inputs.all_domains_reported || inputs.slots.len() < 2 || !(starts || is_in_force) {
            self.end(now, service, inputs);
            return;
        }
        let domains: BTreeMap<String, u32> = inputs
            .slots
            .iter()
            .filter(|(domain, _)| !inputs.free_domains.contains(domain))
            .map(|(domain, slots)| ((*domain).to_owned(), inputs.round(now, domain, inputs.quota(domain, *slots))))
            .collect();
        let at_home = domains.get(inputs.domain).copied().unwrap_or(0);
        let known = self.services.entry(service.to_owned());
        let known =
            known.or_insert_with(|| ServiceQuotas { last_used: now, domains: BTreeMap::new(), is_overloaded: false });
        known.domains = domains;
        known.is_overloaded = inputs.is_overloaded();
        if inputs.are_slots_used() && (inputs.limited || inputs.slots.contains_key(inputs.domain)) {
            known.last_used = now;
        }
        if now.saturating_sub(known.last_used) >= RELEASE_TIME {
            self.end(now, service, inputs);
        } else if !is_in_force {
            self.changes.push(change(now, service, inputs, now, at_home, true));
        }
    }

    fn end(&mut self, now: Timestamp, service: &str, inputs: &QuotaInputs<'_>) {
        self.arrivals.remove(service);
        if let Some(ended) = self.services.remove(service) {
            let at_home = ended.domains.get(inputs.domain).copied().unwrap_or(0);
            self.changes.push(change(now, service, inputs, ended.last_used, at_home, false));
        }
    }

    /// Takes the starts and ends of quotas since the last call.
    pub fn take_changes(&mut self) -> Vec<QuotaChange> {
        std::mem::take(&mut self.changes)
    }

    /// Removes the services for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| known(name));
        self.arrivals.retain(|name, _| known(name));
    }
}

fn change(
    now: Timestamp,
    service: &str,
    inputs: &QuotaInputs<'_>,
    last_used: Timestamp,
    quota: u32,
    in_force: bool,
) -> QuotaChange {
    let slots = inputs.slots.get(inputs.domain).copied().unwrap_or(0);
    let idle = now.saturating_sub(last_used);
    QuotaChange { service: service.to_owned(), in_force, quota, slots, idle, own_fraction: inputs.demand.own_fraction }
}
