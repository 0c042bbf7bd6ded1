//! The demo's cluster: a platform, targets, instances, and a fabric that delivers each packet to a random instance.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use thiserror::Error;
use tokio_util::sync::CancellationToken;

use hawthornshift_adapters::Config;
use hawthornshift_adapters::Instance;
use hawthornshift_adapters::config::Addresses;
use hawthornshift_adapters::instance::Serving;
use hawthornshift_adapters::instance::StartError;
use hawthornshift_adapters::logs;
use hawthornshift_core::event::InstanceList;
use hawthornshift_core::event::ListedInstance;
use hawthornshift_model::Class;
use hawthornshift_model::DomainState;
use hawthornshift_model::FailureDomain;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Protocol;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::Service;
use hawthornshift_model::Target as TargetObject;
use hawthornshift_model::TargetGroup;
use hawthornshift_standins::Platform;
use hawthornshift_standins::Target;
use hawthornshift_standins::TargetKind;

/// Names of the failure domains.
pub(super) const DOMAINS: [&str; 4] = ["norte", "sur", "este", "oeste"];
/// Number of instances at the start.
pub(super) const INSTANCES: InstanceId = 8;
/// Slots (concurrent requests) of each target.
const SLOTS_PER_TARGET: u32 = 2;
/// Maximum number of concurrent flows of each target.
const CONNECTIONS_PER_TARGET: u32 = 2_000;
/// Time that a warm target takes to serve a request.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Delay until the fabric stops sending packets to an instance that is shutting down.
const FABRIC_UPDATE_DELAY: Duration = Duration::from_millis(200);

/// Definition of a service: name, protocol, class, number of targets and slots needed at peak load.
pub(super) struct ServiceDefinition {
    pub(super) name: &'static str,
    protocol: Protocol,
    kind: TargetKind,
    class: Class,
    targets: usize,
    peak_slots: u32,
}

/// The services: two HTTP services of a bakery's storefront, one datagram and one stream service.
pub(super) const SERVICES: [ServiceDefinition; 4] = [
    ServiceDefinition {
        name: "suscripciones",
        protocol: Protocol::Http,
        kind: TargetKind::Http,
        class: Class::Critical,
        targets: 14,
        peak_slots: 6,
    },
    ServiceDefinition {
        name: "guias",
        protocol: Protocol::Http,
        kind: TargetKind::Http,
        class: Class::Normal,
        targets: 4,
        peak_slots: 2,
    },
    ServiceDefinition {
        name: "avisos",
        protocol: Protocol::Datagram,
        kind: TargetKind::Datagram,
        class: Class::Normal,
        targets: 8,
        peak_slots: 0,
    },
    ServiceDefinition {
        name: "fotos",
        protocol: Protocol::Stream,
        kind: TargetKind::Stream,
        class: Class::Bulk,
        targets: 4,
        peak_slots: 0,
    },
];

/// Error while building or changing the cluster.
#[derive(Debug, Error)]
pub(super) enum ClusterError {
    /// A socket could not be opened.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// An instance could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The demo's own set fails validation.
    #[error("the set is refused: {0}")]
    Set(#[from] hawthornshift_model::check::CheckError),
    /// A set or instance list cannot be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// The network in front of the instances; holds the instances that it sends packets to.
#[derive(Debug, Default)]
pub(super) struct Fabric {
    members: RwLock<Vec<IpAddr>>,
}

impl Fabric {
    /// Returns the address of a random instance for the next packet, connection or request.
    pub(super) fn pick(&self, rng: &mut impl Rng) -> IpAddr {
        let members = self.members.read().unwrap_or_else(PoisonError::into_inner);
        members[rng.random_range(0..members.len())]
    }

    fn add(&self, ip: IpAddr) {
        self.members.write().unwrap_or_else(PoisonError::into_inner).push(ip);
    }

    pub(super) fn remove(&self, ip: IpAddr) {
        self.members.write().unwrap_or_else(PoisonError::into_inner).retain(|member| *member != ip);
    }
}

/// All running components of the demo.
pub(super) struct Cluster {
    pub(super) platform: Platform,
    pub(super) fabric: Arc<Fabric>,
    pub(super) set: PublishedSet,
    pub(super) targets: BTreeMap<&'static str, Vec<Target>>,
    pub(super) instances: BTreeMap<InstanceId, Instance<Serving>>,
    list_version: u64,
    start: Instant,
}

/// Returns the loopback address of an instance.
pub(super) fn instance_ip(id: InstanceId) -> IpAddr {
    let last = u8::try_from(id).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, 9, 0, last))
}

fn target_ip(domain: usize) -> IpAddr {
    let domain = u8::try_from(domain).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, 9, 1, domain + 1))
}

fn domain_of_instance(id: InstanceId) -> &'static str {
    DOMAINS[usize::try_from(id).unwrap_or(0) % DOMAINS.len()]
}

impl Cluster {
    /// Starts the platform, targets and instances.
    pub(super) async fn build(stop: CancellationToken) -> Result<Self, ClusterError> {
        let platform = Platform::start((Ipv4Addr::LOCALHOST, 0).into(), stop).await?;
        let mut targets = BTreeMap::new();
        for definition in &SERVICES {
            targets.insert(definition.name, start_targets(definition).await?);
        }
        let mut set = PublishedSet {
            revision: 0,
            failure_domains: DOMAINS.map(build_domain).to_vec(),
            target_groups: Vec::new(),
            services: Vec::new(),
        };
        for definition in &SERVICES {
            set.target_groups.push(build_group(definition, &targets[definition.name]));
            set.services.push(build_service(definition)?);
        }
        let mut cluster = Self {
            platform,
            fabric: Arc::default(),
            set,
            targets,
            instances: BTreeMap::new(),
            list_version: 0,
            start: Instant::now(),
        };
        cluster.publish()?;
        for id in 0..INSTANCES {
            cluster.start_instance(id).await?;
        }
        Ok(cluster)
    }

    /// Publishes the set with the next revision, after the same validation that instances perform.
    pub(super) fn publish(&mut self) -> Result<(), ClusterError> {
        self.set.revision += 1;
        let text = serde_json::to_string(&self.set)?;
        hawthornshift_model::CheckedSet::from_json(text.as_bytes())?;
        self.platform.publish("set", self.set.revision, text);
        Ok(())
    }

    /// Starts an instance, and adds it to the platform's instance list and to the fabric.
    pub(super) async fn start_instance(&mut self, id: InstanceId) -> Result<(), ClusterError> {
        let ip = instance_ip(id);
        let any_port = SocketAddr::new(ip, 0);
        let addresses = Addresses { control: any_port, forward: any_port, admin: any_port };
        // The incarnation is the start time, here in microseconds so that it differs even after a quick restart.
        let incarnation = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX) + 1;
        let domain = domain_of_instance(id).to_owned();
        let config = Config::new(id, incarnation, domain, addresses, self.platform.address(), logs::discard_logger());
        let instance = Instance::new(config.listen(Some(ip))).start().await?;
        self.instances.insert(id, instance);
        self.list_instances()?;
        self.fabric.add(ip);
        Ok(())
    }

    /// Publishes the instance list with the next version.
    fn list_instances(&mut self) -> Result<(), ClusterError> {
        self.list_version += 1;
        let entry = |(id, instance): (&InstanceId, &Instance<Serving>)| ListedInstance {
            id: *id,
            failure_domain: domain_of_instance(*id).to_owned(),
            control: instance.control_address(),
            forward: instance.forward_address(),
            leaving: false,
        };
        let list = InstanceList { version: self.list_version, instances: self.instances.iter().map(entry).collect() };
        self.platform.publish("instances", self.list_version, serde_json::to_string(&list)?);
        Ok(())
    }

    /// Shuts an instance down gracefully and returns its invariant breaches. The fabric is updated after
    /// [`FABRIC_UPDATE_DELAY`], the platform's instance list after the shutdown.
    pub(super) async fn stop_instance(&mut self, id: InstanceId) -> Result<Vec<String>, ClusterError> {
        let Some(instance) = self.instances.remove(&id) else { return Ok(Vec::new()) };
        let stopping = tokio::spawn(instance.stop());
        tokio::time::sleep(FABRIC_UPDATE_DELAY).await;
        self.fabric.remove(instance_ip(id));
        let stopped = stopping.await.map_err(io::Error::other)?;
        self.list_instances()?;
        Ok(stopped.dump().breaches.iter().map(|breach| format!("{breach:?}")).collect())
    }

    /// Sets the state of a failure domain and publishes the set.
    pub(super) fn set_domain_state(&mut self, name: &str, state: DomainState) -> Result<(), ClusterError> {
        for domain in self.set.failure_domains.iter_mut().filter(|domain| domain.name == name) {
            domain.state = state;
        }
        self.publish()?;
        for target in self.targets_in(name) {
            target.set_domain_out(state == DomainState::Out);
        }
        Ok(())
    }

    /// Returns the targets in a failure domain.
    pub(super) fn targets_in(&self, domain: &str) -> Vec<Target> {
        let index = DOMAINS.iter().position(|name| *name == domain).unwrap_or(0);
        let ip = target_ip(index);
        self.targets.values().flatten().filter(|target| target.address().ip() == ip).cloned().collect()
    }

    /// Returns the port of a service, or 0 if it is unknown.
    pub(super) fn port(&self, service: &str) -> u16 {
        let service = self.set.services.iter().find(|object| object.name == service);
        service.map_or(0, |service| service.address.port())
    }

    /// Returns whether all instances have applied the published set.
    pub(super) fn has_converged(&self) -> bool {
        let is_current = |instance: &Instance<Serving>| instance.dump().configuration.revision >= self.set.revision;
        self.instances.values().all(is_current)
    }
}

async fn start_targets(definition: &ServiceDefinition) -> io::Result<Vec<Target>> {
    let mut targets = Vec::new();
    for number in 0..definition.targets {
        let name = format!("{}-{number}", definition.name);
        let ip = target_ip(number % DOMAINS.len());
        targets.push(Target::start(definition.kind, &name, definition.name, ip, SLOTS_PER_TARGET, SERVICE_TIME).await?);
    }
    Ok(targets)
}

fn build_domain(name: &str) -> FailureDomain {
    FailureDomain { name: name.to_owned(), region: "guadalajara".to_owned(), state: DomainState::InService }
}

fn build_group(definition: &ServiceDefinition, targets: &[Target]) -> TargetGroup {
    let object = |(number, target): (usize, &Target)| TargetObject {
        name: target.name().to_owned(),
        failure_domain: DOMAINS[number % DOMAINS.len()].to_owned(),
        address: target.address(),
        health: Some(target.health()),
        slots: SLOTS_PER_TARGET,
        connections: CONNECTIONS_PER_TARGET,
        leaving: false,
    };
    TargetGroup { name: definition.name.to_owned(), targets: targets.iter().enumerate().map(object).collect() }
}

fn build_service(definition: &ServiceDefinition) -> io::Result<Service> {
    Ok(Service {
        name: definition.name.to_owned(),
        protocol: definition.protocol,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 9, 2, 1)), free_port()?),
        target_group: definition.name.to_owned(),
        class: definition.class,
        peak_slots: definition.peak_slots,
        timeout_ms: 3_000,
        idle_ms: 60_000,
    })
}

/// Returns a port that is currently free on the addresses of all instances that the demo starts.
fn free_port() -> io::Result<u16> {
    loop {
        let probe = std::net::TcpListener::bind(SocketAddr::new(instance_ip(0), 0))?;
        let port = probe.local_addr()?.port();
        let is_free = |id| {
            let address = SocketAddr::new(instance_ip(id), port);
            std::net::UdpSocket::bind(address).is_ok() && (id == 0 || std::net::TcpListener::bind(address).is_ok())
        };
        if (0..=INSTANCES + 1).all(is_free) {
            return Ok(port);
        }
    }
}
