//! An instance's view of the fleet: the active configuration set and the serving instances.
//!
//! Two instances with equal views compute the same home for each flow and the same coordinator for each target, without
//! exchanging messages. Views differ while a change propagates. For that time packets are forwarded with a hop limit,
//! and instances remember earlier views ([`crate::flows`]).

use std::sync::Arc;

use xxhash_rust::xxh3::Xxh3;

use crate::catalog::Catalog;
use crate::catalog::DomainIndex;
use crate::catalog::ServiceEntry;
use crate::rendezvous;
use hawthornshift_model::Incarnation;
use hawthornshift_model::InstanceId;
use hawthornshift_model::TargetId;

/// An instance that can be the home of flows and the coordinator of targets.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServingInstance {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Start time of the instance, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
}

/// State of the lease under which an instance acts on its view; contact with peers renews the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// A peer was in contact within the lease time.
    Valid,
    /// No peer was in contact within the lease time, so other instances may act on a different view.
    Expired,
    /// The instance has just started or was paused; it makes no decisions until its view is confirmed.
    Fenced,
}

/// The active configuration set and the serving instances by failure domain.
#[derive(Clone, Debug, Default)]
pub struct View {
    catalog: Arc<Catalog>,
    by_domain: Vec<Vec<ServingInstance>>,
    all_serving: Vec<ServingInstance>,
    digest: u64,
}

impl View {
    /// Creates a view from a set and the serving instances, each with the name of its failure domain.
    ///
    /// Instances of a domain that is out of service, or that the set does not contain, are left out.
    #[must_use]
    pub fn new<'a>(catalog: Arc<Catalog>, serving: impl IntoIterator<Item = (ServingInstance, &'a str)>) -> Self {
        let mut by_domain = vec![Vec::new(); catalog.domains().len()];
        let mut all_serving = Vec::new();
        for (instance, domain) in serving {
            let Some(index) = catalog.domain_index(domain) else { continue };
            if catalog.domains()[index].in_service {
                by_domain[index].push(instance);
                all_serving.push(instance);
            }
        }
        for instances in &mut by_domain {
            instances.sort_unstable();
        }
        all_serving.sort_unstable();
        let digest = digest(&catalog, &all_serving);
        Self { catalog, by_domain, all_serving, digest }
    }

    /// Returns the compiled active set.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns a hash of the view; instances with equal views have equal hashes.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all serving instances, sorted by identifier.
    #[must_use]
    pub fn serving(&self) -> &[ServingInstance] {
        &self.all_serving
    }

    /// Returns whether an instance can be the home of flows and the coordinator of targets.
    #[must_use]
    pub fn serves(&self, id: InstanceId) -> bool {
        self.all_serving.iter().any(|instance| instance.id == id)
    }

    /// Returns the instances that serve a failure domain: its own, or all serving instances if it has none.
    #[must_use]
    pub fn serving_for(&self, domain: DomainIndex) -> &[ServingInstance] {
        match self.by_domain.get(domain) {
            Some(instances) if !instances.is_empty() => instances,
            _ => &self.all_serving,
        }
    }

    /// Returns the home of the flow with this hash to `service`; `None` if no instance serves, or if no failure domain
    /// in service has slots for the service.
    #[must_use]
    pub fn home(&self, hash: u64, service: &ServiceEntry) -> Option<InstanceId> {
        let domain = self.catalog.domain_of(hash, service)?;
        self.highest_ranked(hash, domain)
    }

    /// Returns the instance that becomes the home of the flow if `home` fails.
    #[must_use]
    pub fn standby(&self, hash: u64, service: &ServiceEntry, home: InstanceId) -> Option<InstanceId> {
        let domain = self.catalog.domain_of(hash, service)?;
        let instances = self.serving_for(domain);
        // If `home` is the only instance of its failure domain, an instance of another domain succeeds it.
        let instances = if instances.len() > 1 { instances } else { &self.all_serving };
        let others = instances.iter().copied().filter(|instance| instance.id != home);
        rendezvous::pick(hash, others, |instance| u64::from(instance.id)).map(|instance| instance.id)
    }

    /// Returns the coordinator of a target: the one instance through which all requests to it pass. Returns `None` if
    /// the set does not contain the target or its failure domain is out of service.
    #[must_use]
    pub fn coordinator(&self, target: TargetId) -> Option<InstanceId> {
        let domain = self.catalog.target(target)?.domain;
        if !self.catalog.domains()[domain].in_service {
            return None;
        }
        self.highest_ranked(target, domain)
    }

    fn highest_ranked(&self, key: u64, domain: DomainIndex) -> Option<InstanceId> {
        rendezvous::pick(key, self.serving_for(domain).iter().copied(), |instance| u64::from(instance.id))
            .map(|instance| instance.id)
    }
}

fn digest(catalog: &Catalog, instances: &[ServingInstance]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&catalog.revision().to_le_bytes());
    hasher.update(&catalog.digest().to_le_bytes());
    for instance in instances {
        hasher.update(&instance.id.to_le_bytes());
        hasher.update(&instance.incarnation.to_le_bytes());
    }
    hasher.digest()
}
