//! What an instance believes of the fleet at one moment: the set in force and who serves.
//!
//! Two instances with equal views compute equal homes and keepers without a message. Views differ for as long as news
//! travels, which is why packets are forwarded under a hop limit and why earlier views are remembered
//! ([`crate::flows`]).

use std::sync::Arc;

use xxhash_rust::xxh3::Xxh3;

use crate::catalog::Catalog;
use crate::catalog::DomainIndex;
use crate::catalog::ServiceEntry;
use crate::rendezvous;
use hawthornshift_model::Incarnation;
use hawthornshift_model::InstanceId;
use hawthornshift_model::TargetId;

/// An instance that can be a home or a keeper.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServingInstance {
    /// The instance.
    pub id: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// How far an instance may trust its view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// Peers have been heard of within the lease.
    Valid,
    /// No peer has been heard of within the lease: others may act on another view.
    Expired,
    /// The instance was paused or has just started; nothing is decided on the view.
    Fenced,
}

/// The set in force and the instances that serve, by failure domain.
#[derive(Clone, Debug, Default)]
pub struct View {
    catalog: Arc<Catalog>,
    by_domain: Vec<Vec<ServingInstance>>,
    everywhere: Vec<ServingInstance>,
    digest: u64,
}

impl View {
    /// Makes the view from a set and the serving instances, each with the name of its failure domain.
    ///
    /// Instances of a domain that is out of service, or that the set does not name, get no part in it.
    #[must_use]
    pub fn new<'a>(catalog: Arc<Catalog>, serving: impl IntoIterator<Item = (ServingInstance, &'a str)>) -> Self {
        let mut by_domain = vec![Vec::new(); catalog.domains().len()];
        let mut everywhere = Vec::new();
        for (seat, domain) in serving {
            let Some(index) = catalog.domain_index(domain) else { continue };
            if catalog.domains()[index].in_service {
                by_domain[index].push(seat);
                everywhere.push(seat);
            }
        }
        for seats in &mut by_domain {
            seats.sort_unstable();
        }
        everywhere.sort_unstable();
        let digest = digest(&catalog, &everywhere);
        Self { catalog, by_domain, everywhere, digest }
    }

    /// Returns the set in force.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns a hash that is equal on instances with equal views.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns every instance that serves, sorted.
    #[must_use]
    pub fn serving(&self) -> &[ServingInstance] {
        &self.everywhere
    }

    /// Tells whether an instance can be a home or a keeper.
    #[must_use]
    pub fn serves(&self, id: InstanceId) -> bool {
        self.everywhere.iter().any(|seat| seat.id == id)
    }

    /// Returns the instances that stand for a failure domain: its own, or all others when it has none left.
    #[must_use]
    pub fn serving_for(&self, domain: DomainIndex) -> &[ServingInstance] {
        match self.by_domain.get(domain) {
            Some(seats) if !seats.is_empty() => seats,
            _ => &self.everywhere,
        }
    }

    /// Returns the home of a flow of `hash` to `service`.
    #[must_use]
    pub fn home(&self, hash: u64, service: &ServiceEntry) -> Option<InstanceId> {
        let domain = self.catalog.domain_of(hash, service)?;
        self.rank_first(hash, domain)
    }

    /// Returns the instance that becomes a flow's home when `home` goes.
    #[must_use]
    pub fn standby(&self, hash: u64, service: &ServiceEntry, home: InstanceId) -> Option<InstanceId> {
        let domain = self.catalog.domain_of(hash, service)?;
        let seats = self.serving_for(domain);
        // The last of its failure domain is followed by one of another.
        let seats = if seats.len() > 1 { seats } else { &self.everywhere };
        let others = seats.iter().copied().filter(|seat| seat.id != home);
        rendezvous::pick(hash, others, |seat| u64::from(seat.id)).map(|seat| seat.id)
    }

    /// Returns the one instance through which a target's requests pass.
    #[must_use]
    pub fn coordinator(&self, target: TargetId) -> Option<InstanceId> {
        let domain = self.catalog.target(target)?.domain;
        if !self.catalog.domains()[domain].in_service {
            return None;
        }
        self.rank_first(target, domain)
    }

    fn rank_first(&self, key: u64, domain: DomainIndex) -> Option<InstanceId> {
        rendezvous::pick(key, self.serving_for(domain).iter().copied(), |seat| u64::from(seat.id)).map(|seat| seat.id)
    }
}

fn digest(catalog: &Catalog, seats: &[ServingInstance]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&catalog.revision().to_le_bytes());
    hasher.update(&catalog.digest().to_le_bytes());
    for seat in seats {
        hasher.update(&seat.id.to_le_bytes());
        hasher.update(&seat.incarnation.to_le_bytes());
    }
    hasher.digest()
}
