//! One run: the system, its load, its faults, its verdict.

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
use crate::ledger::Ledger;
use crate::ledger::Promise;
use crate::plan;
use crate::plan::Fault;
use crate::plan::Sizes;
use crate::plan::TAIL;
use crate::proxy::Line;
use crate::proxy::Proxy;
use crate::rig::Instance;
use crate::rig::Ports;
use crate::target::HEARTBEAT;
use crate::target::Target;
use hawthornshift_standins::Store;
use hawthornshift_standins::store::Mood;

/// Failure domains of a run.
const DOMAINS: usize = 3;
/// Services with their routes' ports and the share of the targets.
const SERVICES: [(&str, u16); 2] = [("orders", 443), ("guides", 8_443)];
/// A route that comes and goes.
const EXTRA_PORT: u16 = 9_443;
/// Address that callers send to.
const FRONT: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
/// How long a target that has come back is cold.
const COLD: Duration = Duration::from_secs(2);
/// Time after a kill until an instance starts again.
const RESTART: Duration = Duration::from_millis(300);
/// Of a thousand packets, those that are lost in bad weather, those that are doubled, and those that are held back.
const BAD_WEATHER: u32 = 40;
/// Time that an instance has for a planned stop.
const GRACE: Duration = Duration::from_secs(3);
/// Time after which a silent target's entry lapses.
const LAPSE: Duration = Duration::from_secs(3);

/// What a run is asked for.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Number of instances.
    pub instances: usize,
    /// Number of targets.
    pub targets: usize,
    /// Requests a second.
    pub rate: f64,
    /// The program of an instance.
    pub binary: PathBuf,
    /// Where logs and settings go.
    pub directory: PathBuf,
    /// A promise that a stand-in breaks, to show that its check can fail.
    pub sabotage: Option<Promise>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Broken promises.
    pub breaches: Vec<Breach>,
    /// What happened when.
    pub timeline: Vec<(Duration, String)>,
    /// Requests asked, answered, failed.
    pub totals: (u64, u64, u64),
}

struct World {
    options: Options,
    ledger: Arc<Ledger>,
    store: Store,
    proxies: Vec<Proxy>,
    instances: Vec<Mutex<Instance>>,
    targets: Vec<Target>,
    callers: Arc<Callers>,
    version: Mutex<(u64, bool)>,
}

/// Runs once.
///
/// # Errors
///
/// Fails when the system cannot be put together; broken promises are in the verdict.
pub async fn run(options: Options) -> io::Result<Verdict> {
    std::fs::create_dir_all(&options.directory)?;
    let stop = CancellationToken::new();
    let _stopped_at_the_end = stop.clone().drop_guard();
    let world = Arc::new(World::build(options.clone(), &stop).await?);
    world.configure().await;
    for instance in &world.instances {
        instance.lock().await.start(&options.binary)?;
    }
    let beats = tokio::spawn(Arc::clone(&world).heartbeats());
    let load = tokio::spawn(Arc::clone(&world).load());
    world.play().await;
    load.abort();
    beats.abort();
    world.verdict().await
}

fn free_ports() -> io::Result<Ports> {
    let taken: Vec<TcpListener> =
        (0..5).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect::<io::Result<_>>()?;
    let port = |index: usize| taken[index].local_addr().map(|address| address.port());
    Ok(Ports { packets: port(0)?, ready: port(1)?, control: port(2)?, peers: port(3)?, metrics: port(4)? })
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

/// Returns the second byte of a run's addresses, so that runs of several processes do not meet.
fn network() -> u8 {
    u8::try_from(16 + std::process::id() % 200).unwrap_or(16)
}

fn instance_ip(index: usize) -> Ipv4Addr {
    let [high, low] = u16::try_from(index + 1).unwrap_or(u16::MAX).to_be_bytes();
    Ipv4Addr::new(127, network(), high, low)
}

impl World {
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
            let named = (name.0, name.1, name.2.as_str());
            targets.push(
                Target::start(named, address, ports.packets, (Arc::clone(&ledger), options.sabotage), stop.clone())
                    .await?,
            );
        }
        let addresses = instances.iter().map(Instance::addresses).collect();
        let from = SocketAddrV4::new(Ipv4Addr::new(127, network(), u8::MAX, 1), ports.packets);
        let callers = Callers::start(from, addresses, Arc::clone(&ledger), stop.clone()).await?;
        let instances = instances.into_iter().map(Mutex::new).collect();
        let version = Mutex::new((0, false));
        Ok(Self { options, ledger, store, proxies, instances, targets, callers, version })
    }

    /// Publishes a new version of the configuration.
    async fn configure(&self) {
        let mut version = self.version.lock().await;
        version.0 += 3;
        let route = |name: &str, port: u16, service: &str| {
            json!({
                "name": name, "hostname": FRONT.to_string(), "prefix": format!("/{port}/"), "type": "unsafe",
                "timeout-ms": 2_000, "target-latency-ms": 200, "priority": 1, "service": service, "attempts": 1,
            })
        };
        let mut routes: Vec<_> = SERVICES.iter().map(|(service, port)| route(service, *port, service)).collect();
        let kept_against_all_word = self.options.sabotage == Some(Promise::DroppedRoute);
        self.ledger.set_route(EXTRA_PORT, version.1 && !kept_against_all_word);
        if version.1 || kept_against_all_word {
            routes.push(route("extra", EXTRA_PORT, SERVICES[0].0));
        }
        let services = SERVICES.map(|(name, _)| json!({ "name": name, "warmup-s": 2.0, "warmup-per-s": 0.0 }));
        let limits = json!({ "idle-timeout-ms": 15_000 });
        let whole = json!({ "version": version.0, "routes": routes, "services": services, "limits": limits });
        self.store.put("op/config", &whole);
        drop(version);
        self.targets.iter().for_each(|target| target.register(&self.store));
    }

    async fn heartbeats(self: Arc<Self>) {
        loop {
            tokio::time::sleep(HEARTBEAT).await;
            self.targets.iter().for_each(|target| target.register(&self.store));
        }
    }

    async fn load(self: Arc<Self>) {
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
            let mut named = service;
            if self.options.sabotage == Some(Promise::RightService) {
                named = "another";
            }
            let route = SocketAddrV4::new(FRONT, port);
            requests.spawn(Arc::clone(&self.callers).request(route, named.to_owned()));
            while requests.try_join_next().is_some() {}
        }
    }

    async fn play(self: &Arc<Self>) {
        self.sabotage_from_the_start();
        let sizes = Sizes { instances: self.instances.len(), targets: self.targets.len(), domains: DOMAINS };
        let start = Instant::now();
        let mut acts = JoinSet::new();
        let mut last = Duration::ZERO;
        for (at, fault) in plan::draw(self.options.seed, self.options.length, sizes) {
            tokio::time::sleep_until(start + at).await;
            self.ledger.event(format!("{fault:?}"));
            acts.spawn(Arc::clone(self).act(fault));
            last = at;
        }
        tokio::time::sleep_until(start + last + TAIL).await;
        while acts.join_next().await.is_some() {}
        self.sabotage();
    }

    /// Lets a stand-in expect what nobody has told the instances, or change what they never change.
    fn sabotage_from_the_start(&self) {
        match self.options.sabotage {
            Some(Promise::Drain) => self.targets.iter().for_each(|target| target.drain(true)),
            Some(Promise::Evacuation) => self.targets.iter().for_each(|target| target.evacuate(true)),
            Some(Promise::Genuine) => self.callers.weather.changed.store(BAD_WEATHER, Ordering::Relaxed),
            _ => {}
        }
    }

    /// Breaks a promise from within a stand-in.
    fn sabotage(&self) {
        match self.options.sabotage {
            Some(Promise::RunOnce) => (0..2).for_each(|_| self.ledger.ran(u64::MAX, false)),
            Some(Promise::NoForeignReset) => {
                let flow = (SocketAddrV4::new(FRONT, 1), SocketAddrV4::new(FRONT, 2));
                self.ledger.set_open(flow, true);
                self.ledger.caller_reset(flow);
            }
            Some(Promise::Cold) => self.ledger.check_cold("sabotaged", &[std::time::Instant::now(); 6]),
            _ => {}
        }
    }

    async fn act(self: Arc<Self>, fault: Fault) {
        match fault {
            Fault::Terminate(index) => {
                self.instances[index].lock().await.signal("TERM");
                tokio::time::sleep(GRACE).await;
                self.restart(index).await;
            }
            Fault::Kill(index) => self.restart(index).await,
            Fault::KillAll => {
                for instance in &self.instances {
                    instance.lock().await.kill();
                }
                tokio::time::sleep(RESTART).await;
                for index in 0..self.instances.len() {
                    self.start(index).await;
                }
            }
            Fault::Pause(index, span) => {
                self.instances[index].lock().await.signal("STOP");
                tokio::time::sleep(span).await;
                self.instances[index].lock().await.signal("CONT");
            }
            Fault::Reload(index) => {
                let mut instance = self.instances[index].lock().await;
                let path = instance.settings_path();
                // The same text again: what counts is that the file has changed.
                if let Ok(text) = std::fs::read(&path) {
                    let _ = std::fs::write(&path, text);
                }
                instance.signal("HUP");
            }
            Fault::StoreLine(index, line, span) => {
                self.proxies[index].set(line);
                tokio::time::sleep(span).await;
                self.proxies[index].set(Line::Through);
            }
            Fault::StoreSilent(span) => self.mood(Mood::Silent, span).await,
            Fault::StoreRefuses(status, span) => self.mood(Mood::Refusing(status), span).await,
            Fault::StoreForgets => self.store.compact(),
            Fault::Routes => {
                let extra = &mut self.version.lock().await.1;
                *extra = !*extra;
            }
            Fault::Weather(span) => {
                self.callers.weather.set(BAD_WEATHER);
                tokio::time::sleep(span).await;
                self.callers.weather.set(0);
            }
            Fault::TargetDies(..)
            | Fault::TargetDrains(..)
            | Fault::TargetSlow(..)
            | Fault::EntryBroken(_)
            | Fault::Evacuate(..) => self.act_on_targets(fault).await,
        }
        if fault == Fault::Routes {
            self.configure().await;
        }
    }

    async fn act_on_targets(&self, fault: Fault) {
        match fault {
            Fault::TargetDies(index, span) => {
                let target = &self.targets[index];
                target.die();
                tokio::time::sleep(LAPSE.min(span + HEARTBEAT)).await;
                self.store.remove(&target.key());
                tokio::time::sleep(span).await;
                target.restart(COLD);
                target.register(&self.store);
            }
            Fault::TargetDrains(index, span) => {
                self.targets[index].drain(true);
                self.targets[index].register(&self.store);
                tokio::time::sleep(span).await;
                self.targets[index].drain(false);
                self.targets[index].register(&self.store);
            }
            Fault::TargetSlow(index, span) => {
                self.targets[index].slow(6);
                tokio::time::sleep(span).await;
                self.targets[index].slow(1);
            }
            Fault::EntryBroken(index) => {
                self.store.put_bytes(&self.targets[index].key(), b"{\"service\":7}");
            }
            Fault::Evacuate(index, span) => {
                let key = format!("op/evacuate/{}", domain(index));
                let inside = || self.targets.iter().filter(|target| target.domain == domain(index));
                self.store.put(&key, &json!({}));
                inside().for_each(|target| target.evacuate(true));
                tokio::time::sleep(span).await;
                inside().for_each(|target| target.evacuate(false));
                self.store.remove(&key);
            }
            _ => {}
        }
    }

    async fn mood(&self, mood: Mood, span: Duration) {
        self.store.set_mood(mood);
        tokio::time::sleep(span).await;
        self.store.set_mood(Mood::Well);
    }

    async fn restart(&self, index: usize) {
        self.instances[index].lock().await.kill();
        tokio::time::sleep(RESTART).await;
        self.start(index).await;
    }

    async fn start(&self, index: usize) {
        let mut instance = self.instances[index].lock().await;
        if let Err(error) = instance.start(&self.options.binary) {
            self.ledger.event(format!("{} cannot be started: {error}", instance.name));
        }
    }

    async fn verdict(&self) -> io::Result<Verdict> {
        let end = self.ledger.elapsed().as_secs();
        // The last two whole seconds, well after the last kill.
        let recovered = self.ledger.answered_between(end.saturating_sub(3), end);
        if recovered == 0 || self.options.sabotage == Some(Promise::Recovery) {
            self.ledger.breach(Promise::Recovery, "nobody was answered in the last seconds");
        }
        for instance in &self.instances {
            let mut instance = instance.lock().await;
            if let Some(status) = instance.ended() {
                let what = format!("{} ended by itself: {status}", instance.name);
                self.ledger.breach(Promise::Recovery, what);
            }
        }
        Ok(Verdict { breaches: self.ledger.breaches(), timeline: self.ledger.timeline(), totals: self.ledger.totals() })
    }
}

/// Returns where a run keeps its logs.
#[must_use]
pub fn directory(base: &Path, seed: u64) -> PathBuf {
    base.join(format!("soak-{}-{seed}", std::process::id()))
}
