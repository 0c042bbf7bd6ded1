//! The active configuration, and the revision at which each of its routes last changed.
//!
//! A configuration is published in full, although most new versions change one route out of hundreds. In a large fleet,
//! sending full configurations in quick succession saturates the link of the instance that watches the store. Its
//! heartbeats and announcements are then lost along with everything else, instances declare it and each other dead, and
//! some instances use outdated entries for seconds. Instances therefore exchange differences, each with the revision
//! that it applies to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::direct::store::store_entries::Route;
use crate::direct::store::store_entries::Routing;
use crate::direct::store::store_entries::RoutingChange;
use crate::direct::store::store_entries::StoreEntry;
use crate::direct::store::store_entries::VersionedEntry;
use crate::maps::FixedHashMap;
use hawthornshift_model::Revision;

/// Number of earlier configurations to which a difference can be computed. A peer that is further behind receives the
/// full configuration.
const MAX_KNOWN_REVISIONS: usize = 64;

/// Result of applying a configuration or a difference.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// It was newer and has been applied.
    Applied,
    /// It was already known, or older than the local one.
    AlreadyKnown,
    /// It is a difference to a configuration other than the local one.
    BaseMismatch,
}

/// The active configuration.
#[derive(Clone, Debug)]
pub struct Routes {
    revision: Revision,
    routing: Routing,
    by_address: FixedHashMap<SocketAddrV4, usize>,
    /// Revision at which each route last changed, if that is later than the first revision in `known_revisions`.
    changed: BTreeMap<SocketAddrV4, Revision>,
    /// Removed routes, with the revision at which they were removed.
    removed: BTreeMap<SocketAddrV4, Revision>,
    /// Revisions of the configurations that have been active here.
    known_revisions: BTreeSet<Revision>,
}

impl Routes {
    /// Creates the state from a full configuration.
    #[must_use]
    pub fn new(revision: Revision, routing: Routing) -> Self {
        let mut routes = Self {
            revision,
            routing,
            by_address: FixedHashMap::default(),
            changed: BTreeMap::new(),
            removed: BTreeMap::new(),
            known_revisions: BTreeSet::from([revision]),
        };
        routes.index();
        routes
    }

    /// Returns the store's revision of the configuration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the configuration.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Returns the route for an address and port.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address).and_then(|&index| self.routing.routes.get(index))
    }

    /// Applies a full configuration.
    pub fn replace(&mut self, revision: Revision, routing: &Routing) -> ApplyOutcome {
        if self.revision >= revision {
            return ApplyOutcome::AlreadyKnown;
        }
        let removed: Vec<SocketAddrV4> = {
            let present: BTreeSet<SocketAddrV4> = routing.routes.iter().map(|route| route.address).collect();
            self.by_address.keys().copied().filter(|address| !present.contains(address)).collect()
        };
        let differs = |route: &&Route| self.route(route.address) != Some(route);
        let modified: Vec<SocketAddrV4> = routing.routes.iter().filter(differs).map(|route| route.address).collect();
        self.record_changes(revision, &modified, &removed);
        self.routing = routing.clone();
        self.index();
        ApplyOutcome::Applied
    }

    /// Applies a difference.
    pub fn apply_difference(&mut self, revision: Revision, change: &RoutingChange) -> ApplyOutcome {
        if self.revision >= revision {
            return ApplyOutcome::AlreadyKnown;
        }
        // A configuration other than the base of the difference, earlier or later, may have routes unknown to the
        // instance that computed it.
        if self.revision != change.since {
            return ApplyOutcome::BaseMismatch;
        }
        let modified: Vec<SocketAddrV4> = change.changed.iter().map(|route| route.address).collect();
        self.record_changes(revision, &modified, &change.removed);
        let replaced: BTreeSet<SocketAddrV4> = modified.into_iter().chain(change.removed.iter().copied()).collect();
        self.routing.routes.retain(|route| !replaced.contains(&route.address));
        self.routing.routes.extend(change.changed.iter().cloned());
        self.routing.version = change.version;
        self.routing.services.clone_from(&change.services);
        self.routing.idle_timeout = change.idle_timeout;
        self.index();
        ApplyOutcome::Applied
    }

    /// Records which routes changed at a revision.
    fn record_changes(&mut self, revision: Revision, modified: &[SocketAddrV4], removed: &[SocketAddrV4]) {
        for address in modified {
            self.changed.insert(*address, revision);
            self.removed.remove(address);
        }
        for address in removed {
            self.changed.remove(address);
            self.removed.insert(*address, revision);
        }
        self.revision = revision;
        self.known_revisions.insert(revision);
        while self.known_revisions.len() > MAX_KNOWN_REVISIONS {
            self.known_revisions.pop_first();
        }
        let first = self.known_revisions.first().copied().unwrap_or(revision);
        self.changed.retain(|_, at| *at > first);
        self.removed.retain(|_, at| *at > first);
    }

    fn index(&mut self) {
        let addresses = self.routing.routes.iter().enumerate();
        self.by_address = addresses.map(|(index, route)| (route.address, index)).collect();
    }

    /// Returns the configuration in the form sent to an instance that knows everything up to `since`; `None` if that
    /// instance already knows this configuration.
    #[must_use]
    pub fn entry_since(&self, since: Revision) -> Option<VersionedEntry> {
        if since >= self.revision {
            return None;
        }
        // The other instance knows everything up to `since`, so it has the latest configuration at or before `since`
        // that is known here, or one that was never known here. In the latter case it requests a full snapshot.
        let base = self.known_revisions.range(..=since).next_back();
        let change = base.map(|base| self.changes_since(*base));
        // The removed routes of many versions may be more than all present ones.
        let change = change.filter(|change| change.changed.len() + change.removed.len() <= self.routing.routes.len());
        let full = || StoreEntry::Routing(self.routing.clone());
        let entry = change.map_or_else(full, StoreEntry::RoutingChange);
        Some(VersionedEntry { revision: self.revision, entry })
    }

    fn changes_since(&self, base: Revision) -> RoutingChange {
        let is_later = |address: &SocketAddrV4| self.changed.get(address).is_some_and(|at| *at > base);
        let changed = self.routing.routes.iter().filter(|route| is_later(&route.address));
        let removed = self.removed.iter().filter(|(_, at)| **at > base);
        RoutingChange {
            since: base,
            version: self.routing.version,
            changed: changed.cloned().collect(),
            removed: removed.map(|(address, _)| *address).collect(),
            services: self.routing.services.clone(),
            idle_timeout: self.routing.idle_timeout,
        }
    }
}
