//! When an instance is ready for callers and when it is not.

use std::time::Duration;

use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::store_snapshot;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::lifecycle::readiness::Readiness;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;

/// Returns the dispatcher of an instance whose own failure domain is evacuated.
fn in_evacuated_domain() -> Dispatcher {
    let config = DispatcherConfig {
        id: 1,
        domain: domain(0),
        evacuation_grace: Duration::from_secs(4),
        link_mbps: WIDE_LINK_MBPS,
        mechanisms: Mechanisms::default(),
    };
    let mut dispatcher = Dispatcher::new(config);
    assert_eq!(dispatcher.readiness(Timestamp::ZERO, true), Readiness::NotSynced);
    dispatcher.apply_delta(Timestamp::ZERO, &store_snapshot(8), &mut Vec::new());
    assert_eq!(dispatcher.readiness(Timestamp::ZERO, false), Readiness::Ready);
    let evacuated = VersionedEntry { revision: 20, entry: StoreEntry::Evacuated(domain(0), true) };
    let delta = Delta { since: 11, revision: 20, is_snapshot: false, entries: vec![evacuated] };
    dispatcher.apply_delta(Timestamp::ZERO, &delta, &mut Vec::new());
    dispatcher
}

/// All instances of the other failure domains are dead while the targets there live. An instance without targets of its
/// own then receives no message and gets no flows that could show what it reaches. If it stayed unready for good, no
/// caller would ever be served again.
#[test]
fn an_isolated_instance_becomes_ready_again_after_a_while() {
    let mut dispatcher = in_evacuated_domain();
    let ready_count = |dispatcher: &mut Dispatcher, from: u64, to: u64| {
        let times = (from..to).step_by(50);
        times.filter(|at| dispatcher.readiness(ms(*at), false) == Readiness::Ready).count()
    };
    assert_eq!(ready_count(&mut dispatcher, 0, 9_900), 0);
    let ready_times = ready_count(&mut dispatcher, 9_900, 19_900);
    assert!((38..=42).contains(&ready_times), "{ready_times} intervals of 50 ms");
}

/// Every instance is in the same situation: no target is listed, or every domain is evacuated. An immediate reset is
/// better than silence, so callers must not be moved to instances that could do no better.
#[test]
fn an_instance_stays_ready_when_no_other_could_serve() {
    let mut dispatcher = in_evacuated_domain();
    let out = |index: usize| VersionedEntry {
        revision: 30 + index as u64,
        entry: StoreEntry::Evacuated(domain(index), true),
    };
    let delta = Delta { since: 20, revision: 40, is_snapshot: false, entries: (1..4).map(out).collect() };
    dispatcher.apply_delta(ms(10), &delta, &mut Vec::new());
    assert_eq!(dispatcher.readiness(ms(20), false), Readiness::Ready);
}
