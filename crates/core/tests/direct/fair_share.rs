//! Routes and callers that compete for the slots of one service.

use std::iter;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::thread;
use std::time::Duration;

use crate::fleet::SERVICE;
use crate::fleet::SecondRoute;
use crate::fleet::Sim;
use crate::fleet::WhenFull;
use crate::fleet::ms;
use crate::fleet::routing;
use hawthornshift_core::direct::limits::caller_rates::CallerRates;
use hawthornshift_core::direct::limits::fair_share::ClassUse;
use hawthornshift_core::direct::limits::fair_share::Demand;
use hawthornshift_core::direct::limits::fair_share::FairShares;
use hawthornshift_core::direct::limits::fair_share::FlowClass;
use hawthornshift_core::direct::limits::fair_share::ServiceUse;
use hawthornshift_core::direct::limits::fair_share::Standing;
use hawthornshift_core::direct::limits::fair_share::max_min_shares;
use hawthornshift_core::direct::limits::fair_share::weight;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::store::store_entries::Route;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Usual demand of the first route, per second.
const FIRST_PER_SECOND: f64 = 467.0;

/// Simulates two routes on one service at a third of a deployment's size. The first route asks for `factor` times its
/// usual demand from 3 s to 8 s.
fn run_two_routes(seed: u64, factor: f64, without: &[Mechanism]) -> Sim {
    let mut sim = Sim::new(seed, 20, 40, FIRST_PER_SECOND);
    sim.mechanisms = without.iter().fold(Mechanisms::default(), |all, mechanism| all.without(*mechanism));
    sim.when_full = WhenFull::Refuse;
    sim.service_time = ms(40);
    sim.set_route_times(ms(300), ms(1_500));
    sim.use_persistent_flows(0);
    let second = SecondRoute { per_second: 133.0, service_time: ms(52), objective: ms(400), priority: 1 };
    sim.add_second_route(second, 2);
    sim.route_by_readiness();
    sim.run_until(secs(3));
    sim.per_second = factor * FIRST_PER_SECOND;
    sim.run_until(secs(8));
    sim.per_second = FIRST_PER_SECOND;
    sim.run_until(secs(10));
    sim.assert_invariants();
    sim
}

/// Simulates 41 callers of one route. From 3 s to 7 s, the first one sends `ratio` times as many requests as each other
/// one, and these send `each_per_second`. The usual demand is 0.7 of the capacity.
fn run_callers(seed: u64, ratio: f64, each_per_second: f64, without: &[Mechanism]) -> Sim {
    let mut sim = Sim::new(seed, 20, 40, 1_400.0);
    sim.mechanisms = without.iter().fold(Mechanisms::default(), |all, mechanism| all.without(*mechanism));
    sim.when_full = WhenFull::Refuse;
    sim.service_time = ms(40);
    sim.set_route_times(ms(300), ms(1_500));
    sim.use_fixed_callers(41);
    sim.route_by_readiness();
    sim.run_until(secs(3));
    (sim.first_caller_ratio, sim.per_second) = (ratio, each_per_second * (40.0 + ratio));
    sim.run_until(secs(7));
    (sim.first_caller_ratio, sim.per_second) = (1.0, 1_400.0);
    sim.run_until(secs(9));
    sim.assert_invariants();
    sim
}

fn served_of_second(sim: &Sim) -> f64 {
    sim.answered_shares_of(secs(3), secs(8), |request| request.is_second).1
}

/// Guards against a route that loses requests while another one on the same service asks for eight times its usual
/// demand.
#[test]
fn a_flood_on_one_route_takes_little_from_another() {
    let run = |seed, without: &'static [Mechanism]| thread::spawn(move || run_two_routes(seed, 8.0, without));
    // Slot quotas alone keep the loss small, so the shares are compared without them.
    let with = &[Mechanism::SlotQuota];
    let without = &[Mechanism::SlotQuota, Mechanism::FairShare];
    let runs = [0, 1].map(|seed| [run(seed, with), run(seed, without)]);
    let both = [0, 1].map(|seed| run(seed, &[]));
    for both in both {
        let served = served_of_second(&both.join().unwrap());
        assert!(served > 0.97, "{served} served with shares and quotas");
    }
    for [with, without] in runs {
        let (with, without) = (with.join().unwrap(), without.join().unwrap());
        let [served, served_without] = [&with, &without].map(served_of_second);
        assert!(served > 0.95 && served > served_without + 0.05, "{served} served, {served_without} without shares");
        let first = |sim: &Sim| sim.answered_shares_of(secs(3), secs(8), |request| !request.is_second);
        let (flood, flood_without) = (first(&with), first(&without));
        assert!(flood.0 > flood_without.0, "{flood:?} of the flood, {flood_without:?} without shares");
        assert!(with.refused_attempts() * 2 < without.refused_attempts());
    }
}

/// Guards against callers that lose requests because another one sends fifty times as many. Until limits are in force,
/// targets refuse some requests of all callers.
#[test]
fn a_caller_with_fifty_times_the_rate_takes_little_from_others() {
    let run = |seed, without: &'static [Mechanism]| thread::spawn(move || run_callers(seed, 50.0, 35.0, without));
    let runs = [0, 1].map(|seed| [run(seed, &[]), run(seed, &[Mechanism::CallerShares])]);
    for [with, without] in runs {
        let (with, without) = (with.join().unwrap(), without.join().unwrap());
        let others = |sim: &Sim, from| sim.answered_shares_of(from, secs(7), |request| request.caller != Some(0)).1;
        let (served, served_without) = (others(&with, secs(3)), others(&without, secs(3)));
        assert!(served > 0.96 && served > served_without + 0.2, "{served} served, {served_without} without");
        let later = others(&with, ms(4_500));
        assert!(later > 0.98, "{later} served after the first 1.5 s");
    }
}

/// Guards against callers of the same rate of which some count as heavy by chance, which would change the order of flows.
#[test]
fn even_callers_are_served_as_without_shares() {
    let [with, without] = [&[][..], &[Mechanism::CallerShares]].map(|without| run_callers(0, 1.0, 70.0, without));
    let answers = |sim: &Sim| sim.requests.iter().map(|request| request.answered_at).collect::<Vec<_>>();
    assert!(with.refused_attempts() > 0, "overloaded");
    assert_eq!(answers(&with), answers(&without));
}

/// Guards against a table of callers that grows with their number, and against callers that stay heavy after they have
/// stopped.
#[test]
fn callers_are_bounded_and_expire() {
    let mut callers = CallerRates::default();
    for step in 0..20_000_u32 {
        callers.arrived(ms(u64::from(step) / 10), FLOOD, Ipv4Addr::from(step));
        callers.arrived(ms(u64::from(step) / 10), FLOOD, Ipv4Addr::BROADCAST);
    }
    assert_eq!((callers.len(), callers.heavy_count()), (4_096, 1));
    assert!(callers.is_heavy(FLOOD, Ipv4Addr::BROADCAST) && callers.fraction(FLOOD, true) < 0.001);
    callers.expire(secs(7));
    assert!(callers.is_empty() && callers.heavy_count() == 0);
}

/// Guards against shares that change decisions while the slots suffice for all flows.
#[test]
fn shares_change_nothing_within_capacity() {
    let [with, without] = [&[][..], &[Mechanism::FairShare]].map(|without| run_two_routes(0, 2.0, without));
    assert_eq!(with.guaranteed_total(), 0);
    let answers = |sim: &Sim| sim.requests.iter().map(|request| request.answered_at).collect::<Vec<_>>();
    assert_eq!(answers(&with), answers(&without));
}

/// Guards against a share above the demand, and against slots that no route gets although one asks for them.
#[test]
fn shares_are_max_min_fair_by_weight() {
    let demand = |priority, slots| Demand { weight: weight(priority), slots };
    assert_eq!(max_min_shares(6.0, &[demand(0, 9.0), demand(1, 9.0)]), [4.0, 2.0]);
    assert_eq!(max_min_shares(6.0, &[demand(0, 1.0), demand(1, 9.0)]), [1.0, 5.0], "the unused share goes on");
    assert_eq!(max_min_shares(6.0, &[demand(0, 1.0), demand(1, 2.0)]), [1.0, 2.0], "no more than the demand");
    assert_eq!(max_min_shares(6.0, &[]), [0.0; 0]);
}

const FLOOD: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const SMALL: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// Returns the class of all callers of a route.
fn all(route: SocketAddrV4) -> FlowClass {
    FlowClass { route, heavy: false }
}

fn class_use(route: SocketAddrV4, priority: u8, open: usize, waiting: usize) -> ClassUse {
    ClassUse { class: all(route), weight: weight(priority), open, waiting, waiting_late: 0, share: 0.0 }
}

/// Guards against a flow that is rejected because of flows that would be served after it, whichever priority the flood
/// has.
#[test]
fn admission_counts_only_flows_that_are_served_earlier() {
    for (flood, small) in [(2, 1), (0, 1)] {
        let classes = vec![class_use(FLOOD, flood, 6, 30), class_use(SMALL, small, 0, 1)];
        let service_use = ServiceUse::new(6.0, classes, Some(all(SMALL)));
        assert_eq!(service_use.depth_before(all(SMALL)).in_time, 1);
        assert_eq!(service_use.depth_before(all(FLOOD)).in_time, 31);
        assert_eq!(service_use.standing(all(SMALL), true), Standing::Guaranteed);
        assert_eq!(service_use.standing(all(FLOOD), true), Standing::Excess);
        assert!(service_use.turn(all(SMALL)) < service_use.turn(all(FLOOD)));
        assert!(
            service_use.excess(all(SMALL)) < service_use.excess(all(FLOOD)),
            "the flood's flows are displaced first"
        );
    }
}

/// Guards against a guarantee for a route that itself asks for more than its share, beyond the variation of a small
/// number of requests.
#[test]
fn a_route_beyond_its_share_has_no_guarantee() {
    let small = |open| {
        let classes = vec![class_use(FLOOD, 2, 6, 30), class_use(SMALL, 1, open, 9)];
        ServiceUse::new(6.0, classes, Some(all(SMALL))).standing(all(SMALL), true)
    };
    assert_eq!([small(7), small(8)], [Standing::Guaranteed, Standing::Excess]);
}

/// Guards against shares that outlive their routes, and against shares among routes of one priority.
#[test]
fn shares_follow_the_configuration() {
    let mut routing = routing();
    let mut shares = FairShares::default();
    shares.set_routes(&routing);
    assert!(!shares.is_shared(SERVICE), "one route");
    let other = Route { address: SMALL, priority: 0, ..routing.routes[0].clone() };
    routing.routes.push(other);
    shares.set_routes(&routing);
    shares.opened(SERVICE, all(SMALL), 7);
    let open = |shares: &FairShares| {
        let service_use = shares.service_use(SERVICE, 4.0, |_| true, iter::empty(), None);
        service_use.map(|it| it.classes.iter().map(|used| used.open).sum::<usize>())
    };
    assert_eq!(open(&shares), Some(1));
    routing.routes[1].priority = routing.routes[0].priority;
    shares.set_routes(&routing);
    assert_eq!(open(&shares), None, "one priority");
}

/// Guards against a log line for each short gap in a lasting contention.
#[test]
fn contention_is_reported_once() {
    let mut routing = routing();
    routing.routes.push(Route { address: SMALL, priority: 0, ..routing.routes[0].clone() });
    let mut shares = FairShares::default();
    shares.set_routes(&routing);
    for step in 0..40_u64 {
        let classes = vec![class_use(FLOOD, 1, 6, 30), class_use(SMALL, 0, 1, 0)];
        let service_use = (step % 4 == 0).then(|| ServiceUse::new(6.0, classes, None));
        shares.record_contention(ms(50 * step), SERVICE, service_use);
    }
    assert_eq!(shares.take_changes().len(), 1);
    shares.record_contention(secs(4), SERVICE, None);
    assert!(shares.take_changes().iter().all(|change| !change.contended) && shares.contended_count() == 0);
}
