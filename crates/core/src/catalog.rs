//! A checked set, compiled for look-ups.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::maps::Map;
use crate::rendezvous;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::Class;
use hawthornshift_model::DomainState;
use hawthornshift_model::Protocol;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::Revision;
use hawthornshift_model::ServiceId;
use hawthornshift_model::TargetId;

/// Position of a failure domain in its catalog.
pub type DomainIndex = usize;

/// Position of a target group in its catalog; another set may order groups otherwise.
pub type GroupIndex = usize;

/// Hash of a target group's name; the same in every set.
pub type GroupId = u64;

/// A failure domain as decisions use it.
#[derive(Clone, Debug)]
pub struct DomainEntry {
    /// The domain's name.
    pub name: String,
    /// Whether it may carry traffic.
    pub in_service: bool,
    /// What rendezvous hashing ranks it by.
    seed: u64,
}

/// A target as decisions use it.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Identity.
    pub id: TargetId,
    /// Name within its group.
    pub name: String,
    /// Its group.
    pub group: GroupIndex,
    /// The same group, as it is called across sets.
    pub group_id: GroupId,
    /// Where it runs.
    pub domain: DomainIndex,
    /// Where it serves.
    pub address: SocketAddr,
    /// Where it answers health checks.
    pub health: SocketAddr,
    /// Requests it can run at once.
    pub slots: u32,
    /// Flows it can hold at once.
    pub connections: u32,
    /// Whether it gets nothing new.
    pub leaving: bool,
}

/// A target group as decisions use it.
#[derive(Clone, Debug)]
pub struct GroupEntry {
    /// The group's name.
    pub name: String,
    /// Whether any service sends it requests, whose answers prove what its targets bear.
    pub takes_requests: bool,
    /// Its targets by failure domain.
    pub by_domain: Vec<Vec<TargetId>>,
    /// Slots by failure domain; what domains are weighted by.
    slots: Vec<u32>,
}

/// A service as decisions use it.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Identity.
    pub id: ServiceId,
    /// Name.
    pub name: String,
    /// How callers speak to it.
    pub protocol: Protocol,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Who serves it.
    pub group: GroupIndex,
    /// The same group, as it is called across sets.
    pub group_id: GroupId,
    /// Who goes first.
    pub class: Class,
    /// Longest time of a request whose caller sets none.
    pub timeout: Duration,
    /// Time after which a silent flow is forgotten.
    pub idle: Duration,
}

/// A checked set, compiled for look-ups; the same on every instance that holds the same set.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    checked: Option<Arc<CheckedSet>>,
    revision: Revision,
    digest: u64,
    domains: Vec<DomainEntry>,
    groups: Vec<GroupEntry>,
    services: Map<ServiceId, ServiceEntry>,
    targets: Map<TargetId, TargetEntry>,
    by_address: Map<SocketAddr, TargetId>,
}

impl Catalog {
    /// Compiles a checked set.
    #[must_use]
    pub fn new(checked: Arc<CheckedSet>) -> Self {
        let set = checked.set();
        let mut catalog =
            Self { revision: set.revision, digest: checked.digest(), domains: compile_domains(set), ..Self::default() };
        catalog.add_groups(set);
        catalog.add_services(set);
        catalog.checked = Some(checked);
        catalog
    }

    fn add_groups(&mut self, set: &PublishedSet) {
        for (index, group) in set.target_groups.iter().enumerate() {
            let mut entry = GroupEntry {
                name: group.name.clone(),
                takes_requests: false,
                by_domain: vec![Vec::new(); self.domains.len()],
                slots: vec![0; self.domains.len()],
            };
            for target in &group.targets {
                // The check has refused sets with dangling names, so every target has a domain.
                let Some(domain) = self.domain_index(&target.failure_domain) else { continue };
                let id = target.id(&group.name);
                entry.by_domain[domain].push(id);
                entry.slots[domain] += target.slots;
                let target = TargetEntry {
                    id,
                    name: target.name.clone(),
                    group: index,
                    group_id: group_id(&group.name),
                    domain,
                    address: target.address,
                    health: target.health_address(),
                    slots: target.slots,
                    connections: target.connections,
                    leaving: target.leaving,
                };
                self.by_address.insert(target.address, id);
                self.targets.insert(id, target);
            }
            self.groups.push(entry);
        }
    }

    fn add_services(&mut self, set: &PublishedSet) {
        for service in &set.services {
            let Some(group) = set.target_groups.iter().position(|group| group.name == service.target_group) else {
                continue;
            };
            self.groups[group].takes_requests |= service.protocol == Protocol::Http;
            let entry = ServiceEntry {
                id: service.id(),
                name: service.name.clone(),
                protocol: service.protocol,
                address: service.address,
                group,
                group_id: group_id(&service.target_group),
                class: service.class,
                timeout: Duration::from_millis(service.timeout_ms),
                idle: Duration::from_millis(service.idle_ms),
            };
            self.services.insert(entry.id, entry);
        }
    }

    /// Returns the set this was compiled from; none before the first.
    #[must_use]
    pub fn checked(&self) -> Option<&Arc<CheckedSet>> {
        self.checked.as_ref()
    }

    /// Returns the revision; zero before the first set.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the hash of the content; zero before the first set.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a service by its identity.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&ServiceEntry> {
        self.services.get(&id)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    /// Returns a target by its identity.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&TargetEntry> {
        self.targets.get(&id)
    }

    /// Returns the target that serves at an address.
    #[must_use]
    pub fn target_at(&self, address: SocketAddr) -> Option<TargetId> {
        self.by_address.get(&address).copied()
    }

    /// Returns all targets, in no particular order.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns a group.
    #[must_use]
    pub fn group(&self, index: GroupIndex) -> &GroupEntry {
        &self.groups[index]
    }

    /// Returns the failure domains.
    #[must_use]
    pub fn domains(&self) -> &[DomainEntry] {
        &self.domains
    }

    /// Returns the position of a failure domain.
    #[must_use]
    pub fn domain_index(&self, name: &str) -> Option<DomainIndex> {
        self.domains.iter().position(|domain| domain.name == name)
    }

    /// Tells whether a failure domain of that name may carry traffic; one that no set knows may not.
    #[must_use]
    pub fn domain_in_service(&self, name: &str) -> bool {
        self.domains.iter().any(|domain| domain.name == name && domain.in_service)
    }

    /// Returns the failure domain that a flow of `hash` to `service` lives in.
    ///
    /// The weights are the slots of the published set alone. Counts of what is alive would differ between instances
    /// and would move established flows across domains at every crash.
    #[must_use]
    pub fn domain_of(&self, hash: u64, service: &ServiceEntry) -> Option<DomainIndex> {
        let slots = &self.groups[service.group].slots;
        let candidates = self.domains.iter().enumerate().filter(|(_, domain)| domain.in_service);
        rendezvous::pick_weighted(hash, candidates.map(|(index, domain)| (index, domain.seed, slots[index])))
    }
}

fn compile_domains(set: &PublishedSet) -> Vec<DomainEntry> {
    let compile = |domain: &hawthornshift_model::FailureDomain| DomainEntry {
        name: domain.name.clone(),
        in_service: domain.state == DomainState::InService,
        seed: xxh3_64(domain.name.as_bytes()),
    };
    set.failure_domains.iter().map(compile).collect()
}

fn group_id(name: &str) -> GroupId {
    xxh3_64(name.as_bytes())
}
