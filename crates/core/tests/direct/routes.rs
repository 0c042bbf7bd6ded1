//! The configuration as instances tell it to each other.

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
use hawthornshift_core::direct::directory::Directory;
use hawthornshift_core::direct::store_entries::Delta;
use hawthornshift_core::direct::store_entries::RequestKind;
use hawthornshift_core::direct::store_entries::Route;
use hawthornshift_core::direct::store_entries::Routing;
use hawthornshift_core::direct::store_entries::ServiceSpec;
use hawthornshift_core::direct::store_entries::Share;
use hawthornshift_core::direct::store_entries::StoreEntry;
use hawthornshift_core::direct::store_entries::VersionedEntry;
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
    /// Operators publish a configuration with another set of routes, after so many other changes of the store.
    Publish { routes: Vec<(u8, u64)>, after: u64 },
    /// An instance reads the store's changes and tells some of the others.
    Watch { instance: usize, told: Vec<bool> },
    /// An instance reads everything from the store.
    Read(usize),
    /// An instance asks another for what it lacks.
    Pull { from: usize, to: usize },
    /// An instance starts anew.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        (vec((0_u8..6, 1_u64..3), 1..6), 1_u64..4).prop_map(|(routes, after)| Step::Publish { routes, after }),
        (instance.clone(), vec(proptest::bool::ANY, INSTANCES))
            .prop_map(|(instance, told)| Step::Watch { instance, told }),
        instance.clone().prop_map(Step::Read),
        (instance.clone(), instance.clone()).prop_map(|(from, to)| Step::Pull { from, to }),
        instance.prop_map(Step::Restart),
    ]
}

struct World {
    /// All configurations that were ever published.
    published: Vec<(Revision, Routing)>,
    revision: Revision,
    instances: Vec<Directory>,
    /// Up to which revision each instance has followed the store; zero when it does not.
    followed: Vec<Revision>,
}

impl World {
    fn new() -> Self {
        let first = configuration(1, vec![route(0, 1), route(1, 1)]);
        let instances = vec![Directory::default(); INSTANCES];
        Self { published: vec![(5, first)], revision: 5, instances, followed: vec![0; INSTANCES] }
    }

    fn latest(&self, up_to: Revision) -> &(Revision, Routing) {
        self.published.iter().rev().find(|(revision, _)| *revision <= up_to).unwrap()
    }

    fn news(&self, since: Revision) -> Delta {
        let (revision, routing) = self.latest(self.revision);
        let fact = VersionedEntry { revision: *revision, entry: StoreEntry::Routing(routing.clone()) };
        let facts = if *revision > since { vec![fact] } else { Vec::new() };
        Delta { since, revision: self.revision, is_snapshot: since == 0, entries: facts }
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Publish { routes, after } => {
                self.revision += after;
                let version = self.latest(self.revision).1.version + 1;
                let mut routes: Vec<Route> = routes.iter().map(|(index, timeout)| route(*index, *timeout)).collect();
                routes.sort_by_key(|route| route.address);
                routes.dedup_by_key(|route| route.address);
                self.published.push((self.revision, configuration(version, routes)));
            }
            Step::Watch { instance, told } => {
                let delta = self.news(self.followed[*instance]);
                self.followed[*instance] = self.revision;
                self.instances[*instance].apply(NOW, &delta);
                let relayed = self.instances[*instance].delta_for_peers(&delta);
                for index in (0..INSTANCES).filter(|index| told[*index] && index != instance) {
                    self.instances[index].apply(NOW, &relayed);
                }
            }
            Step::Read(instance) => {
                let delta = self.news(0);
                self.instances[*instance].apply(NOW, &delta);
            }
            Step::Pull { from, to } => {
                let delta = self.instances[*from].delta_since(NOW, self.instances[*to].fetch_since());
                self.instances[*to].apply(NOW, &delta);
            }
            Step::Restart(instance) => {
                self.instances[*instance] = Directory::default();
                self.followed[*instance] = 0;
            }
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    /// Instances hear of configurations in any order, by differences and by whole ones, from the store and from each
    /// other, and some are not told or start anew. One that applied a difference to the wrong configuration would serve
    /// routes that no operator ever published: its callers would reach a service that they never asked for.
    #[test]
    fn what_an_instance_holds_was_published_as_it_is(steps in vec(step(), 1..60)) {
        let mut world = World::new();
        for step in &steps {
            world.play(step);
            for directory in world.instances.iter().filter(|directory| directory.is_synced()) {
                let held = directory.routing().unwrap();
                let published = world.published.iter().find(|(_, routing)| routing.version == held.version).unwrap();
                prop_assert_eq!(sorted(held), sorted(&published.1));
                prop_assert!(held.version >= world.latest(directory.revision()).1.version);
            }
        }
    }

    /// An instance that follows the store knows all of it, whatever it could not make use of that others told it. It
    /// announces how far it is, and by that others notice that they have missed something.
    #[test]
    fn whoever_follows_the_store_is_up_to_date(steps in vec(step(), 1..40), instance in 0..INSTANCES) {
        let mut world = World::new();
        for step in &steps {
            world.play(step);
        }
        world.play(&Step::Watch { instance, told: vec![false; INSTANCES] });
        prop_assert_eq!(world.instances[instance].revision(), world.revision);
        prop_assert_eq!(world.instances[instance].fetch_since(), world.revision);
    }

    /// Whoever asks an instance that knows more has everything that it knows after two questions: the first may bring a
    /// difference to a configuration that only one of them has seen.
    #[test]
    fn two_questions_bring_everything(steps in vec(step(), 1..40), from in 0..INSTANCES, to in 0..INSTANCES) {
        let mut world = World::new();
        for step in &steps {
            world.play(step);
        }
        world.play(&Step::Read(from));
        world.play(&Step::Pull { from, to });
        world.play(&Step::Pull { from, to });
        prop_assert_eq!(world.instances[to].revision(), world.revision);
        prop_assert_eq!(world.instances[to].version(), world.instances[from].version());
    }
}

/// A configuration of 260 routes is published 25 times within seconds, each time with one route changed. Told whole to 78
/// instances, this fills a link of 10 Mbit/s for the better part of a second each time, and the heartbeats behind it are
/// late or lost; told by its difference it fits a datagram.
#[test]
fn a_change_of_one_route_is_told_in_a_datagram() {
    let mut watcher = Directory::default();
    let routes = |timeout| (0..=255).map(|index| route(index, if index == 7 { timeout } else { 1 })).collect();
    let news = |since, revision, version| {
        let fact = StoreEntry::Routing(configuration(version, routes(version)));
        Delta { since, revision, is_snapshot: since == 0, entries: vec![VersionedEntry { revision, entry: fact }] }
    };
    watcher.apply(NOW, &news(0, 10, 1));
    let mut other = watcher.clone();
    for version in 2..27 {
        let (since, revision) = (8 + version, 9 + version);
        let delta = news(since, revision, version);
        watcher.apply(NOW, &delta);
        let told = watcher.delta_for_peers(&delta);
        assert!(postcard::to_stdvec(&told).unwrap().len() < 400);
        other.apply(NOW, &told);
        assert_eq!(other.version(), version);
        assert_eq!(other.revision(), revision);
    }
    assert_eq!(sorted(other.routing().unwrap()), sorted(watcher.routing().unwrap()));
    let behind = watcher.delta_since(NOW, 12);
    assert!(postcard::to_stdvec(&behind).unwrap().len() < 400);
}
