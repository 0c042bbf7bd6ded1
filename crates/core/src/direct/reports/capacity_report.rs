//! Capacity reports: the instances of a group share their demand for overloaded services, and some of them report the
//! overload to the other failure domains.
//!
//! The expected load: a service is overloaded, and callers concentrate on some instances of a failure domain. Each
//! instance reports its demand a few times a second while [`slot_quota`](crate::direct::limits::slot_quota) divides the slots,
//! and at no other time. Reports are not acknowledged or retransmitted. An instance whose report is unknown or older
//! than [`MAX_AGE`] counts with the average of the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::Timestamp;
use crate::rendezvous;
use hawthornshift_model::InstanceId;

/// Interval between two reports of an instance.
pub const REPORT_PERIOD: Duration = Duration::from_millis(300);
/// Maximum age of a report that is used.
pub const MAX_AGE: Duration = Duration::from_secs(1);
/// Maximum number of instances that one report is sent to. In larger groups, successive reports go to different
/// members, so that each knows the demand of some 66 others within [`MAX_AGE`], a sample of the group. A report of one service takes at most 50 bytes with its headers, so that this is 3.4 KB/s.
const MAX_RECIPIENTS: usize = 20;
/// Key of the hash that determines the first recipients of an instance's reports.
const FIRST_RECIPIENT_KEY: u64 = 0x72_65_63_69_70;
/// Maximum number of services in one report.
const MAX_SERVICES: usize = 32;

/// Number of members of a group that report the overload to other failure domains in each [`REPORT_PERIOD`]. Two of them
/// make up for a lost report.
const OVERLOAD_REPORTERS: usize = 2;

/// Hash of a service's name.
pub type ServiceKey = u32;
/// Hash of a failure domain's name.
pub type DomainKey = u32;

/// Returns the key that identifies a service in capacity reports.
#[must_use]
pub fn service_key(service: &str) -> ServiceKey {
    name_key(service)
}

/// Returns the key that identifies a failure domain in capacity reports.
#[must_use]
pub fn domain_key(domain: &str) -> DomainKey {
    name_key(domain)
}

fn name_key(name: &str) -> u32 {
    let [a, b, c, d, ..] = xxh3_64(name.as_bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// A message about the capacity of overloaded services. New kinds are added as last variants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum CapacityReport {
    /// The sender's demand, for its report group.
    Demand {
        /// The sender.
        sender: InstanceId,
        /// Its demand for each overloaded service.
        services: Vec<ServiceDemand>,
    },
    /// The services of which all slots in a failure domain are used, for the instances of the other domains.
    Overloaded {
        /// The failure domain.
        domain: DomainKey,
        /// The services.
        services: Vec<ServiceKey>,
    },
}

/// Demand of an instance for an overloaded service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceKey,
    /// Smoothed arrival rate of new flows, per second.
    pub arrivals_per_second: u16,
    /// Number of requests that the sender has open in its own failure domain.
    pub open: u16,
}

/// What is known of a service's demand in a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupDemand {
    /// Fraction of the demand that is this instance's own.
    pub own_fraction: f64,
    /// Estimated number of requests that the group has open in its failure domain.
    pub open: f64,
}

/// The latest reports of the group's other members.
#[derive(Clone, Debug, Default)]
pub struct GroupDemands {
    reports: BTreeMap<ServiceKey, BTreeMap<InstanceId, (Timestamp, ServiceDemand)>>,
    next_report: Timestamp,
    round: usize,
}

impl GroupDemands {
    /// Records the report of another member.
    pub fn record(&mut self, now: Timestamp, sender: InstanceId, services: &[ServiceDemand]) {
        for demand in services.iter().take(MAX_SERVICES) {
            self.reports.entry(demand.service).or_default().insert(sender, (now, *demand));
        }
    }

    /// Removes reports that are older than [`MAX_AGE`] or whose sender is not in the group.
    pub fn expire(&mut self, now: Timestamp, group: &[InstanceId]) {
        self.reports.retain(|_, reports| {
            reports.retain(|id, (at, _)| now.saturating_sub(*at) < MAX_AGE && group.contains(id));
            !reports.is_empty()
        });
    }

    /// Returns the demand of a group of `members` instances, of which `own` is that of this one.
    #[must_use]
    pub fn demand(&self, own: ServiceDemand, members: usize) -> GroupDemand {
        let reports = self.reports.get(&own.service).into_iter().flat_map(BTreeMap::values);
        let mut known = (1_u32, u32::from(own.arrivals_per_second), u32::from(own.open));
        for (_, demand) in reports {
            known.0 += 1;
            known.1 += u32::from(demand.arrivals_per_second);
            known.2 += u32::from(demand.open);
        }
        let members = f64::from(u32::try_from(members).unwrap_or(u32::MAX)).max(1.0);
        let unknown_factor = (members / f64::from(known.0)).max(1.0);
        let arrivals = f64::from(known.1) * unknown_factor;
        let own_fraction = if known.1 == 0 { 1.0 / members } else { f64::from(own.arrivals_per_second) / arrivals };
        GroupDemand { own_fraction, open: f64::from(known.2) * unknown_factor }
    }

    /// Returns the number of the next report if one is due.
    pub fn next_round(&mut self, now: Timestamp) -> Option<usize> {
        if now < self.next_report {
            return None;
        }
        self.next_report = now + REPORT_PERIOD;
        self.round = self.round.wrapping_add(1);
        Some(self.round)
    }
}

/// Failure domains whose slots of a service are all used, by the latest reports from them.
#[derive(Clone, Debug, Default)]
pub struct OverloadedDomains {
    reported_at: BTreeMap<(ServiceKey, DomainKey), Timestamp>,
}

impl OverloadedDomains {
    /// Records the report of an instance in another failure domain.
    pub fn record(&mut self, now: Timestamp, domain: DomainKey, services: &[ServiceKey]) {
        self.reported_at.retain(|_, at| now.saturating_sub(*at) < MAX_AGE);
        for service in services.iter().take(MAX_SERVICES) {
            self.reported_at.insert((*service, domain), now);
        }
    }

    /// Returns whether a report of the last [`MAX_AGE`] says that the slots of a service in a failure domain are used.
    #[must_use]
    pub fn contains(&self, now: Timestamp, service: &str, domain: &str) -> bool {
        let reported_at = self.reported_at.get(&(service_key(service), domain_key(domain)));
        reported_at.is_some_and(|at| now.saturating_sub(*at) < MAX_AGE)
    }
}

/// Returns whether an instance is one of those that report an overload to other failure domains in this round.
#[must_use]
pub fn reports_overload(me: InstanceId, group: &[InstanceId], round: usize) -> bool {
    let score = |id: InstanceId| rendezvous::score(round as u64, u64::from(id));
    group.iter().filter(|id| score(**id) > score(me)).count() < OVERLOAD_REPORTERS
}

/// Returns the members of a group that the report of `sender` with this number is sent to.
///
/// Senders begin at different members. If all began at the first one, a member of a large group would receive the reports
/// of all others together and then none until they are out of date.
#[must_use]
pub fn recipients(group: &[SocketAddr], sender: InstanceId, round: usize) -> Vec<SocketAddr> {
    let Some(count) = u64::try_from(group.len()).ok().filter(|count| *count > 0) else { return Vec::new() };
    let first = rendezvous::score(FIRST_RECIPIENT_KEY, u64::from(sender)) % count;
    let start = (round.wrapping_mul(MAX_RECIPIENTS) + usize::try_from(first).unwrap_or(0)) % group.len();
    group.iter().cycle().skip(start).take(group.len().min(MAX_RECIPIENTS)).copied().collect()
}
