//! When an instance asks for callers and when it does not.

use std::time::Duration;

use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::store_snapshot;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::readiness::Readiness;
use hawthornshift_core::direct::store_entries::Delta;
use hawthornshift_core::direct::store_entries::StoreEntry;
use hawthornshift_core::direct::store_entries::VersionedEntry;

/// Returns an instance whose own failure domain is taken out.
fn with_nothing_of_its_own() -> Dispatcher {
    let config = DispatcherConfig {
        id: 1,
        domain: domain(0),
        evacuation_grace: Duration::from_secs(4),
        mechanisms: Mechanisms::default(),
    };
    let mut dispatcher = Dispatcher::new(config);
    assert_eq!(dispatcher.readiness(Timestamp::ZERO, true), Readiness::NotSynced);
    dispatcher.apply_delta(Timestamp::ZERO, &store_snapshot(8), &mut Vec::new());
    assert_eq!(dispatcher.readiness(Timestamp::ZERO, false), Readiness::Ready);
    let taken_out = VersionedEntry { revision: 20, entry: StoreEntry::Evacuated(domain(0), true) };
    let delta = Delta { since: 11, revision: 20, is_snapshot: false, entries: vec![taken_out] };
    dispatcher.apply_delta(Timestamp::ZERO, &delta, &mut Vec::new());
    dispatcher
}

/// All instances of the other failure domains are dead while the targets there live. An instance without targets of its
/// own hears nobody and gets no flows that could show what it reaches; if it refused callers for good, nobody would ever
/// be served again.
#[test]
fn an_instance_that_hears_nobody_tries_again_after_a_while() {
    let mut dispatcher = with_nothing_of_its_own();
    let asks = |dispatcher: &mut Dispatcher, from: u64, to: u64| {
        let times = (from..to).step_by(50);
        times.filter(|at| dispatcher.readiness(ms(*at), false) == Readiness::Ready).count()
    };
    assert_eq!(asks(&mut dispatcher, 0, 9_900), 0);
    let tries = asks(&mut dispatcher, 9_900, 19_900);
    assert!((38..=42).contains(&tries), "{tries} times of 50 ms");
}

/// Every instance is in the same place: nothing is listed any more, or all is taken out. A reset at once is better than
/// silence, so callers are not turned to instances that could do no better.
#[test]
fn an_instance_stays_ready_when_no_other_could_serve() {
    let mut dispatcher = with_nothing_of_its_own();
    let out = |index: usize| VersionedEntry {
        revision: 30 + index as u64,
        entry: StoreEntry::Evacuated(domain(index), true),
    };
    let delta = Delta { since: 20, revision: 40, is_snapshot: false, entries: (1..4).map(out).collect() };
    dispatcher.apply_delta(ms(10), &delta, &mut Vec::new());
    assert_eq!(dispatcher.readiness(ms(20), false), Readiness::Ready);
}
