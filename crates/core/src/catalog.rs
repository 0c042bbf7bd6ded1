//! A checked configuration set, compiled for look-ups.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::maps::FixedHashMap;
use crate::rendezvous;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::Class;
use hawthornshift_model::DomainState;
use hawthornshift_model::Protocol;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::Revision;
use hawthornshift_model::ServiceId;
use hawthornshift_model::TargetId;

/// Index of a failure domain in its catalog.
pub type DomainIndex = usize;

/// Index of a target group in its catalog. It is valid only for that catalog, because another set may order the groups
/// differently.
pub type GroupIndex = usize;

/// XXH3 hash of a target group's name; the same in every set.
pub type GroupId = u64;

/// A failure domain of the catalog.
#[derive(Clone, Debug)]
pub struct DomainEntry {
    /// Name of the failure domain.
    pub name: String,
    /// Whether the failure domain may carry traffic.
    pub in_service: bool,
    /// Seed of the failure domain for rendezvous hashing.
    seed: u64,
}

/// A target of the catalog.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Identifier of the target.
    pub id: TargetId,
    /// Name of the target, unique within its group.
    pub name: String,
    /// Index of the target's group in this catalog.
    pub group: GroupIndex,
    /// Identifier of the target's group, the same in every set.
    pub group_id: GroupId,
    /// Failure domain in which the target runs.
    pub domain: DomainIndex,
    /// Address at which the target serves traffic.
    pub address: SocketAddr,
    /// Address at which the target answers health checks.
    pub health: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent flows, and of concurrent streams.
    pub connections: u32,
    /// Whether the target gets no new requests, flows or streams.
    pub leaving: bool,
}

/// A target group of the catalog.
#[derive(Clone, Debug)]
pub struct GroupEntry {
    /// Name of the group.
    pub name: String,
    /// Whether any service sends requests to the group. Their outcomes then show how much load its targets can take.
    pub takes_requests: bool,
    /// Targets of the group by failure domain.
    pub by_domain: Vec<Vec<TargetId>>,
    /// Number of slots by failure domain, used as the weight of the domain.
    slots: Vec<u32>,
}

/// A service of the catalog.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Identifier of the service.
    pub id: ServiceId,
    /// Name of the service.
    pub name: String,
    /// Protocol that callers use.
    pub protocol: Protocol,
    /// Address that callers use.
    pub address: SocketAddr,
    /// Index in this catalog of the target group that serves the service.
    pub group: GroupIndex,
    /// Identifier of that target group, the same in every set.
    pub group_id: GroupId,
    /// Class of the service's requests; it determines their order in queues.
    pub class: Class,
    /// Timeout of a request whose caller sets none.
    pub timeout: Duration,
    /// Idle timeout of flows.
    pub idle: Duration,
}

/// A checked configuration set, compiled for look-ups. Instances with the same set have equal catalogs.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    checked: Option<Arc<CheckedSet>>,
    revision: Revision,
    digest: u64,
    domains: Vec<DomainEntry>,
    groups: Vec<GroupEntry>,
    services: FixedHashMap<ServiceId, ServiceEntry>,
    targets: FixedHashMap<TargetId, TargetEntry>,
    by_address: FixedHashMap<SocketAddr, TargetId>,
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
                // The check rejects a set in which a target names an unknown failure domain, so this always succeeds.
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

    /// Returns the set from which the catalog was compiled; `None` before the first set.
    #[must_use]
    pub fn checked(&self) -> Option<&Arc<CheckedSet>> {
        self.checked.as_ref()
    }

    /// Returns the revision of the set; 0 before the first set.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the hash of the set's content; 0 before the first set.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a service by its identifier.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&ServiceEntry> {
        self.services.get(&id)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    /// Returns a target by its identifier.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&TargetEntry> {
        self.targets.get(&id)
    }

    /// Returns the target with this service address.
    #[must_use]
    pub fn target_at(&self, address: SocketAddr) -> Option<TargetId> {
        self.by_address.get(&address).copied()
    }

    /// Returns all targets, in no particular order.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns a target group of this catalog.
    #[must_use]
    pub fn group(&self, index: GroupIndex) -> &GroupEntry {
        &self.groups[index]
    }

    /// Returns the failure domains.
    #[must_use]
    pub fn domains(&self) -> &[DomainEntry] {
        &self.domains
    }

    /// Returns the index of the failure domain with this name.
    #[must_use]
    pub fn domain_index(&self, name: &str) -> Option<DomainIndex> {
        self.domains.iter().position(|domain| domain.name == name)
    }

    /// Returns whether the failure domain with this name may carry traffic; `false` if the set does not contain it.
    #[must_use]
    pub fn domain_in_service(&self, name: &str) -> bool {
        self.domains.iter().any(|domain| domain.name == name && domain.in_service)
    }

    /// Returns the failure domain to which a flow with this hash to `service` belongs; `None` if no domain in service
    /// has slots for the service.
    ///
    /// The weights are the slots in the published set. The number of live instances or targets is not used, because it
    /// would differ between instances and would move established flows to other domains at every crash.
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
