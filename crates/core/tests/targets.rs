//! Protection of targets: slow start, the wait of a new coordinator, reuse of local ports, closed flow records, and
//! priorities in the pending queue.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use hawthornshift_core::Catalog;
use hawthornshift_core::Tuning;
use hawthornshift_core::coordinator::Admission;
use hawthornshift_core::coordinator::TargetCoordinator;
use hawthornshift_core::flows::table::FlowTable;
use hawthornshift_core::flows::table::Holder;
use hawthornshift_core::invariants::InvariantCounters;
use hawthornshift_core::message::TargetDescriptor;
use hawthornshift_core::slow_start::SlowStartLimit;
use hawthornshift_core::view::LeaseState;
use hawthornshift_core::view::ServingInstance;
use hawthornshift_core::view::View;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::Class;
use hawthornshift_model::DomainState;
use hawthornshift_model::FlowKey;

/// A target that has just started and receives its full load at once is overloaded. Its limit must start low, rise only
/// with successful answers, and rise more slowly after each restart of the slow start.
#[test]
fn a_cold_limit_rises_with_answers_and_more_slowly_after_a_restart() {
    let answers_to_warm = |limit: &mut SlowStartLimit, multiplier: u32| {
        let mut answers = 0;
        while !limit.is_warm() {
            limit.record_success(multiplier);
            answers += 1;
        }
        answers
    };
    let mut limit = SlowStartLimit::cold(2);
    assert_eq!(limit.limit(), 1);
    assert_eq!(answers_to_warm(&mut limit.clone(), 10), 60);
    assert_eq!(answers_to_warm(&mut limit, 1), 6);
    limit.restart();
    assert_eq!(limit.limit(), 1);
    assert_eq!(answers_to_warm(&mut limit, 1), 12);
    assert_eq!(SlowStartLimit::cold(2_000).limit(), 31);
}

/// A coordinator crashes or is paused while requests run at its target, and another instance takes over. If that one
/// started requests at once, the target would receive the load of both. It must wait until the lease of the previous
/// coordinator has expired, or until that one has reported how many requests it still runs.
#[test]
fn a_new_coordinator_starts_nothing_before_the_previous_one_has_stopped() {
    let catalog = Arc::new(Catalog::new(Arc::new(CheckedSet::new(support::set()).unwrap())));
    let group = catalog.services().find(|service| service.name == "suscripciones").unwrap().group_id;
    let view = View::new(Arc::clone(&catalog), [(ServingInstance { id: 0, incarnation: 1 }, "norte")]);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut invariant_counters = InvariantCounters::default();
    let start = Duration::from_secs(10);
    let mut coordinator = TargetCoordinator::new(0, Tuning::default());
    coordinator.view_changed(start, &view, &mut rng);
    let mut admit = |coordinator: &mut TargetCoordinator, now, request| {
        coordinator.admit(now, request, group, Class::Critical, LeaseState::Valid, &mut invariant_counters)
    };
    assert_eq!(admit(&mut coordinator, start, 1), Admission::Queued);
    let released = coordinator.targets(|id| id.to_string()).iter().find_map(|target| {
        let id = target.name.parse().ok()?;
        (catalog.target(id)?.group_id == group).then_some(id)
    });
    coordinator.record_release(start, 4, released.unwrap(), 1);
    let now = start + Duration::from_millis(10);
    assert!(
        coordinator.start_queued(now, LeaseState::Valid, &mut InvariantCounters::default()).is_empty(),
        "the previous coordinator still runs one request"
    );
    coordinator.record_release(now, 4, released.unwrap(), 0);
    assert_eq!(
        coordinator.start_queued(now, LeaseState::Valid, &mut InvariantCounters::default()),
        [(1, released.unwrap())]
    );
    assert_eq!(admit(&mut coordinator, now, 2), Admission::Queued);
    let later = start + Duration::from_secs(2);
    assert_eq!(coordinator.start_queued(later, LeaseState::Valid, &mut InvariantCounters::default()).len(), 1);
}

/// A flow ends and another one starts at the same target. If both had the same local port, a late packet from the
/// target for the first would reach the caller of the second, so a port is reused only after a minute.
#[test]
fn a_local_port_is_not_reused_immediately() {
    let descriptor =
        TargetDescriptor { id: 1, address: "10.0.0.9:8080".parse().unwrap(), failure_domain: "norte".to_owned() };
    let key = |last_octet: u8| FlowKey { service: 5, caller: ([10, 0, 0, last_octet], 4_000).into() };
    let mut table = FlowTable::new(100);
    let now = Duration::from_secs(1);
    let first = table.insert_local(now, key(1), &descriptor, 0).unwrap();
    table.remove(now, &key(1));
    let second = table.insert_local(now + Duration::from_secs(30), key(2), &descriptor, 0).unwrap();
    assert_ne!(first, second);
    assert!(table.find_by_local_port(now, descriptor.address, first, None).is_none());
    let third = table.insert_local(now + Duration::from_secs(61), key(3), &descriptor, 0).unwrap();
    assert_eq!(first, third);
}

/// A failure domain is out of service briefly and returns before any packet has matched the old flow records. These
/// must stay closed, because their flows may have moved to other targets; new flows to the same target are open.
#[test]
fn records_closed_by_an_outage_stay_closed_when_the_domain_returns() {
    let catalog = |state| {
        let mut set = support::set();
        set.failure_domains[1].state = state;
        Catalog::new(Arc::new(CheckedSet::new(set).unwrap()))
    };
    let set = support::set();
    let target = &set.target_groups[1].targets[1];
    let descriptor =
        TargetDescriptor { id: target.id("avisos"), address: target.address, failure_domain: "sur".to_owned() };
    let key =
        |last_octet: u8| FlowKey { service: set.services[1].id(), caller: ([10, 0, 0, last_octet], 4_000).into() };
    let mut table = FlowTable::new(100);
    let now = Duration::from_secs(1);
    let is_closed = |table: &mut FlowTable, last_octet| match table.touch(now, &key(last_octet), None).unwrap().holder {
        Holder::Local { binding, .. } => table.binding(binding).block().is_some(),
        Holder::Instance(_) => panic!("the flow is held here"),
    };
    table.insert_local(now, key(1), &descriptor, 0).unwrap();
    table.revalidate(&catalog(DomainState::Out));
    assert!(is_closed(&mut table, 1));
    table.revalidate(&catalog(DomainState::InService));
    table.insert_local(now, key(2), &descriptor, 0).unwrap();
    assert!(is_closed(&mut table, 1));
    assert!(!is_closed(&mut table, 2));
}

/// Guards against bulk requests that delay critical ones at a target group without free slots: a critical request is
/// started first, and displaces a bulk request when the pending queue is full.
#[test]
fn critical_requests_start_before_bulk_ones() {
    let catalog = Arc::new(Catalog::new(Arc::new(CheckedSet::new(support::set()).unwrap())));
    let group = catalog.services().find(|service| service.name == "suscripciones").unwrap().group_id;
    let view = View::new(Arc::clone(&catalog), [(ServingInstance { id: 0, incarnation: 1 }, "norte")]);
    let mut coordinator = TargetCoordinator::new(0, Tuning::default());
    let now = Duration::from_secs(10);
    coordinator.view_changed(now, &view, &mut SmallRng::seed_from_u64(1));
    let mut invariant_counters = InvariantCounters::default();
    let mut admit =
        |request, class| coordinator.admit(now, request, group, class, LeaseState::Valid, &mut invariant_counters);
    let queue_capacity = 14 * 2 * 4;
    for request in 0..queue_capacity {
        assert_eq!(admit(request, Class::Bulk), Admission::Queued);
    }
    assert_eq!(admit(queue_capacity, Class::Bulk), Admission::Full);
    assert_eq!(admit(queue_capacity + 1, Class::Critical), Admission::QueuedDisplacing(queue_capacity - 1));
    let later = now + Duration::from_secs(2);
    let started = coordinator.start_queued(later, LeaseState::Valid, &mut InvariantCounters::default());
    assert_eq!(started.first().map(|(request, _)| *request), Some(queue_capacity + 1));
}
