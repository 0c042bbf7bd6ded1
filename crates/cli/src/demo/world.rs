//! The world of the demo: a platform, targets, instances, and a fabric that hands any packet to any instance.

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

/// The failure domains.
pub(super) const DOMAINS: [&str; 4] = ["norte", "sur", "este", "oeste"];
/// Instances at the start.
pub(super) const INSTANCES: InstanceId = 8;
/// Slots of a target.
const SLOTS: u32 = 2;
/// Flows of a target.
const CONNECTIONS: u32 = 2_000;
/// Time that a warm target takes for a request.
const WORK: Duration = Duration::from_millis(10);
/// Time by which the fabric learns late that an instance has stopped taking new work.
const FABRIC_LAG: Duration = Duration::from_millis(200);

/// A service of the demo: name, protocol, class, targets and slots needed at the busiest time.
pub(super) struct ServicePlan {
    pub(super) name: &'static str,
    protocol: Protocol,
    kind: TargetKind,
    class: Class,
    targets: usize,
    peak_slots: u32,
}

/// The services: the two of a bakery's storefront, and one of each other protocol.
pub(super) const SERVICES: [ServicePlan; 4] = [
    ServicePlan {
        name: "suscripciones",
        protocol: Protocol::Http,
        kind: TargetKind::Http,
        class: Class::Critical,
        targets: 14,
        peak_slots: 6,
    },
    ServicePlan {
        name: "guias",
        protocol: Protocol::Http,
        kind: TargetKind::Http,
        class: Class::Normal,
        targets: 4,
        peak_slots: 2,
    },
    ServicePlan {
        name: "avisos",
        protocol: Protocol::Datagram,
        kind: TargetKind::Datagram,
        class: Class::Normal,
        targets: 8,
        peak_slots: 0,
    },
    ServicePlan {
        name: "fotos",
        protocol: Protocol::Stream,
        kind: TargetKind::Stream,
        class: Class::Bulk,
        targets: 4,
        peak_slots: 0,
    },
];

/// A world that could not be built.
#[derive(Debug, Error)]
pub(super) enum WorldError {
    /// A socket could not be opened.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// An instance could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The demo's own set does not pass the check.
    #[error("the set is refused: {0}")]
    Set(#[from] hawthornshift_model::check::CheckError),
    /// The set cannot be written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// The instances that the fabric hands packets to.
#[derive(Debug, Default)]
pub(super) struct Fabric {
    members: RwLock<Vec<IpAddr>>,
}

impl Fabric {
    /// Picks an instance for the next packet.
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

/// Everything that runs in the demo.
pub(super) struct World {
    pub(super) platform: Platform,
    pub(super) fabric: Arc<Fabric>,
    pub(super) set: PublishedSet,
    pub(super) targets: BTreeMap<&'static str, Vec<Target>>,
    pub(super) instances: BTreeMap<InstanceId, Instance<Serving>>,
    list_version: u64,
    started: Instant,
}

/// Returns the address of an instance on loopback.
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

impl World {
    /// Starts a platform, targets and instances.
    pub(super) async fn build(stop: CancellationToken) -> Result<Self, WorldError> {
        let platform = Platform::start((Ipv4Addr::LOCALHOST, 0).into(), stop).await?;
        let mut targets = BTreeMap::new();
        for plan in &SERVICES {
            targets.insert(plan.name, start_targets(plan).await?);
        }
        let mut set = PublishedSet {
            revision: 0,
            failure_domains: DOMAINS.map(domain_object).to_vec(),
            target_groups: Vec::new(),
            services: Vec::new(),
        };
        for plan in &SERVICES {
            set.target_groups.push(group_object(plan, &targets[plan.name]));
            set.services.push(service_object(plan)?);
        }
        let mut world = Self {
            platform,
            fabric: Arc::default(),
            set,
            targets,
            instances: BTreeMap::new(),
            list_version: 0,
            started: Instant::now(),
        };
        world.publish()?;
        for id in 0..INSTANCES {
            world.start_instance(id).await?;
        }
        Ok(world)
    }

    /// Publishes the set under the next revision, after the same check that instances make.
    pub(super) fn publish(&mut self) -> Result<(), WorldError> {
        self.set.revision += 1;
        let text = serde_json::to_string(&self.set)?;
        hawthornshift_model::CheckedSet::from_json(text.as_bytes())?;
        self.platform.publish("set", self.set.revision, text);
        Ok(())
    }

    /// Starts an instance, puts it on the platform's list and has the fabric use it.
    pub(super) async fn start_instance(&mut self, id: InstanceId) -> Result<(), WorldError> {
        let ip = instance_ip(id);
        let any_port = SocketAddr::new(ip, 0);
        let addresses = Addresses { control: any_port, forward: any_port, admin: any_port };
        // Lives are told apart by their start, in microseconds here so that a quick restart differs.
        let incarnation = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX) + 1;
        let domain = domain_of_instance(id).to_owned();
        let config = Config::new(id, incarnation, domain, addresses, self.platform.address(), logs::silent());
        let instance = Instance::new(config.listen(Some(ip))).start().await?;
        self.instances.insert(id, instance);
        self.list_instances()?;
        self.fabric.add(ip);
        Ok(())
    }

    /// Publishes the list of instances.
    fn list_instances(&mut self) -> Result<(), WorldError> {
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

    /// Stops an instance as planned; the fabric learns of it late, the platform's list later still.
    pub(super) async fn stop_instance(&mut self, id: InstanceId) -> Result<Vec<String>, WorldError> {
        let Some(instance) = self.instances.remove(&id) else { return Ok(Vec::new()) };
        let stopping = tokio::spawn(instance.stop());
        tokio::time::sleep(FABRIC_LAG).await;
        self.fabric.remove(instance_ip(id));
        let stopped = stopping.await.map_err(io::Error::other)?;
        self.list_instances()?;
        Ok(stopped.dump().breaches.iter().map(|breach| format!("{breach:?}")).collect())
    }

    /// Changes whether a failure domain is in service, and publishes that.
    pub(super) fn set_domain(&mut self, name: &str, state: DomainState) -> Result<(), WorldError> {
        for domain in self.set.failure_domains.iter_mut().filter(|domain| domain.name == name) {
            domain.state = state;
        }
        self.publish()?;
        for target in self.targets_in(name) {
            target.set_out(state == DomainState::Out);
        }
        Ok(())
    }

    /// Returns the targets in a failure domain.
    pub(super) fn targets_in(&self, domain: &str) -> Vec<Target> {
        let index = DOMAINS.iter().position(|name| *name == domain).unwrap_or(0);
        let ip = target_ip(index);
        self.targets.values().flatten().filter(|target| target.address().ip() == ip).cloned().collect()
    }

    /// Returns the port of a service.
    pub(super) fn port(&self, service: &str) -> u16 {
        let service = self.set.services.iter().find(|object| object.name == service);
        service.map_or(0, |service| service.address.port())
    }

    /// Tells whether every instance has the published set in force.
    pub(super) fn has_converged(&self) -> bool {
        let current = |instance: &Instance<Serving>| instance.dump().configuration.revision >= self.set.revision;
        self.instances.values().all(current)
    }
}

async fn start_targets(plan: &ServicePlan) -> io::Result<Vec<Target>> {
    let mut targets = Vec::new();
    for number in 0..plan.targets {
        let name = format!("{}-{number}", plan.name);
        let ip = target_ip(number % DOMAINS.len());
        targets.push(Target::start(plan.kind, &name, plan.name, ip, SLOTS, WORK).await?);
    }
    Ok(targets)
}

fn domain_object(name: &str) -> FailureDomain {
    FailureDomain { name: name.to_owned(), region: "guadalajara".to_owned(), state: DomainState::InService }
}

fn group_object(plan: &ServicePlan, targets: &[Target]) -> TargetGroup {
    let object = |(number, target): (usize, &Target)| TargetObject {
        name: target.name().to_owned(),
        failure_domain: DOMAINS[number % DOMAINS.len()].to_owned(),
        address: target.address(),
        health: Some(target.health()),
        slots: SLOTS,
        connections: CONNECTIONS,
        leaving: false,
    };
    TargetGroup { name: plan.name.to_owned(), targets: targets.iter().enumerate().map(object).collect() }
}

fn service_object(plan: &ServicePlan) -> io::Result<Service> {
    Ok(Service {
        name: plan.name.to_owned(),
        protocol: plan.protocol,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 9, 2, 1)), free_port()?),
        target_group: plan.name.to_owned(),
        class: plan.class,
        peak_slots: plan.peak_slots,
        timeout_ms: 3_000,
        idle_ms: 60_000,
    })
}

/// Returns a port that is free now on the addresses of all instances that the demo starts.
fn free_port() -> io::Result<u16> {
    loop {
        let probe = std::net::TcpListener::bind(SocketAddr::new(instance_ip(0), 0))?;
        let port = probe.local_addr()?.port();
        let free = |id| {
            let address = SocketAddr::new(instance_ip(id), port);
            std::net::UdpSocket::bind(address).is_ok() && (id == 0 || std::net::TcpListener::bind(address).is_ok())
        };
        if (0..=INSTANCES + 1).all(free) {
            return Ok(port);
        }
    }
}
