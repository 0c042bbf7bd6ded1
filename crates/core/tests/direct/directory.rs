//! Store updates in any order, and the deltas that instances send to each other.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::arbitrary::any;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::Index;

use crate::fleet::DOMAINS;
use crate::fleet::SERVICE;
use crate::fleet::domain;
use crate::fleet::routing;
use crate::fleet::store_snapshot;
use crate::fleet::target_id;
use crate::fleet::target_spec;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::segment::Cookie;
use hawthornshift_core::direct::store::directory::Directory;
use hawthornshift_core::direct::store::directory::Target;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::Routing;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::TargetSpec;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;
use hawthornshift_model::TargetId;

/// Returns the decisive part of a directory: targets that may get flows, evacuated domains, and the version of the
/// configuration.
fn decisive_state(directory: &Directory) -> (Vec<(u64, bool)>, Vec<bool>, u64) {
    let targets = directory.targets().map(|target| (target.id, target.takes_flows(Duration::from_mins(1))));
    let domains = (0..4).map(|index| directory.is_evacuated(&domain(index)));
    (targets.filter(|(_, takes)| *takes).collect(), domains.collect(), directory.version())
}

fn store_entry(kind: u8, index: usize, revision: u64) -> StoreEntry {
    match kind {
        0 => StoreEntry::Target(target_id(index), Some(target_spec(index, Duration::ZERO))),
        1 => StoreEntry::Target(target_id(index), None),
        2 => StoreEntry::Evacuated(domain(index), true),
        3 => StoreEntry::Evacuated(domain(index), false),
        _ => StoreEntry::Routing(Routing { version: revision, ..routing() }),
    }
}

proptest! {
    /// Store updates are reordered and repeated, by push, by pull and from the store. Whatever the order, an instance
    /// must end in the same state and never return to an older configuration on the way.
    #[test]
    fn the_order_of_updates_does_not_matter(
        changes in vec((0_u8..5, 0_usize..6), 1..40),
        order in vec(any::<Index>(), 1..120),
    ) {
        let updates: Vec<VersionedEntry> = changes.iter().zip(12_u64..)
            .map(|((kind, index), revision)| VersionedEntry { revision, entry: store_entry(*kind, *index, revision) })
            .collect();
        let single = |versioned: &VersionedEntry| Delta {
            since: versioned.revision - 1, revision: versioned.revision, is_snapshot: false, entries: vec![versioned.clone()],
        };
        let mut in_order = Directory::default();
        in_order.apply(Timestamp::ZERO, &store_snapshot(4));
        for versioned in &updates {
            in_order.apply(Timestamp::ZERO, &single(versioned));
        }
        let mut shuffled = Directory::default();
        shuffled.apply(Timestamp::ZERO, &store_snapshot(4));
        let mut version = 0;
        for index in order {
            shuffled.apply(Timestamp::ZERO, &single(index.get(&updates)));
            prop_assert!(shuffled.version() >= version);
            version = shuffled.version();
        }
        let rest = in_order.delta_since(Timestamp::ZERO, 0);
        shuffled.apply(Timestamp::ZERO, &rest);
        prop_assert_eq!(decisive_state(&in_order), decisive_state(&shuffled));
        prop_assert_eq!(in_order.revision(), shuffled.revision());
    }

    /// An instance that has missed some updates pulls the entries that are newer than its revision, and must then know
    /// all of them.
    #[test]
    fn a_delta_contains_all_missed_updates(
        changes in vec((0_u8..5, 0_usize..6), 1..40),
        missed in any::<Index>(),
    ) {
        let mut source = Directory::default();
        source.apply(Timestamp::ZERO, &store_snapshot(4));
        let mut behind = source.clone();
        let keep = missed.index(changes.len());
        for ((count, (kind, index)), revision) in changes.iter().enumerate().zip(12_u64..) {
            let versioned_entries = vec![VersionedEntry { revision, entry: store_entry(*kind, *index, revision) }];
            let delta = Delta { since: revision - 1, revision, is_snapshot: false, entries: versioned_entries };
            source.apply(Timestamp::ZERO, &delta);
            if count < keep {
                behind.apply(Timestamp::ZERO, &delta);
            }
        }
        let delta = source.delta_since(Timestamp::ZERO, behind.revision());
        behind.apply(Timestamp::ZERO, &delta);
        prop_assert_eq!(decisive_state(&source), decisive_state(&behind));
        prop_assert_eq!(source.revision(), behind.revision());
    }

    /// Tables that miss a change of a target would send flows to one that has left, or count slots that do not exist.
    #[test]
    fn look_up_tables_follow_every_change(changes in vec((0_u8..6, 0_usize..8, 0_u64..40_000), 1..60)) {
        let mut directory = Directory::default();
        directory.apply(Timestamp::ZERO, &store_snapshot(4));
        let mut now = Timestamp::ZERO;
        for ((kind, index, wait_ms), revision) in changes.into_iter().zip(12_u64..) {
            now += Duration::from_millis(wait_ms);
            let entry = target_change(kind, index, revision);
            let versioned_entries = vec![VersionedEntry { revision, entry }];
            let delta = Delta { since: revision - 1, revision, is_snapshot: false, entries: versioned_entries };
            directory.apply(now, &delta);
            for later in [Duration::ZERO, Duration::from_secs(3)] {
                prop_assert_eq!(found_by_tables(&directory, now + later), found_by_scan(&directory, now + later));
            }
        }
    }
}

/// Returns a change of a target: listed, draining, moved to another service, listed under an id with the same cookie as
/// another, removed, or its failure domain evacuated.
fn target_change(kind: u8, index: usize, revision: u64) -> StoreEntry {
    let spec = TargetSpec { started_at_ms: revision, ..target_spec(index, Duration::ZERO) };
    match kind {
        0 => StoreEntry::Target(target_id(index), Some(spec)),
        1 => StoreEntry::Target(target_id(index), Some(TargetSpec { draining: true, ..spec })),
        2 => StoreEntry::Target(target_id(index), Some(TargetSpec { service: "other".to_owned(), slots: 5, ..spec })),
        3 => StoreEntry::Target(target_id(index % 2) + (1 << 32), Some(spec)),
        4 => StoreEntry::Target(target_id(index), None),
        _ => StoreEntry::Evacuated(domain(index), revision.is_multiple_of(2)),
    }
}

/// The targets of each service that may get flows, the number of slots by service and domain, and the target of each
/// cookie.
type Found = (Vec<(String, Vec<TargetId>)>, Vec<(String, String, u32)>, Vec<(Cookie, TargetId)>);

fn services_and_domains() -> impl Iterator<Item = (String, String)> {
    let services = [SERVICE, "other"];
    services.into_iter().flat_map(|service| (0..DOMAINS).map(move |index| (service.to_owned(), domain(index))))
}

fn found_by_tables(directory: &Directory, now: Timestamp) -> Found {
    let candidates = [SERVICE, "other"].map(|service| {
        let mut ids: Vec<TargetId> = directory.candidates(now, service).map(|target| target.id).collect();
        ids.sort_unstable();
        (service.to_owned(), ids)
    });
    let slots = services_and_domains().map(|(service, domain)| {
        let slots = directory.capacity(now, &service, Some(&domain)).slots;
        (service, domain, slots)
    });
    let mut cookies: Vec<Cookie> = directory.targets().map(Target::cookie).collect();
    cookies.sort_unstable();
    cookies.dedup();
    let by_cookie = cookies.into_iter().filter_map(|cookie| Some((cookie, directory.by_cookie(cookie)?.id)));
    (candidates.to_vec(), slots.collect(), by_cookie.collect())
}

fn found_by_scan(directory: &Directory, now: Timestamp) -> Found {
    let mut by_cookie: BTreeMap<Cookie, TargetId> = BTreeMap::new();
    directory.targets().for_each(|target| {
        by_cookie.entry(target.cookie()).or_insert(target.id);
    });
    let takes_flows =
        |target: &&Target| target.takes_flows(now) && !directory.is_evacuated(&target.spec.failure_domain);
    let candidates = [SERVICE, "other"].map(|service| {
        let targets = directory.targets().filter(takes_flows).filter(|target| target.spec.service == service);
        let ids = targets.map(|target| target.id).filter(|id| by_cookie[&cookie(*id)] == *id);
        (service.to_owned(), ids.collect())
    });
    let slots = services_and_domains().map(|(service, domain)| {
        let targets = directory.targets().filter(takes_flows);
        let targets = targets.filter(|target| target.spec.service == service && target.spec.failure_domain == domain);
        let slots = targets.map(|target| target.spec.slots.max(1)).sum();
        (service, domain, slots)
    });
    (candidates.to_vec(), slots.collect(), by_cookie.into_iter().collect())
}

/// A store update is lost and the next one arrives. If the instance assumed that it knows everything up to the later
/// revision, no peer would ever send it the update that it missed.
#[test]
fn a_missed_update_is_detected() {
    let mut directory = Directory::default();
    directory.apply(Timestamp::ZERO, &store_snapshot(2));
    let versioned_entries = vec![VersionedEntry { revision: 20, entry: StoreEntry::Target(target_id(0), None) }];
    directory
        .apply(Timestamp::ZERO, &Delta { since: 19, revision: 20, is_snapshot: false, entries: versioned_entries });
    assert_eq!(directory.revision(), 11);
}

/// A target left while the history of the store was lost. The snapshot that is read afterwards does not list it, and
/// flows must not be placed on it for ever.
#[test]
fn entries_missing_from_a_snapshot_are_removed() {
    let mut directory = Directory::default();
    directory.apply(Timestamp::ZERO, &store_snapshot(3));
    let evacuated = vec![VersionedEntry { revision: 13, entry: StoreEntry::Evacuated(domain(1), true) }];
    directory.apply(Timestamp::ZERO, &Delta { since: 11, revision: 13, is_snapshot: false, entries: evacuated });
    let later = Delta { revision: 30, ..store_snapshot(2) };
    directory.apply(Duration::from_secs(1), &later);
    let (takes, out, _) = decisive_state(&directory);
    assert_eq!(takes, [(target_id(0), true), (target_id(1), true)]);
    assert_eq!(out, [false; 4]);
}

/// A target that has been gone for long is removed, or the directory would grow for ever. A request for changes since
/// an earlier revision must get a snapshot, since the difference is no longer known.
#[test]
fn old_targets_are_removed_and_old_revisions_get_a_snapshot() {
    let mut directory = Directory::default();
    directory.apply(Timestamp::ZERO, &store_snapshot(2));
    let gone = |revision: u64, index: usize| {
        let versioned_entries = vec![VersionedEntry { revision, entry: StoreEntry::Target(target_id(index), None) }];
        Delta { since: revision - 1, revision, is_snapshot: false, entries: versioned_entries }
    };
    directory.apply(Duration::from_secs(1), &gone(12, 0));
    assert!(directory.target(target_id(0)).is_some());
    directory.apply(Duration::from_mins(5), &gone(13, 1));
    assert!(directory.target(target_id(0)).is_none());
    assert!(directory.delta_since(Duration::from_mins(5), 11).is_snapshot);
    assert!(!directory.delta_since(Duration::from_mins(5), 12).is_snapshot);
}

/// A target has left the store and still serves its last flows. An instance that starts now receives packets of these
/// flows, and only a peer knows the target's address. Without it, each of those callers would lose its answer.
#[test]
fn a_target_that_has_left_is_handed_over() {
    let mut source = Directory::default();
    source.apply(Timestamp::ZERO, &store_snapshot(2));
    let gone = vec![VersionedEntry { revision: 12, entry: StoreEntry::Target(target_id(1), None) }];
    source.apply(Duration::from_secs(1), &Delta { since: 11, revision: 12, is_snapshot: false, entries: gone });
    let mut fresh = Directory::default();
    fresh.apply(Duration::from_secs(2), &source.delta_since(Duration::from_secs(2), 0));
    let target = fresh.by_cookie(cookie(target_id(1))).expect("known by its cookie");
    assert_eq!(target.spec.address, target_spec(1, Duration::ZERO).address);
    assert!(!target.takes_flows(Duration::from_secs(2)));
    assert_eq!(fresh.revision(), 12);
}
