//! The operators' configuration in force, and what in it has changed since when.
//!
//! A configuration is published whole, and most new versions change one route of hundreds. Told whole to a large fleet, a
//! quick succession of versions fills the link of the instance that watches the store: its heartbeats and announcements
//! are lost with everything else, others take it and each other for dead, and some go on by old news for seconds. So
//! instances tell each other differences, each with the revision from which on it applies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::direct::store_entries::Route;
use crate::direct::store_entries::Routing;
use crate::direct::store_entries::RoutingChange;
use crate::direct::store_entries::StoreEntry;
use crate::direct::store_entries::VersionedEntry;
use crate::maps::Map;
use hawthornshift_model::Revision;

/// Configurations whose differences to the present one can be told. Whoever is further behind gets the whole.
const REMEMBERED: usize = 64;

/// What came of a piece of news about the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Learned {
    /// It was new.
    New,
    /// It was known, or older than what is known.
    Known,
    /// It is a difference to another configuration than the one here.
    Gap,
}

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Routes {
    revision: Revision,
    routing: Routing,
    by_address: Map<SocketAddrV4, usize>,
    /// Revision at which each route took its present form, as far as it is later than the first in `seen`.
    changed: BTreeMap<SocketAddrV4, Revision>,
    /// Routes that are gone, with the revision at which they went.
    removed: BTreeMap<SocketAddrV4, Revision>,
    /// Revisions of the configurations that were in force here, the oldest first.
    seen: BTreeSet<Revision>,
}

impl Routes {
    /// Starts with a whole configuration.
    #[must_use]
    pub fn new(revision: Revision, routing: Routing) -> Self {
        let mut routes = Self {
            revision,
            routing,
            by_address: Map::default(),
            changed: BTreeMap::new(),
            removed: BTreeMap::new(),
            seen: BTreeSet::from([revision]),
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

    /// Returns the route to an address and port.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address).and_then(|&index| self.routing.routes.get(index))
    }

    /// Takes over a whole configuration.
    pub fn replace(&mut self, revision: Revision, routing: &Routing) -> Learned {
        if self.revision >= revision {
            return Learned::Known;
        }
        let gone: Vec<SocketAddrV4> = {
            let named: BTreeSet<SocketAddrV4> = routing.routes.iter().map(|route| route.address).collect();
            self.by_address.keys().copied().filter(|address| !named.contains(address)).collect()
        };
        let differs = |route: &&Route| self.route(route.address) != Some(route);
        let new: Vec<SocketAddrV4> = routing.routes.iter().filter(differs).map(|route| route.address).collect();
        self.note(revision, &new, &gone);
        self.routing = routing.clone();
        self.index();
        Learned::New
    }

    /// Takes over a difference.
    pub fn change(&mut self, revision: Revision, change: &RoutingChange) -> Learned {
        if self.revision >= revision {
            return Learned::Known;
        }
        // An earlier or later one than the difference is meant for may have routes that whoever made it never saw.
        if self.revision != change.since {
            return Learned::Gap;
        }
        let new: Vec<SocketAddrV4> = change.changed.iter().map(|route| route.address).collect();
        self.note(revision, &new, &change.removed);
        let gone: BTreeSet<SocketAddrV4> = new.into_iter().chain(change.removed.iter().copied()).collect();
        self.routing.routes.retain(|route| !gone.contains(&route.address));
        self.routing.routes.extend(change.changed.iter().cloned());
        self.routing.version = change.version;
        self.routing.services.clone_from(&change.services);
        self.routing.idle_timeout = change.idle_timeout;
        self.index();
        Learned::New
    }

    /// Remembers which routes took another form at a revision.
    fn note(&mut self, revision: Revision, new: &[SocketAddrV4], gone: &[SocketAddrV4]) {
        for address in new {
            self.changed.insert(*address, revision);
            self.removed.remove(address);
        }
        for address in gone {
            self.changed.remove(address);
            self.removed.insert(*address, revision);
        }
        self.revision = revision;
        self.seen.insert(revision);
        while self.seen.len() > REMEMBERED {
            self.seen.pop_first();
        }
        let first = self.seen.first().copied().unwrap_or(revision);
        self.changed.retain(|_, at| *at > first);
        self.removed.retain(|_, at| *at > first);
    }

    fn index(&mut self) {
        let addresses = self.routing.routes.iter().enumerate();
        self.by_address = addresses.map(|(index, route)| (route.address, index)).collect();
    }

    /// Returns the configuration as it is told to an instance that knows everything up to a revision; `None` when it
    /// knows this one.
    #[must_use]
    pub fn told_since(&self, since: Revision) -> Option<VersionedEntry> {
        if since >= self.revision {
            return None;
        }
        // The other instance knows what came up to `since`, so it has this configuration, or one that was never seen
        // here; it asks for the whole then.
        let fact = match self.seen.range(..=since).next_back() {
            None => StoreEntry::Routing(self.routing.clone()),
            Some(&base) => StoreEntry::RoutingChange(self.changes_since(base)),
        };
        Some(VersionedEntry { revision: self.revision, entry: fact })
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
