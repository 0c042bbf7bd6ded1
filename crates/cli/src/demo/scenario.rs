//! The demo's scenario: the sequence of changes and their times.

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

use super::cluster::Cluster;
use super::cluster::ClusterError;
use super::cluster::INSTANCES;
use super::counts::SharedCounts;
use super::datagram_callers::DatagramCaller;
use super::report::Report;
use super::request_callers::RequestCaller;
use super::stream_callers::StreamCaller;
use hawthornshift_model::DomainState;
use hawthornshift_standins::Target;

/// Number of concurrent datagram flows.
const DATAGRAM_FLOWS: u64 = 60;
/// Number of concurrent streams.
const STREAMS: u64 = 16;
/// HTTP services and the number of callers of each.
const REQUEST_CALLERS: [(&str, u64); 2] = [("suscripciones", 12), ("guias", 4)];
/// Delay before callers start, in which the instances discover each other and the targets warm up.
const WARM_UP_DELAY: Duration = Duration::from_secs(3);
/// Name of the failure domain that is taken out of service.
const OUT_DOMAIN: &str = "sur";
/// Maximum time to wait for a change to take effect on all instances; after that the demo continues.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(10);
/// Timeout for callers to finish flows and requests in progress.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the demo for about `length` plus warm-up and shutdown, and returns its report.
pub(super) async fn run(length: Duration, seed: u64) -> Result<Report, ClusterError> {
    let stop = CancellationToken::new();
    let mut cluster = Cluster::build(stop.clone()).await?;
    progress("8 instances in 4 failure domains, 30 targets; callers start in 3 s");
    sleep(WARM_UP_DELAY).await;
    let callers = Callers::spawn(&cluster, seed, &stop);
    let mut scenario = Scenario {
        start: tokio::time::Instant::now(),
        length,
        slowest_convergence: Duration::ZERO,
        breaches: Vec::new(),
    };
    scenario.run(&mut cluster, &callers).await?;
    stop.cancel();
    callers.join().await;
    let mut breaches = scenario.breaches;
    for instance in cluster.instances.values() {
        breaches.extend(instance.dump().breaches.iter().map(|breach| format!("{breach:?}")));
    }
    let targets: Vec<Target> = cluster.targets.values().flatten().cloned().collect();
    let report = Report::new(
        &callers.counts.lock(),
        &targets,
        scenario.slowest_convergence,
        breaches,
        cluster.platform.request_count(),
    );
    for instance in std::mem::take(&mut cluster.instances).into_values() {
        instance.kill().await;
    }
    Ok(report)
}

fn progress(text: &str) {
    eprintln!("demo: {text}");
}

/// The running callers and their shared counts.
struct Callers {
    counts: Arc<SharedCounts>,
    tasks: tokio::sync::Mutex<JoinSet<()>>,
    out_targets: Arc<Mutex<BTreeSet<String>>>,
}

impl Callers {
    fn spawn(cluster: &Cluster, seed: u64, stop: &CancellationToken) -> Self {
        let counts = Arc::new(SharedCounts::default());
        let out_targets: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let out_names = Arc::clone(&out_targets);
        let flows = DatagramCaller {
            fabric: Arc::clone(&cluster.fabric),
            counts: Arc::clone(&counts),
            service: "avisos",
            port: cluster.port("avisos"),
            was_taken_out: Arc::new(move |target| {
                out_names.lock().unwrap_or_else(PoisonError::into_inner).contains(target)
            }),
            stop: stop.clone(),
        };
        let streams = DatagramCaller { service: "fotos", port: cluster.port("fotos"), ..flows.clone() };
        let mut tasks = JoinSet::new();
        for number in 0..DATAGRAM_FLOWS {
            tasks.spawn(flows.clone().run(seed * 1_000 + number));
        }
        for number in 0..STREAMS {
            tasks.spawn(StreamCaller(streams.clone()).run(seed * 1_000 + 200 + number));
        }
        for (service, count) in REQUEST_CALLERS {
            for number in 0..count {
                let caller = RequestCaller {
                    fabric: Arc::clone(&cluster.fabric),
                    counts: Arc::clone(&counts),
                    service,
                    port: cluster.port(service),
                    stop: stop.clone(),
                };
                tasks.spawn(caller.run(seed * 1_000 + 400 + number));
            }
        }
        Self { counts, tasks: tokio::sync::Mutex::new(tasks), out_targets }
    }

    /// Records the targets whose failure domain is taken out, so that the loss of their flows is expected.
    fn record_out_targets(&self, targets: &[Target]) {
        let mut out = self.out_targets.lock().unwrap_or_else(PoisonError::into_inner);
        out.extend(targets.iter().map(|target| target.name().to_owned()));
    }

    async fn join(&self) {
        let mut tasks = self.tasks.lock().await;
        let all_finished = async { while tasks.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, all_finished).await;
    }
}

/// Applies the changes, each at a fixed fraction of the demo's length.
struct Scenario {
    start: tokio::time::Instant,
    length: Duration,
    slowest_convergence: Duration,
    breaches: Vec<String>,
}

impl Scenario {
    async fn begin_step(&self, fraction: f64, text: &str) {
        sleep_until(self.start + self.length.mul_f64(fraction)).await;
        progress(&format!("{:>3.0} s: {text}", self.start.elapsed().as_secs_f64()));
    }

    async fn run(&mut self, cluster: &mut Cluster, callers: &Callers) -> Result<(), ClusterError> {
        self.begin_step(0.10, "instance 3 shuts down gracefully").await;
        self.breaches.extend(cluster.stop_instance(3).await?);
        self.begin_step(0.25, "instance 8 joins").await;
        cluster.start_instance(INSTANCES).await?;
        self.begin_step(0.35, "a target of suscripciones drains").await;
        self.drain_target(cluster).await?;
        self.begin_step(0.50, "failure domain sur is taken out of service").await;
        callers.record_out_targets(&cluster.targets_in(OUT_DOMAIN));
        cluster.set_domain_state(OUT_DOMAIN, DomainState::Out)?;
        self.wait_for_convergence(cluster).await;
        self.begin_step(0.70, "failure domain sur is back in service with cold targets").await;
        for target in cluster.targets_in(OUT_DOMAIN).iter().filter(|target| target.name().contains("s-")) {
            if target.address() == target.health() {
                target.make_cold();
            }
        }
        cluster.set_domain_state(OUT_DOMAIN, DomainState::InService)?;
        self.wait_for_convergence(cluster).await;
        self.begin_step(0.85, "a new set is published").await;
        for service in &mut cluster.set.services {
            service.timeout_ms += 500;
        }
        cluster.publish()?;
        self.wait_for_convergence(cluster).await;
        self.begin_step(1.0, "callers stop").await;
        Ok(())
    }

    async fn drain_target(&mut self, cluster: &mut Cluster) -> Result<(), ClusterError> {
        if let Some(target) = cluster.targets["suscripciones"].last() {
            target.start_leaving();
        }
        let group = cluster.set.target_groups.iter_mut().find(|group| group.name == "suscripciones");
        if let Some(target) = group.and_then(|group| group.targets.last_mut()) {
            target.leaving = true;
        }
        cluster.publish()?;
        self.wait_for_convergence(cluster).await;
        Ok(())
    }

    /// Waits until all instances have applied the published set, and records the longest time that this took.
    async fn wait_for_convergence(&mut self, cluster: &Cluster) {
        let start = Instant::now();
        while !cluster.has_converged() && start.elapsed() < CONVERGENCE_LIMIT {
            sleep(Duration::from_millis(10)).await;
        }
        self.slowest_convergence = self.slowest_convergence.max(start.elapsed());
    }
}
