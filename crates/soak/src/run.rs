//! One run: starts the system, sends load, injects faults and collects the verdict.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::caller::Callers;
use crate::ledger::Breach;
use crate::ledger::Invariant;
use crate::ledger::Ledger;
use crate::plan;
use crate::plan::Fault;
use crate::plan::RECOVERY_TIME;
use crate::plan::SystemSize;
use crate::proxy::Proxy;
use crate::proxy::ProxyMode;
use crate::rig::Instance;
use crate::rig::Ports;
use crate::target::HEARTBEAT;
use crate::target::Target;
use hawthornshift_standins::Store;
use hawthornshift_standins::store::ResponseMode;

/// Number of failure domains.
const DOMAINS: usize = 3;
/// Services and the ports of their routes; one in four targets and requests belongs to the second one.
const SERVICES: [(&str, u16); 2] = [("orders", 443), ("guides", 8_443)];
/// Port of the route that `Fault::Routes` adds and removes.
const EXTRA_PORT: u16 = 9_443;
/// IP address of all routes, which callers send to.
const ROUTE_IP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
/// Time for which a restarted target is cold.
const COLD_TIME: Duration = Duration::from_secs(2);
/// Time from the kill of an instance to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Rate of each network impairment (loss, duplication, delay) while it is injected, in packets per thousand.
const IMPAIRED_PER_MILLE: u32 = 40;
/// Time that an instance has for a graceful stop, before it is killed.
const STOP_GRACE: Duration = Duration::from_secs(3);
/// Longest time from the crash of a target to the removal of its store entry.
const ENTRY_EXPIRY: Duration = Duration::from_secs(3);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed that the faults are generated from.
    pub seed: u64,
    /// Length of the run; it takes longer if a fault is still active at its end.
    pub length: Duration,
    /// Number of instances.
    pub instances: usize,
    /// Number of targets.
    pub targets: usize,
    /// Requests per second.
    pub rate: f64,
    /// Path of the instance executable.
    pub binary: PathBuf,
    /// Directory for logs and settings.
    pub directory: PathBuf,
    /// Invariant that a simulated caller or target violates, to prove that its check can fail.
    pub sabotage: Option<Invariant>,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Violated invariants; empty if the run passed.
    pub breaches: Vec<Breach>,
    /// Injected faults and other events, each with its time since the start of the run.
    pub timeline: Vec<(Duration, String)>,
    /// Numbers of requests started, answered and failed.
    pub totals: (u64, u64, u64),
}

/// The instances, their store, the simulated targets and callers, and the ledger of a run.
struct System {
    options: Options,
    ledger: Arc<Ledger>,
    store: Store,
    proxies: Vec<Proxy>,
    instances: Vec<Mutex<Instance>>,
    targets: Vec<Target>,
    callers: Arc<Callers>,
    /// Version of the configuration, and whether it has the extra route.
    version: Mutex<(u64, bool)>,
}

/// Carries out one run.
///
/// # Errors
///
/// Returns the error if a directory, socket, file or process cannot be created; violated invariants are in the verdict.
pub async fn run(options: Options) -> io::Result<Verdict> {
    std::fs::create_dir_all(&options.directory)?;
    let stop = CancellationToken::new();
    let _stopped_at_the_end = stop.clone().drop_guard();
    let system = Arc::new(System::build(options.clone(), &stop).await?);
    system.publish_configuration().await;
    for instance in &system.instances {
        instance.lock().await.start(&options.binary)?;
    }
    let heartbeat_task = tokio::spawn(Arc::clone(&system).send_heartbeats());
    let load_task = tokio::spawn(Arc::clone(&system).send_requests());
    system.run_faults().await;
    load_task.abort();
    heartbeat_task.abort();
    system.collect_verdict().await
}

/// Returns ports that were free when they were bound together a moment ago.
fn free_ports() -> io::Result<Ports> {
    let taken: Vec<TcpListener> =
        (0..5).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect::<io::Result<_>>()?;
    let port = |index: usize| taken[index].local_addr().map(|address| address.port());
    Ok(Ports { packets: port(0)?, ready: port(1)?, control: port(2)?, peers: port(3)?, metrics: port(4)? })
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

/// Returns the second byte of a run's loopback addresses, from the process id, so that concurrent runs rarely share one.
fn subnet() -> u8 {
    u8::try_from(16 + std::process::id() % 200).unwrap_or(16)
}

fn instance_ip(index: usize) -> Ipv4Addr {
    let [high, low] = u16::try_from(index + 1).unwrap_or(u16::MAX).to_be_bytes();
    Ipv4Addr::new(127, subnet(), high, low)
}

impl System {
    async fn build(options: Options, stop: &CancellationToken) -> io::Result<Self> {
        let ledger = Arc::new(Ledger::default());
        let store = Store::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), stop.clone()).await?;
        let ports = free_ports()?;
        let seeds: Vec<Ipv4Addr> = (0..options.instances.min(3)).map(instance_ip).collect();
        let (mut proxies, mut instances) = (Vec::new(), Vec::new());
        for index in 0..options.instances {
            let proxy = Proxy::start(store.address(), stop.clone()).await?;
            let names = (index, domain(index));
            let instance = Instance::new(
                (names.0, &names.1),
                instance_ip(index),
                ports,
                (proxy.address(), &seeds),
                &options.directory,
            )?;
            proxies.push(proxy);
            instances.push(instance);
        }
        let mut targets = Vec::new();
        for index in 0..options.targets {
            let service = SERVICES[usize::from(index % 4 == 3)].0;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let name = (0x1000 + index as u64, service, domain(index));
            let identity = (name.0, name.1, name.2.as_str());
            targets.push(
                Target::start(identity, address, ports.packets, (Arc::clone(&ledger), options.sabotage), stop.clone())
                    .await?,
            );
        }
        let addresses = instances.iter().map(Instance::addresses).collect();
        let from = SocketAddrV4::new(Ipv4Addr::new(127, subnet(), u8::MAX, 1), ports.packets);
        let callers = Callers::start(from, addresses, Arc::clone(&ledger), stop.clone()).await?;
        let instances = instances.into_iter().map(Mutex::new).collect();
        let version = Mutex::new((0, false));
        Ok(Self { options, ledger, store, proxies, instances, targets, callers, version })
    }

    /// Publishes a new version of the configuration.
    async fn publish_configuration(&self) {
        let mut version = self.version.lock().await;
        version.0 += 3;
        let route = |name: &str, port: u16, service: &str| {
            json!({
                "name": name, "hostname": ROUTE_IP.to_string(), "prefix": format!("/{port}/"), "type": "unsafe",
                "timeout-ms": 2_000, "target-latency-ms": 200, "priority": 1, "service": service, "attempts": 1,
            })
        };
        let mut routes: Vec<_> = SERVICES.iter().map(|(service, port)| route(service, *port, service)).collect();
        let ignores_removal = self.options.sabotage == Some(Invariant::DroppedRoute);
        self.ledger.set_route(EXTRA_PORT, version.1 && !ignores_removal);
        if version.1 || ignores_removal {
            routes.push(route("extra", EXTRA_PORT, SERVICES[0].0));
        }
        let services = SERVICES.map(|(name, _)| json!({ "name": name, "warmup-s": 2.0, "warmup-per-s": 0.0 }));
        let limits = json!({ "idle-timeout-ms": 15_000 });
        let whole = json!({ "version": version.0, "routes": routes, "services": services, "limits": limits });
        self.store.put("op/config", &whole);
        drop(version);
        self.targets.iter().for_each(|target| target.register(&self.store));
    }

    /// Writes the entries of all targets periodically.
    async fn send_heartbeats(self: Arc<Self>) {
        loop {
            tokio::time::sleep(HEARTBEAT).await;
            self.targets.iter().for_each(|target| target.register(&self.store));
        }
    }

    /// Sends requests at a constant rate, whether earlier ones have ended or not (open loop).
    async fn send_requests(self: Arc<Self>) {
        let gap = Duration::from_secs_f64(1.0 / self.options.rate);
        let mut requests = JoinSet::new();
        let mut next = Instant::now();
        for number in 0_usize.. {
            next += gap;
            tokio::time::sleep_until(next).await;
            let (service, mut port) = SERVICES[usize::from(number % 4 == 3)];
            if number % 12 == 4 {
                port = EXTRA_PORT;
            }
            let mut request_service = service;
            if self.options.sabotage == Some(Invariant::RightService) {
                request_service = "another";
            }
            let route = SocketAddrV4::new(ROUTE_IP, port);
            requests.spawn(Arc::clone(&self.callers).request(route, request_service.to_owned()));
            while requests.try_join_next().is_some() {}
        }
    }

    /// Injects the faults at their times and waits until they and the time for recovery are over.
    async fn run_faults(self: &Arc<Self>) {
        self.violate_from_start();
        let size = SystemSize { instances: self.instances.len(), targets: self.targets.len(), domains: DOMAINS };
        let start = Instant::now();
        let mut fault_tasks = JoinSet::new();
        let mut last = Duration::ZERO;
        for (at, fault) in plan::generate(self.options.seed, self.options.length, size) {
            tokio::time::sleep_until(start + at).await;
            self.ledger.record_event(format!("{fault:?}"));
            fault_tasks.spawn(Arc::clone(self).inject(fault));
            last = at;
        }
        tokio::time::sleep_until(start + last + RECOVERY_TIME).await;
        while fault_tasks.join_next().await.is_some() {}
        self.violate_at_end();
    }

    /// Violates an invariant from the start: targets check for a state that instances are not told of, or callers send
    /// corrupted packets.
    fn violate_from_start(&self) {
        match self.options.sabotage {
            Some(Invariant::Drain) => self.targets.iter().for_each(|target| target.set_draining(true)),
            Some(Invariant::Evacuation) => self.targets.iter().for_each(|target| target.set_evacuated(true)),
            Some(Invariant::Genuine) => self.callers.impairment.corrupted.store(IMPAIRED_PER_MILLE, Ordering::Relaxed),
            _ => {}
        }
    }

    /// Violates an invariant at the end of the run, by recording observations that did not happen.
    fn violate_at_end(&self) {
        match self.options.sabotage {
            Some(Invariant::RunOnce) => (0..2).for_each(|_| self.ledger.record_run(u64::MAX, false)),
            Some(Invariant::NoForeignReset) => {
                let flow = (SocketAddrV4::new(ROUTE_IP, 1), SocketAddrV4::new(ROUTE_IP, 2));
                self.ledger.set_flow_open(flow, true);
                self.ledger.record_caller_reset(flow);
            }
            Some(Invariant::Cold) => self.ledger.check_cold("sabotaged", &[std::time::Instant::now(); 6]),
            _ => {}
        }
    }

    /// Injects a fault and ends it after its time.
    async fn inject(self: Arc<Self>, fault: Fault) {
        match fault {
            Fault::Terminate(index) => {
                self.instances[index].lock().await.signal("TERM");
                tokio::time::sleep(STOP_GRACE).await;
                self.restart(index).await;
            }
            Fault::Kill(index) => self.restart(index).await,
            Fault::KillAll => {
                for instance in &self.instances {
                    instance.lock().await.kill();
                }
                tokio::time::sleep(RESTART_DELAY).await;
                for index in 0..self.instances.len() {
                    self.start(index).await;
                }
            }
            Fault::Pause(index, duration) => {
                self.instances[index].lock().await.signal("STOP");
                tokio::time::sleep(duration).await;
                self.instances[index].lock().await.signal("CONT");
            }
            Fault::Reload(index) => {
                let mut instance = self.instances[index].lock().await;
                let path = instance.settings_path();
                // The content stays the same; the instance has to handle the rewritten file.
                if let Ok(text) = std::fs::read(&path) {
                    let _ = std::fs::write(&path, text);
                }
                instance.signal("HUP");
            }
            Fault::StoreLine(index, mode, duration) => {
                self.proxies[index].set_mode(mode);
                tokio::time::sleep(duration).await;
                self.proxies[index].set_mode(ProxyMode::Through);
            }
            Fault::StoreSilent(duration) => self.hold_store_response_mode(ResponseMode::Silent, duration).await,
            Fault::StoreRefuses(status, duration) => {
                self.hold_store_response_mode(ResponseMode::Refusing(status), duration).await;
            }
            Fault::StoreForgets => self.store.compact(),
            Fault::Routes => {
                let extra = &mut self.version.lock().await.1;
                *extra = !*extra;
            }
            Fault::Weather(duration) => {
                self.callers.impairment.set_rates(IMPAIRED_PER_MILLE);
                tokio::time::sleep(duration).await;
                self.callers.impairment.set_rates(0);
            }
            Fault::TargetDies(..)
            | Fault::TargetDrains(..)
            | Fault::TargetSlow(..)
            | Fault::EntryBroken(_)
            | Fault::Evacuate(..) => self.inject_target_fault(fault).await,
        }
        if fault == Fault::Routes {
            self.publish_configuration().await;
        }
    }

    async fn inject_target_fault(&self, fault: Fault) {
        match fault {
            Fault::TargetDies(index, duration) => {
                let target = &self.targets[index];
                target.crash();
                tokio::time::sleep(ENTRY_EXPIRY.min(duration + HEARTBEAT)).await;
                self.store.remove(&target.key());
                tokio::time::sleep(duration).await;
                target.restart(COLD_TIME);
                target.register(&self.store);
            }
            Fault::TargetDrains(index, duration) => {
                self.targets[index].set_draining(true);
                self.targets[index].register(&self.store);
                tokio::time::sleep(duration).await;
                self.targets[index].set_draining(false);
                self.targets[index].register(&self.store);
            }
            Fault::TargetSlow(index, duration) => {
                self.targets[index].set_slowdown(6);
                tokio::time::sleep(duration).await;
                self.targets[index].set_slowdown(1);
            }
            Fault::EntryBroken(index) => {
                self.store.put_bytes(&self.targets[index].key(), b"{\"service\":7}");
            }
            Fault::Evacuate(index, duration) => {
                let key = format!("op/evacuate/{}", domain(index));
                let domain_targets = || self.targets.iter().filter(|target| target.domain == domain(index));
                self.store.put(&key, &json!({}));
                domain_targets().for_each(|target| target.set_evacuated(true));
                tokio::time::sleep(duration).await;
                domain_targets().for_each(|target| target.set_evacuated(false));
                self.store.remove(&key);
            }
            _ => {}
        }
    }

    /// Sets the behaviour of the store for a time.
    async fn hold_store_response_mode(&self, response_mode: ResponseMode, duration: Duration) {
        self.store.set_response_mode(response_mode);
        tokio::time::sleep(duration).await;
        self.store.set_response_mode(ResponseMode::Normal);
    }

    async fn restart(&self, index: usize) {
        self.instances[index].lock().await.kill();
        tokio::time::sleep(RESTART_DELAY).await;
        self.start(index).await;
    }

    async fn start(&self, index: usize) {
        let mut instance = self.instances[index].lock().await;
        if let Err(error) = instance.start(&self.options.binary) {
            self.ledger.record_event(format!("{} cannot be started: {error}", instance.name));
        }
    }

    async fn collect_verdict(&self) -> io::Result<Verdict> {
        let end = self.ledger.elapsed().as_secs();
        // The last three whole seconds, which begin after the last kill.
        let recovered = self.ledger.answered_between(end.saturating_sub(3), end);
        if recovered == 0 || self.options.sabotage == Some(Invariant::Recovery) {
            self.ledger.record_breach(Invariant::Recovery, "no request was answered in the last seconds of the run");
        }
        for instance in &self.instances {
            let mut instance = instance.lock().await;
            if let Some(status) = instance.exit_status() {
                let detail = format!("{} exited by itself: {status}", instance.name);
                self.ledger.record_breach(Invariant::Recovery, detail);
            }
        }
        Ok(Verdict { breaches: self.ledger.breaches(), timeline: self.ledger.timeline(), totals: self.ledger.totals() })
    }
}

/// Returns the directory of a run's logs and settings below `base`.
#[must_use]
pub fn directory(base: &Path, seed: u64) -> PathBuf {
    base.join(format!("soak-{}-{seed}", std::process::id()))
}
