//! The configuration as instances send it to each other.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::fleet::SERVICE;
use hawthornshift_core::direct::store::directory::Directory;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::RequestKind;
use hawthornshift_core::direct::store::store_entries::Route;
use hawthornshift_core::direct::store::store_entries::Routing;
use hawthornshift_core::direct::store::store_entries::ServiceSpec;
use hawthornshift_core::direct::store::store_entries::Share;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;
use hawthornshift_model::Revision;

const INSTANCES: usize = 4;
const NOW: Duration = Duration::from_secs(1);

fn route(index: u8, timeout: u64) -> Route {
    Route {
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, index), 443),
        shares: vec![Share { service: SERVICE.to_owned(), weight: 1 }],
        kind: RequestKind::Safe,
        timeout: Duration::from_millis(timeout),
        latency_objective: Duration::from_millis(150),
        priority: 1,
    }
}

fn configuration(version: u64, routes: Vec<Route>) -> Routing {
    let service = ServiceSpec { name: SERVICE.to_owned(), cold_time: Duration::from_secs(2) };
    Routing { version, routes, services: vec![service], idle_timeout: Duration::from_secs(15) }
}

fn sorted(routing: &Routing) -> Routing {
    let mut routing = routing.clone();
    routing.routes.sort_by_key(|route| route.address);
    routing
}

#[derive(Clone, Debug)]
enum Step {
    /// Operators publish a configuration with another set of routes, `after` revisions later.
    Publish { routes: Vec<(u8, u64)>, after: u64 },
    /// An instance reads the store's changes and pushes them to some of the others.
    Watch { instance: usize, recipients: Vec<bool> },
    /// An instance reads a snapshot of the store.
    ReadSnapshot(usize),
    /// Instance `to` pulls what it lacks from instance `from`.
    Pull { from: usize, to: usize },
    /// An instance restarts without state.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        (vec((0_u8..6, 1_u64..3), 1..6), 1_u64..4).prop_map(|(routes, after)| Step::Publish { routes, after }),
        (instance.clone(), vec(proptest::bool::ANY, INSTANCES))
            .prop_map(|(instance, recipients)| Step::Watch { instance, recipients }),
        instance.clone().prop_map(Step::ReadSnapshot),
        (instance.clone(), instance.clone()).prop_map(|(from, to)| Step::Pull { from, to }),
        instance.prop_map(Step::Restart),
    ]
}

struct Simulation {
    /// All configurations that were ever published, with their revisions.
    published: Vec<(Revision, Routing)>,
    revision: Revision,
    instances: Vec<Directory>,
    /// Revision up to which each instance has watched the store; zero when it does not watch.
    watched_revisions: Vec<Revision>,
}

impl Simulation {
    fn new() -> Self {
        let first = configuration(1, vec![route(0, 1), route(1, 1)]);
        let instances = vec![Directory::default(); INSTANCES];
        Self { published: vec![(5, first)], revision: 5, instances, watched_revisions: vec![0; INSTANCES] }
    }

    fn latest(&self, up_to: Revision) -> &(Revision, Routing) {
        self.published.iter().rev().find(|(revision, _)| *revision <= up_to).unwrap()
    }

    fn store_delta(&self, since: Revision) -> Delta {
        let (revision, routing) = self.latest(self.revision);
        let versioned = VersionedEntry { revision: *revision, entry: StoreEntry::Routing(routing.clone()) };
        let versioned_entries = if *revision > since { vec![versioned] } else { Vec::new() };
        Delta { since, revision: self.revision, is_snapshot: since == 0, entries: versioned_entries }
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Publish { routes, after } => {
                self.revision += after;
                let version = self.latest(self.revision).1.version + 1;
                let mut routes: Vec<Route> = routes.iter().map(|(index, timeout)| route(*index, *timeout)).collect();
                routes.sort_by_key(|route| route.address);
                routes.dedup_by_key(|route| route.address);
                self.published.push((self.revision, configuration(version, routes)));
            }
            Step::Watch { instance, recipients } => {
                let delta = self.store_delta(self.watched_revisions[*instance]);
                self.watched_revisions[*instance] = self.revision;
                self.instances[*instance].apply(NOW, &delta);
                let peer_delta = self.instances[*instance].delta_for_peers(&delta);
                for index in (0..INSTANCES).filter(|index| recipients[*index] && index != instance) {
                    self.instances[index].apply(NOW, &peer_delta);
                }
            }
            Step::ReadSnapshot(instance) => {
                let delta = self.store_delta(0);
                self.instances[*instance].apply(NOW, &delta);
            }
            Step::Pull { from, to } => {
                let delta = self.instances[*from].delta_since(NOW, self.instances[*to].fetch_since());
                self.instances[*to].apply(NOW, &delta);
            }
            Step::Restart(instance) => {
                self.instances[*instance] = Directory::default();
                self.watched_revisions[*instance] = 0;
            }
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    /// Instances receive configurations in any order, as deltas and as snapshots, from the store and from each other;
    /// some miss updates or restart. If one applied a delta to the wrong configuration, it would serve routes that no
    /// operator ever published: its callers would reach a service that they never asked for.
    #[test]
    fn an_instance_holds_only_published_configurations(steps in vec(step(), 1..60)) {
        let mut sim = Simulation::new();
        for step in &steps {
            sim.apply_step(step);
            for directory in sim.instances.iter().filter(|directory| directory.is_synced()) {
                let held = directory.routing().unwrap();
                let published = sim.published.iter().find(|(_, routing)| routing.version == held.version).unwrap();
                prop_assert_eq!(sorted(held), sorted(&published.1));
                prop_assert!(held.version >= sim.latest(directory.revision()).1.version);
            }
        }
    }

    /// An instance that watches the store must be up to date, whichever unusable deltas it received from others. It
    /// announces its revision, and others detect by it that they have missed an update.
    #[test]
    fn a_watcher_is_up_to_date(steps in vec(step(), 1..40), instance in 0..INSTANCES) {
        let mut sim = Simulation::new();
        for step in &steps {
            sim.apply_step(step);
        }
        sim.apply_step(&Step::Watch { instance, recipients: vec![false; INSTANCES] });
        prop_assert_eq!(sim.instances[instance].revision(), sim.revision);
        prop_assert_eq!(sim.instances[instance].fetch_since(), sim.revision);
    }

    /// An instance that pulls from a more recent one must have everything that the other has after two pulls: the first
    /// may return a delta to a configuration that only one of them has seen.
    #[test]
    fn two_pulls_bring_an_instance_up_to_date(steps in vec(step(), 1..40), from in 0..INSTANCES, to in 0..INSTANCES) {
        let mut sim = Simulation::new();
        for step in &steps {
            sim.apply_step(step);
        }
        sim.apply_step(&Step::ReadSnapshot(from));
        sim.apply_step(&Step::Pull { from, to });
        sim.apply_step(&Step::Pull { from, to });
        prop_assert_eq!(sim.instances[to].revision(), sim.revision);
        prop_assert_eq!(sim.instances[to].version(), sim.instances[from].version());
    }
}

/// A configuration of 260 routes is published 25 times within seconds, each time with one route changed. Sent whole to
/// 78 instances, it fills a link of 10 Mbit/s for most of a second each time, and the heartbeats queued behind it are
/// late or lost. Sent as a delta, it fits a datagram.
#[test]
fn a_change_of_one_route_fits_a_datagram() {
    let mut watcher = Directory::default();
    let routes = |timeout| (0..=255).map(|index| route(index, if index == 7 { timeout } else { 1 })).collect();
    let store_delta = |since, revision, version| {
        let store_entry = StoreEntry::Routing(configuration(version, routes(version)));
        Delta {
            since,
            revision,
            is_snapshot: since == 0,
            entries: vec![VersionedEntry { revision, entry: store_entry }],
        }
    };
    watcher.apply(NOW, &store_delta(0, 10, 1));
    let mut other = watcher.clone();
    for version in 2..27 {
        let (since, revision) = (8 + version, 9 + version);
        let delta = store_delta(since, revision, version);
        watcher.apply(NOW, &delta);
        let peer_delta = watcher.delta_for_peers(&delta);
        assert!(postcard::to_stdvec(&peer_delta).unwrap().len() < 400);
        other.apply(NOW, &peer_delta);
        assert_eq!(other.version(), version);
        assert_eq!(other.revision(), revision);
    }
    assert_eq!(sorted(other.routing().unwrap()), sorted(watcher.routing().unwrap()));
    let missed_delta = watcher.delta_since(NOW, 12);
    assert!(postcard::to_stdvec(&missed_delta).unwrap().len() < 400);
}
