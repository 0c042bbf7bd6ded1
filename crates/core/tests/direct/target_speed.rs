//! Targets of uneven speed, learned by the whole group.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fleet::Sim;
use crate::fleet::ms;
use crate::fleet::routing;
use crate::fleet::service_address;
use crate::fleet::store_snapshot;
use crate::fleet::target_id;
use crate::fleet::target_spec;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::answer_time_report::AnswerTimeReport;
use hawthornshift_core::direct::reports::answer_time_report::ReportKind;
use hawthornshift_core::direct::reports::answer_time_report::RouteAnswerTimes;
use hawthornshift_core::direct::reports::answer_time_report::TargetAnswerTimes;
use hawthornshift_core::direct::reports::load_report::LoadReport;
use hawthornshift_core::direct::reports::message::Frame;
use hawthornshift_core::direct::store::directory::Directory;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::Route;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::TargetSpec;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;
use hawthornshift_core::direct::targets::target_speed::CapacityShare;
use hawthornshift_core::direct::targets::target_speed::Recipients;
use hawthornshift_core::direct::targets::target_speed::TargetSpeeds;
use hawthornshift_core::direct::targets::target_speed::work_time;

/// The whole capacity of all targets for one instance.
const ALL: CapacityShare<'_> = CapacityShare { domain: None, instances: 1 };
/// Requests per second that a target of usual speed serves with its 2 slots.
const TARGET_RATE: f64 = 2.0 / 0.033;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the factor by which requests at a target take longer than usual: 0.7, 0.7, 1.7.
fn slowdown(index: usize) -> f64 {
    if index % 3 == 2 { 1.7 } else { 0.7 }
}

/// Returns a report that gives the true speeds of all targets.
fn truth(targets: usize) -> AnswerTimeReport {
    let entry = |index| {
        let seconds = 0.033 * slowdown(index) * 150.0;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some thousands")]
        let sum = (seconds * 10_000.0) as u32;
        TargetAnswerTimes { target: cookie(target_id(index)), count: 150, sum }
    };
    let routes = vec![RouteAnswerTimes { route: service_address(), targets: (0..targets).map(entry).collect() }];
    AnswerTimeReport { kind: ReportKind::Recent, routes }
}

/// Returns a simulation with targets of uneven speed at a fraction of their capacity.
fn uneven_sim(seed: u64, instances: usize, targets: usize, load: f64) -> Sim {
    let capacity: f64 = (0..targets).map(|index| TARGET_RATE / slowdown(index)).sum();
    let mut sim = Sim::new(seed, instances, targets, capacity * load);
    (0..targets).for_each(|index| sim.change_targets([index], |target| target.slowdown = slowdown(index)));
    sim
}

/// Who knows the speeds in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Knowledge {
    /// Nobody, as without the mechanism.
    None,
    /// Instances learn them.
    Learned,
    /// Sets the true speeds at each instance every second.
    Oracle,
}

/// Returns the fraction of requests answered in time and the mean latency, in milliseconds, at a fraction of the targets'
/// capacity.
fn run(load: f64, knowledge: Knowledge) -> (f64, f64) {
    let mut totals = (0.0, 0.0);
    for seed in 0..4 {
        let mut sim = uneven_sim(100 + seed, 9, 15, load);
        if knowledge == Knowledge::None {
            sim.mechanisms = Mechanisms::default().without(Mechanism::TargetSpeed);
        }
        for second in 1..16 {
            sim.run_until(secs(second));
            if knowledge == Knowledge::Oracle {
                sim.apply_answer_times(&truth(15));
            }
        }
        sim.assert_invariants();
        totals.0 += sim.answered_shares(secs(6), secs(14)).0 / 4.0;
        totals.1 += sim.mean_latency(secs(6), secs(14)).as_secs_f64() * 250.0;
    }
    totals
}

/// Guards against speeds that are learned too late or too roughly: targets take 0.7, 0.7 and 1.7 times the usual time,
/// and the result must be about that of instances that know it.
#[test]
fn learned_speeds_serve_as_well_as_known_ones() {
    for load in [0.25, 0.5, 0.75] {
        let (learned, known) = (run(load, Knowledge::Learned), run(load, Knowledge::Oracle));
        assert!(learned.0 > 0.97 * known.0 && learned.1 < 1.03 * known.1, "load {load}: {learned:?}, known {known:?}");
    }
}

/// Guards against instances that all prefer the fast targets: near the capacity their requests would wait there while slow
/// targets are idle, and more callers would be late than without the mechanism.
#[test]
fn known_speeds_do_not_crowd_fast_targets() {
    for load in [0.25, 0.75, 0.9] {
        let (with, without) = (run(load, Knowledge::Learned), run(load, Knowledge::None));
        assert!(with.0 > without.0 && with.1 < without.1, "load {load}: {with:?}, without {without:?}");
    }
}

/// A directory with `targets` targets, and the speeds that an instance has learned.
struct Learner {
    directory: Directory,
    speeds: TargetSpeeds,
    rng: SmallRng,
    now: Duration,
}

impl Learner {
    fn new(targets: usize) -> Self {
        let mut directory = Directory::default();
        directory.apply(Duration::ZERO, &store_snapshot(targets));
        Self { directory, speeds: TargetSpeeds::default(), rng: SmallRng::seed_from_u64(7), now: secs(1) }
    }

    /// Adds `rounds` answers of each target, 100 ms apart, whose times are drawn from an exponential distribution.
    fn learn(&mut self, targets: usize, rounds: usize, seconds: impl Fn(usize) -> f64) {
        for _ in 0..rounds {
            self.now += ms(100);
            for index in 0..targets {
                let drawn = -self.rng.random_range(f64::EPSILON..1.0).ln() * seconds(index);
                let target = self.directory.target(target_id(index)).unwrap();
                self.speeds.sample(self.now, service_address(), target, Duration::from_secs_f64(drawn));
            }
            self.speeds.update(self.now, &self.directory, ALL);
        }
    }

    fn factor(&self, index: usize) -> f64 {
        self.speeds.factor(target_id(index))
    }
}

/// Guards against chance taken for speed: the work of targets varies widely, and all have the same speed.
#[test]
fn widely_varying_work_is_not_taken_for_speed() {
    let mut learner = Learner::new(40);
    for _ in 0..400 {
        learner.learn(40, 5, |_| 0.033);
        assert_eq!(learner.speeds.active_count(), 0, "at {:?}", learner.now);
    }
}

/// Guards against a target that seems slow because it gets more requests of a route whose requests take long.
#[test]
fn a_target_with_more_long_requests_does_not_look_slow() {
    let mut learner = Learner::new(15);
    let mut routing = routing();
    let long_route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);
    routing.version = 2;
    routing.routes.push(Route { address: long_route, ..routing.routes[0].clone() });
    let entries = vec![VersionedEntry { revision: 20, entry: StoreEntry::Routing(routing) }];
    learner.directory.apply(learner.now, &Delta { since: 11, revision: 20, is_snapshot: false, entries });
    for round in 0..300 {
        learner.now += ms(100);
        for index in 0..15 {
            // Every third target gets four long requests of five, the others one.
            let long = round % 5 < if index % 3 == 2 { 4 } else { 1 };
            let (route, work) = if long { (long_route, ms(160)) } else { (service_address(), ms(40)) };
            let target = learner.directory.target(target_id(index)).unwrap();
            learner.speeds.sample(learner.now, route, target, work);
        }
        learner.speeds.update(learner.now, &learner.directory, ALL);
    }
    let ratio = |index| learner.speeds.estimate(learner.now, target_id(index)).unwrap().ratio;
    assert!((ratio(2) - 1.0).abs() < 0.05 && (ratio(0) - 1.0).abs() < 0.05, "{} {}", ratio(2), ratio(0));
}

/// Guards against an instance of an earlier version that misreads messages which it knows: the new one must come last.
#[test]
fn the_encoding_of_earlier_messages_is_unchanged() {
    let encoded = |frame: Frame| postcard::to_stdvec(&frame).unwrap();
    assert_eq!(encoded(Frame::LoadReport(LoadReport::default()))[0], 1);
    let kind = ReportKind::Request { sender: 7, attempt: 0 };
    assert_eq!(encoded(Frame::AnswerTimes(AnswerTimeReport { kind, routes: Vec::new() })), [2, 2, 7, 0, 0]);
}

/// Guards against estimates that are forgotten in a quiet hour, and against ones that stay forever without samples.
#[test]
fn estimates_hold_for_a_quiet_hour_and_return_to_one_later() {
    let mut learner = Learner::new(15);
    learner.learn(15, 100, |index| 0.033 * slowdown(index));
    let mut factor_after = |wait| {
        learner.now += wait;
        learner.speeds.update(learner.now, &learner.directory, ALL);
        learner.factor(2)
    };
    let (at_once, after_an_hour) = (factor_after(secs(1)), factor_after(secs(3_600)));
    assert!(at_once > 1.4 && (at_once - after_an_hour).abs() < 0.01, "{at_once}, {after_an_hour} after an hour");
    let two_hours_later = factor_after(secs(7_200 - 60));
    assert!((two_hours_later - 1.0).abs() < 0.05, "{two_hours_later}");
}

/// Guards against a restarted target that is still treated as its former self.
#[test]
fn a_restarted_target_counts_as_usual() {
    let mut learner = Learner::new(15);
    learner.learn(15, 100, |index| 0.033 * slowdown(index));
    assert!(learner.factor(2) > 1.4);
    let spec = TargetSpec { started_at_ms: 5, ..target_spec(2, Duration::ZERO) };
    let entries = vec![VersionedEntry { revision: 20, entry: StoreEntry::Target(target_id(2), Some(spec)) }];
    learner.directory.apply(learner.now, &Delta { since: 11, revision: 20, is_snapshot: false, entries });
    learner.speeds.retain(&learner.directory);
    assert!((learner.factor(2) - 1.0).abs() < f64::EPSILON, "{}", learner.factor(2));
}

/// Guards against a queue that is taken for slowness: a fast target that is full must look as fast as an empty one.
#[test]
fn waiting_at_a_full_target_is_not_counted_as_work() {
    let empty = work_time(ms(40), ms(7), 1, 2);
    assert_eq!(empty, ms(33));
    // With two requests beyond its two slots, one full request time passes before the request starts.
    assert_eq!(work_time(ms(73), ms(7), 4, 2), empty);
}

/// Guards against reports that grow with the traffic: an instance with 17 peers that sees answers of 40 targets may send
/// some hundred bytes a second.
#[test]
fn reports_take_some_hundred_bytes_a_second() {
    let mut learner = Learner::new(40);
    let (mut bytes, mut peer) = (0, Learner::new(40));
    let group = Recipients { me: 1, peers: 17 };
    for _ in 0..600 {
        learner.learn(40, 1, |index| 0.033 * slowdown(index));
        if let Some(report) = learner.speeds.take_report(learner.now, &learner.directory, group) {
            bytes += postcard::to_stdvec(&Frame::AnswerTimes(report.clone())).unwrap().len() * 17;
            peer.speeds.apply(learner.now, &peer.directory, &report);
        }
    }
    assert!(bytes < 60 * 600, "{bytes} bytes in 60 s");
    peer.speeds.update(learner.now, &peer.directory, ALL);
    assert!(peer.factor(2) > 1.4 && peer.factor(0) < 0.8, "{} {}", peer.factor(2), peer.factor(0));
}

/// Guards against decisions that change although all targets have the same speed.
#[test]
fn targets_of_one_speed_are_placed_on_as_before() {
    let latencies = |mechanisms| {
        let mut sim = Sim::new(11, 9, 14, 425.0);
        sim.mechanisms = mechanisms;
        sim.run_until(secs(8));
        sim.requests.iter().map(|request| (request.sent_at, request.answered_at)).collect::<Vec<_>>()
    };
    assert!(latencies(Mechanisms::default()) == latencies(Mechanisms::default().without(Mechanism::TargetSpeed)));
}

/// Guards against an instance that has to learn everything again after its restart.
#[test]
fn a_restarted_instance_learns_from_a_summary() {
    let mut sim = uneven_sim(12, 9, 15, 0.6);
    sim.run_until(secs(10));
    sim.kill(4);
    sim.start_at(secs(10) + ms(400), 4);
    sim.run_until(secs(12));
    let estimate = |instance, index| {
        sim.dispatcher(instance)
            .target_speeds()
            .estimate(sim.now, target_id(index))
            .unwrap_or_else(|| panic!("{index}"))
    };
    for index in 0..15 {
        let (restarted, peer) = (estimate(4, index), estimate(0, index));
        assert!((restarted.factor - peer.factor).abs() < 0.25, "{index}: {restarted:?}, at a peer {peer:?}");
        assert!(restarted.samples > 0.8 * peer.samples.min(40.0), "{index}: {restarted:?}, at a peer {peer:?}");
    }
    sim.assert_invariants();
}
