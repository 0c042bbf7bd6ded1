//! What happens in the demo, and when.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::datagram_callers::DatagramCalls;
use super::report::Report;
use super::request_callers::RequestCalls;
use super::stream_callers::StreamCalls;
use super::tally::Tally;
use super::world::INSTANCES;
use super::world::World;
use super::world::WorldError;
use hawthornshift_model::DomainState;
use hawthornshift_standins::Target;

/// Datagram flows at once.
const FLOWS: u64 = 60;
/// Streams at once.
const STREAMS: u64 = 16;
/// Callers of each HTTP service.
const REQUESTERS: [(&str, u64); 2] = [("suscripciones", 12), ("guias", 4)];
/// Time for the instances to find each other and the targets to warm up before callers come.
const WARM_UP: Duration = Duration::from_secs(3);
/// The failure domain that is taken out.
const OUT_DOMAIN: &str = "sur";
/// Longest time that a change may take to be in force everywhere before the demo goes on without it.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(10);
/// Time that callers get to end what they have under way.
const WIND_DOWN: Duration = Duration::from_secs(20);

/// Runs the demo for about `length`.
pub(super) async fn play(length: Duration, seed: u64) -> Result<Report, WorldError> {
    let stop = CancellationToken::new();
    let mut world = World::build(stop.clone()).await?;
    progress("8 instances in 4 failure domains, 30 targets; callers come in 3 s");
    sleep(WARM_UP).await;
    let cast = Cast::enter(&world, seed, &stop);
    let mut stage = Stage { start: tokio::time::Instant::now(), length, slowest: Duration::ZERO, breaches: Vec::new() };
    stage.perform(&mut world, &cast).await?;
    stop.cancel();
    cast.leave().await;
    let mut breaches = stage.breaches;
    for instance in world.instances.values() {
        breaches.extend(instance.dump().breaches.iter().map(|breach| format!("{breach:?}")));
    }
    let targets: Vec<Target> = world.targets.values().flatten().cloned().collect();
    let report = Report::new(&cast.tally.lock(), &targets, stage.slowest, breaches, world.platform.reads());
    for instance in std::mem::take(&mut world.instances).into_values() {
        instance.kill().await;
    }
    Ok(report)
}

fn progress(text: &str) {
    eprintln!("demo: {text}");
}

/// The callers.
struct Cast {
    tally: Arc<Tally>,
    callers: tokio::sync::Mutex<JoinSet<()>>,
    out_targets: Arc<Mutex<BTreeSet<String>>>,
}

impl Cast {
    fn enter(world: &World, seed: u64, stop: &CancellationToken) -> Self {
        let tally = Arc::new(Tally::default());
        let out_targets: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let known = Arc::clone(&out_targets);
        let flows = DatagramCalls {
            fabric: Arc::clone(&world.fabric),
            tally: Arc::clone(&tally),
            service: "avisos",
            port: world.port("avisos"),
            was_out: Arc::new(move |target| known.lock().unwrap_or_else(PoisonError::into_inner).contains(target)),
            stop: stop.clone(),
        };
        let streams = DatagramCalls { service: "fotos", port: world.port("fotos"), ..flows.clone() };
        let mut callers = JoinSet::new();
        for number in 0..FLOWS {
            callers.spawn(flows.clone().run(seed * 1_000 + number));
        }
        for number in 0..STREAMS {
            callers.spawn(StreamCalls(streams.clone()).run(seed * 1_000 + 200 + number));
        }
        for (service, count) in REQUESTERS {
            for number in 0..count {
                let calls = RequestCalls {
                    fabric: Arc::clone(&world.fabric),
                    tally: Arc::clone(&tally),
                    service,
                    port: world.port(service),
                    stop: stop.clone(),
                };
                callers.spawn(calls.run(seed * 1_000 + 400 + number));
            }
        }
        Self { tally, callers: tokio::sync::Mutex::new(callers), out_targets }
    }

    /// Notes which targets lose their flows.
    fn note_out(&self, targets: &[Target]) {
        let mut out = self.out_targets.lock().unwrap_or_else(PoisonError::into_inner);
        out.extend(targets.iter().map(|target| target.name().to_owned()));
    }

    async fn leave(&self) {
        let mut callers = self.callers.lock().await;
        let all = async { while callers.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(WIND_DOWN, all).await;
    }
}

/// The changes, each at its part of the demo's length.
struct Stage {
    start: tokio::time::Instant,
    length: Duration,
    slowest: Duration,
    breaches: Vec<String>,
}

impl Stage {
    async fn at(&self, part: f64, text: &str) {
        sleep_until(self.start + self.length.mul_f64(part)).await;
        progress(&format!("{:>3.0} s: {text}", self.start.elapsed().as_secs_f64()));
    }

    async fn perform(&mut self, world: &mut World, cast: &Cast) -> Result<(), WorldError> {
        self.at(0.10, "instance 3 stops as planned").await;
        self.breaches.extend(world.stop_instance(3).await?);
        self.at(0.25, "instance 8 joins").await;
        world.start_instance(INSTANCES).await?;
        self.at(0.35, "a target of suscripciones leaves").await;
        self.leave_target(world).await?;
        self.at(0.50, "failure domain sur is taken out").await;
        cast.note_out(&world.targets_in(OUT_DOMAIN));
        world.set_domain(OUT_DOMAIN, DomainState::Out)?;
        self.converge(world).await;
        self.at(0.70, "failure domain sur is back, its targets cold").await;
        for target in world.targets_in(OUT_DOMAIN).iter().filter(|target| target.name().contains("s-")) {
            if target.address() == target.health() {
                target.chill();
            }
        }
        world.set_domain(OUT_DOMAIN, DomainState::InService)?;
        self.converge(world).await;
        self.at(0.85, "a new set is published").await;
        for service in &mut world.set.services {
            service.timeout_ms += 500;
        }
        world.publish()?;
        self.converge(world).await;
        self.at(1.0, "callers leave").await;
        Ok(())
    }

    async fn leave_target(&mut self, world: &mut World) -> Result<(), WorldError> {
        if let Some(target) = world.targets["suscripciones"].last() {
            target.leave();
        }
        let group = world.set.target_groups.iter_mut().find(|group| group.name == "suscripciones");
        if let Some(target) = group.and_then(|group| group.targets.last_mut()) {
            target.leaving = true;
        }
        world.publish()?;
        self.converge(world).await;
        Ok(())
    }

    /// Waits until the published set is in force everywhere, and notes how long that took.
    async fn converge(&mut self, world: &World) {
        let start = Instant::now();
        while !world.has_converged() && start.elapsed() < CONVERGENCE_LIMIT {
            sleep(Duration::from_millis(10)).await;
        }
        self.slowest = self.slowest.max(start.elapsed());
    }
}
