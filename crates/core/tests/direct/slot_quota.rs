//! Quotas of slots while a service is overloaded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::Sim;
use crate::fleet::WhenFull;
use crate::fleet::ms;
use hawthornshift_core::direct::limits::slot_quota::QuotaInputs;
use hawthornshift_core::direct::limits::slot_quota::SlotQuotas;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::capacity_report::GroupDemand;
use hawthornshift_core::direct::reports::capacity_report::GroupDemands;
use hawthornshift_core::direct::reports::capacity_report::MAX_AGE;
use hawthornshift_core::direct::reports::capacity_report::REPORT_PERIOD;
use hawthornshift_core::direct::reports::capacity_report::ServiceDemand;
use hawthornshift_core::direct::reports::capacity_report::recipients;
use hawthornshift_model::InstanceId;

/// Usual rate of requests per second for 120 targets of 2 slots with requests of 40 ms: a quarter of the capacity.
const USUAL_RATE: f64 = 1_450.0;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Results of a replay of eight times the usual demand for three seconds.
#[derive(Debug)]
struct BurstResult {
    answered: usize,
    late: usize,
    refused_attempts: u32,
}

fn replay_burst(seed: u64, instances: usize, mechanisms: Mechanisms) -> BurstResult {
    let mut sim = Sim::new(seed, instances, 120, USUAL_RATE);
    sim.mechanisms = mechanisms;
    sim.when_full = WhenFull::Refuse;
    sim.service_time = ms(40);
    sim.set_route_times(ms(300), ms(2_500));
    sim.route_by_readiness();
    sim.run_until(secs(3));
    sim.per_second = USUAL_RATE * 8.0;
    sim.run_until(secs(6));
    sim.per_second = USUAL_RATE;
    sim.run_until(secs(8));
    sim.assert_invariants();
    let sent = sim.requests.iter().filter(|request| request.sent_at >= secs(3) && request.sent_at < secs(6));
    let took: Vec<Duration> =
        sent.filter_map(|request| request.answered_at.map(|at| at.saturating_sub(request.sent_at))).collect();
    BurstResult {
        answered: took.len(),
        late: took.iter().filter(|took| **took > ms(300)).count(),
        refused_attempts: sim.refused_attempts(),
    }
}

/// Guards against instances whose limits add up to more than the slots, so that targets refuse most attempts and
/// answers are late.
#[test]
fn quotas_keep_requests_out_of_the_queues_of_targets() {
    let with = replay_burst(1, 65, Mechanisms::default());
    let without = replay_burst(1, 65, Mechanisms::default().without(Mechanism::SlotQuota));
    assert!(with.refused_attempts * 10 < without.refused_attempts, "{with:?}, {without:?} without quotas");
    assert!(with.late * 10 < with.answered, "{with:?}, {without:?} without quotas");
    assert!(with.answered - with.late > without.answered - without.late, "{with:?}, {without:?} without quotas");
}

const SERVICE: &str = "orders";

/// Returns an even demand of a group with this number of open requests.
fn demand(open: f64) -> GroupDemand {
    GroupDemand { own_fraction: 1.0 / 16.0, open }
}

/// Returns the inputs of one of 16 instances in each of four failure domains with 60 slots each.
fn inputs(me: u32) -> QuotaInputs<'static> {
    QuotaInputs {
        me,
        domain: "domain-0",
        slots: ["domain-0", "domain-1", "domain-2", "domain-3"].map(|domain| (domain, 60)).into(),
        demand: demand(100.0),
        limited: true,
        free_domains: Vec::new(),
        group: 16,
        instances: 64,
        all_domains_reported: false,
    }
}

/// Guards against quotas that add up to more than the slots, and against an instance that is left without any.
#[test]
fn quotas_add_up_to_the_slots() {
    let mut at_home = 0;
    let mut elsewhere = 0;
    for me in 0..64 {
        let mut quotas = SlotQuotas::default();
        quotas.review(secs(1), SERVICE, &inputs(me));
        at_home += quotas.quota(SERVICE, "domain-0").unwrap();
        elsewhere += quotas.quota(SERVICE, "domain-1").unwrap();
        assert!(quotas.quota(SERVICE, "domain-0").unwrap() >= 8, "instance {me}");
    }
    // 2.4 requests may be open for each slot, a twentieth of them from other failure domains.
    assert!((at_home / 4).abs_diff(137) <= 3, "{at_home}");
    assert!((elsewhere * 48 / 64).abs_diff(7) <= 4, "{elsewhere}");
}

/// Guards against quotas that end while the demand continues, since they make answers quick, and against quotas that
/// never end.
#[test]
fn quotas_last_until_they_are_not_reached() {
    let mut quotas = SlotQuotas::default();
    let mut review = |at, open, limited| {
        quotas.review(at, SERVICE, &QuotaInputs { demand: demand(open), limited, ..inputs(1) });
        quotas.is_in_force(SERVICE)
    };
    assert!(!review(secs(1), 100.0, false), "no limit is in force");
    assert!(!review(secs(1), 20.0, true), "most slots are free");
    assert!(review(secs(1), 100.0, true));
    assert!(review(secs(3), 100.0, false), "the demand continues");
    assert!(review(secs(3) + ms(900), 20.0, true));
    assert!(!review(secs(4), 20.0, true), "a limit that no answer lifts must not keep the quotas");
    assert_eq!(quotas.take_changes().iter().map(|change| change.in_force).collect::<Vec<_>>(), [true, false]);
}

/// Guards against quotas where all instances report their load to each other, or all targets are in one failure domain.
#[test]
fn a_single_group_or_failure_domain_has_no_quotas() {
    let mut quotas = SlotQuotas::default();
    let single = QuotaInputs { slots: [("domain-0", 60)].into(), ..inputs(1) };
    quotas.review(secs(1), SERVICE, &single);
    quotas.review(secs(1), SERVICE, &QuotaInputs { all_domains_reported: true, ..inputs(1) });
    assert_eq!(quotas.quota(SERVICE, "domain-0"), None);
}

/// Guards against an overloaded failure domain that rejects its callers while others have free slots.
#[test]
fn a_domain_that_is_not_overloaded_has_no_quota_elsewhere() {
    let mut quotas = SlotQuotas::default();
    quotas.review(secs(1), SERVICE, &QuotaInputs { free_domains: vec!["domain-1"], ..inputs(1) });
    assert!(quotas.quota(SERVICE, "domain-0").is_some_and(|quota| quota > 0));
    assert_eq!(quotas.quota(SERVICE, "domain-1"), None);
    assert!(quotas.quota(SERVICE, "domain-2").is_some());
}

/// Guards against a quota that does not follow the demand, and against a member that died or froze and keeps its share.
#[test]
fn stale_and_unknown_reports_count_with_the_average() {
    let of = |arrivals_per_second| ServiceDemand { service: 1, arrivals_per_second, open: 4 };
    let group: Vec<u32> = (1..=4).collect();
    let mut demands = GroupDemands::default();
    assert_eq!(demands.demand(of(100), 4), GroupDemand { own_fraction: 0.25, open: 16.0 });
    demands.record(secs(1), 2, &[of(300)]);
    demands.record(secs(1) + ms(500), 3, &[of(200)]);
    demands.record(secs(1) + ms(500), 9, &[of(9_000)]);
    demands.expire(secs(1) + ms(900), &group);
    assert!((demands.demand(of(100), 4).own_fraction - 0.125).abs() < 1e-9);
    demands.expire(secs(2), &group);
    assert!((demands.demand(of(100), 4).own_fraction - 100.0 / 600.0).abs() < 1e-9);
}

/// Guards against members of a large group that never get a report.
#[test]
fn successive_reports_reach_the_whole_group() {
    let group: Vec<_> = (1..=107).map(|port| SocketAddr::from(([10, 0, 0, 1], port))).collect();
    let reached: BTreeSet<_> = (0..6).flat_map(|round| recipients(&group, 7, round)).collect();
    assert_eq!(reached.len(), 107);
    assert!(recipients(&[], 7, 1).is_empty());
}

/// Guards against a domain that reports overload while it has free slots, so that callers of a flooded domain are refused
/// although their neighbor could serve them.
#[test]
fn a_domain_with_free_slots_does_not_report_overload() {
    // 2.4 requests are open for each of 60 slots when all of them work.
    for (open, overloaded) in [(60.0, false), (100.0, false), (130.0, true)] {
        let mut quotas = SlotQuotas::default();
        quotas.review(secs(1), SERVICE, &QuotaInputs { demand: demand(open), ..inputs(0) });
        assert!(quotas.is_in_force(SERVICE));
        assert_eq!(quotas.overloaded().next().is_some(), overloaded, "{open} requests open");
    }
}

/// Guards against members of a large group that know the demand of all others at one time and of none at another.
#[test]
fn each_member_always_knows_the_demand_of_a_sample_of_a_large_group() {
    for members in [65_u16, 109, 218] {
        let address = |member| SocketAddr::from(([10, 0, 0, 1], member));
        let in_force_for = 6_000_u64;
        // Quotas take effect at all members at about the same time.
        let mut received: BTreeMap<SocketAddr, Vec<(u64, u16)>> = BTreeMap::new();
        for sender in 1..=members {
            let group: Vec<_> = (1..=members).filter(|member| *member != sender).map(address).collect();
            let period_ms = u64::try_from(REPORT_PERIOD.as_millis()).unwrap();
            for (round, at_ms) in (0..in_force_for).step_by(usize::try_from(period_ms).unwrap()).enumerate() {
                for recipient in recipients(&group, InstanceId::from(sender), round) {
                    received.entry(recipient).or_default().push((at_ms + u64::from(sender) % period_ms, sender));
                }
            }
        }
        let max_age_ms = u64::try_from(MAX_AGE.as_millis()).unwrap();
        for reports in received.values() {
            for now in (max_age_ms + 300..in_force_for).step_by(100) {
                let valid = reports.iter().filter(|(at, _)| *at <= now && now - at < max_age_ms);
                let known: BTreeSet<u16> = valid.map(|(_, sender)| *sender).collect();
                assert!(known.len() >= 30, "{} of {members} known", known.len());
            }
        }
    }
}
