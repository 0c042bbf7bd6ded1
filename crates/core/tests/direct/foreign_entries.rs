//! Store entries of other writers, with values at the limits of their types.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::fleet::DOMAINS;
use crate::fleet::SERVICE;
use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::routing;
use crate::fleet::service_address;
use crate::fleet::store_snapshot;
use crate::fleet::target_id;
use crate::fleet::target_spec;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::load_report::LoadReport;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;
use hawthornshift_core::direct::store::directory::Capacity;
use hawthornshift_core::direct::store::directory::Directory;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::Routing;
use hawthornshift_core::direct::store::store_entries::ServiceSpec;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::TargetSpec;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;

/// A service that no route names.
const UNROUTED: &str = "batch-workers";
/// Number of valid targets.
const TARGETS: usize = 4;
/// A time at which a process has run for a while.
const NOW: Timestamp = Duration::from_mins(40);

/// Returns the id of another writer's entry.
fn foreign_id(index: usize) -> u64 {
    target_id(100 + index)
}

fn change(revision: u64, entry: StoreEntry) -> Delta {
    let entries = vec![VersionedEntry { revision, entry }];
    Delta { since: revision - 1, revision, is_snapshot: false, entries }
}

/// Returns an entry of another writer, in the failure domain of index zero.
fn foreign_entry(index: usize, service: &str, slots: u32, cold_for: Duration) -> StoreEntry {
    let spec = TargetSpec { service: service.to_owned(), failure_domain: domain(0), slots, ..target_spec(0, cold_for) };
    StoreEntry::Target(foreign_id(index), Some(spec))
}

fn synced_dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherConfig {
        id: 1,
        domain: domain(0),
        evacuation_grace: Duration::from_secs(4),
        link_mbps: WIDE_LINK_MBPS,
        mechanisms: Mechanisms::default(),
    });
    dispatcher.apply_delta(NOW, &store_snapshot(TARGETS), &mut Vec::new());
    dispatcher
}

/// Sends one SYN, and returns whether it was placed on a target.
fn is_served(dispatcher: &mut Dispatcher, now: Timestamp, port: u16) -> bool {
    let flow = FlowId { caller: std::net::SocketAddrV4::new([100, 64, 0, 1].into(), port), service: service_address() };
    let kind = SegmentKind::Syn { retransmissions: 0 };
    let segment = Segment { flow, kind, sequence: 5, acknowledged: 0, payload_bytes: 0, cookie: 0 };
    let placed = |dispatcher: &Dispatcher| {
        dispatcher.counts().get(Outcome::Placed) + dispatcher.counts().get(Outcome::PlacedCold)
    };
    let before = placed(dispatcher);
    dispatcher.handle_packet(now, &segment, b"packet", &mut Vec::new());
    dispatcher.tick(now, &mut Vec::new());
    placed(dispatcher) > before
}

/// Guards against entries of another writer that end every process: the sum of their slots exceeds 32 bits.
#[test]
fn slots_of_foreign_entries_may_exceed_the_range_of_a_sum() {
    let mut dispatcher = synced_dispatcher();
    for (index, revision) in (0..3).zip(12..) {
        let entry = foreign_entry(index, UNROUTED, u32::MAX, Duration::ZERO);
        dispatcher.apply_delta(NOW, &change(revision, entry), &mut Vec::new());
    }
    let capacity = dispatcher.directory().capacity(NOW, UNROUTED, None);
    assert_eq!(capacity, Capacity { targets: 3, slots: u32::MAX });
    assert!(is_served(&mut dispatcher, NOW, 2_000));
    let mut peer = Directory::default();
    peer.apply(NOW, &dispatcher.handover(NOW, 0).delta);
    assert_eq!(peer.capacity(NOW, UNROUTED, None), capacity);
}

/// Guards against wrong slots after such entries have left: what was added must be subtracted in full.
#[test]
fn slots_are_exact_again_after_foreign_entries_have_left() {
    let mut dispatcher = synced_dispatcher();
    let before = dispatcher.directory().capacity(NOW, SERVICE, Some(&domain(0)));
    for (index, revision) in (0..3).zip(12..) {
        let entry = foreign_entry(index, SERVICE, u32::MAX, Duration::ZERO);
        dispatcher.apply_delta(NOW, &change(revision, entry), &mut Vec::new());
    }
    assert!(is_served(&mut dispatcher, NOW, 2_000));
    for (index, revision) in (0..3).zip(15..) {
        let removed = StoreEntry::Target(foreign_id(index), None);
        dispatcher.apply_delta(NOW, &change(revision, removed), &mut Vec::new());
    }
    let later = NOW + Duration::from_secs(10);
    assert_eq!(dispatcher.directory().capacity(later, SERVICE, Some(&domain(0))), before);
}

/// Guards against a slow start so long that its end cannot be represented, which would end every process that runs.
#[test]
fn longest_slow_starts_are_applied() {
    let mut dispatcher = synced_dispatcher();
    let entry = foreign_entry(0, UNROUTED, 2, Duration::MAX);
    dispatcher.apply_delta(NOW, &change(12, entry), &mut Vec::new());
    assert!(is_served(&mut dispatcher, NOW, 2_000));
    let services = vec![ServiceSpec { name: SERVICE.to_owned(), cold_time: Duration::MAX }];
    let endless = StoreEntry::Routing(Routing { version: 2, services, ..routing() });
    dispatcher.apply_delta(NOW, &change(13, endless), &mut Vec::new());
    dispatcher.apply_delta(NOW, &change(14, StoreEntry::Evacuated(domain(1), true)), &mut Vec::new());
    dispatcher.apply_delta(NOW, &change(15, StoreEntry::Evacuated(domain(1), false)), &mut Vec::new());
    let recovered = vec![(cookie(target_id(2)), Duration::MAX)];
    dispatcher.apply_load_report(NOW, &LoadReport { recovered, ..LoadReport::default() }, &mut Vec::new());
    for target in [foreign_id(0), target_id(1)] {
        assert!(dispatcher.directory().target(target).unwrap().is_cold(NOW + Duration::from_hours(24)));
    }
    assert!(is_served(&mut dispatcher, NOW, 2_001));
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    /// Guards against an effect of foreign entries on the service of callers, whatever their values and order.
    #[test]
    fn foreign_entries_of_an_unrouted_service_have_no_effect(
        changes in vec((0_usize..6, select(vec![0, 1, 2, u32::MAX - 1, u32::MAX]), 0_u64..3), 1..60),
    ) {
        let mut dispatcher = synced_dispatcher();
        let capacities = |dispatcher: &Dispatcher| -> Vec<Capacity> {
            (0..DOMAINS).map(|index| dispatcher.directory().capacity(NOW, SERVICE, Some(&domain(index)))).collect()
        };
        let before = capacities(&dispatcher);
        for ((index, slots, kind), revision) in changes.into_iter().zip(12..) {
            let entry = match kind {
                0 => StoreEntry::Target(foreign_id(index), None),
                1 => foreign_entry(index, UNROUTED, slots, Duration::ZERO),
                _ => foreign_entry(index, UNROUTED, slots, Duration::MAX),
            };
            dispatcher.apply_delta(NOW, &change(revision, entry), &mut Vec::new());
        }
        prop_assert_eq!(capacities(&dispatcher), before);
        for port in 2_000..2_004 {
            prop_assert_eq!(is_served(&mut dispatcher, NOW + ms(u64::from(port)), port), true);
        }
    }
}
