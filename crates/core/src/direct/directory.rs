//! What is known of routes, targets and failure domains, by the store's revisions.
//!
//! A target outlives its entry here: its flows go on for as long as it serves them, which may be long after the store
//! has dropped the entry, and a packet whose cookie nobody knows any more would be a broken flow.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Serialize;

use crate::Timestamp;
use crate::direct::routes::Learned;
use crate::direct::routes::Routes;
use crate::direct::segment::Cookie;
use crate::direct::store_entries::Delta;
use crate::direct::store_entries::Route;
use crate::direct::store_entries::Routing;
use crate::direct::store_entries::RoutingChange;
use crate::direct::store_entries::StoreEntry;
use crate::direct::store_entries::TargetSpec;
use crate::direct::store_entries::VersionedEntry;
use crate::maps::Map;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// Time for which a target whose entry is missing stays known, at the least: flows live for up to a minute, and a
/// target that leaves serves them to their end.
const REMEMBER: Duration = Duration::from_secs(90);
/// Time for which a target may still be placed on after its entry went missing without a word of draining.
///
/// Entries lapse while the store is out of reach of their writers, and are back within two seconds if the targets
/// live. Without this, an outage of the store would empty the directory of targets that work.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Whether a target's entry allows new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum EntryState {
    /// It serves.
    Listed,
    /// It is about to leave.
    Draining,
    /// Its entry is missing since then.
    Missing(Timestamp),
}

/// One target.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// Its id.
    pub id: TargetId,
    /// Revision of what is known of it.
    pub revision: Revision,
    /// What its latest entry said.
    #[serde(rename = "facts")]
    pub spec: TargetSpec,
    /// Whether it may get new flows.
    #[serde(rename = "standing")]
    pub entry_state: EntryState,
    /// When it stops being cold.
    pub cold_until: Timestamp,
    /// When this instance first knew of this start of it.
    pub known_since: Timestamp,
}

impl Target {
    /// Returns the target's cookie.
    #[must_use]
    pub fn cookie(&self) -> Cookie {
        cookie(self.id)
    }

    /// Tells whether the target's entry allows new flows.
    #[must_use]
    pub fn takes_flows(&self, now: Timestamp) -> bool {
        match self.entry_state {
            EntryState::Listed => true,
            EntryState::Draining => false,
            EntryState::Missing(since) => !self.spec.draining && now.saturating_sub(since) < LAPSE_GRACE,
        }
    }

    /// Tells whether the target is in slow start.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }
}

/// Returns the cookie that stands for a target: the low half of its id, which zero never is.
#[must_use]
pub fn cookie(id: TargetId) -> Cookie {
    let low = Cookie::try_from(id & u64::from(Cookie::MAX)).unwrap_or(Cookie::MAX);
    low.max(1)
}

/// Everything that the store says, as far as it is known here.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    revision: Revision,
    /// Revision below which entries that went missing may have been forgotten here.
    forgotten: Revision,
    whole: bool,
    routes: Option<Routes>,
    /// Revision of the latest difference that could not be applied, until its configuration is known in another way.
    gap: Option<Revision>,
    targets: BTreeMap<TargetId, Target>,
    by_cookie: Map<Cookie, TargetId>,
    by_service: BTreeMap<String, Vec<TargetId>>,
    domains: BTreeMap<String, (Revision, bool)>,
    /// When this instance learned that a domain is taken out.
    evacuated_since: BTreeMap<String, Timestamp>,
}

impl Directory {
    /// Returns the revision that the directory is complete up to.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Tells whether a whole picture with a configuration has been seen; before that nothing may be concluded from
    /// the absence of a route or a target.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.whole && self.routes.is_some()
    }

    /// Returns the revision from which on to ask for news; zero when everything is wanted.
    #[must_use]
    pub fn fetch_since(&self) -> Revision {
        if self.is_synced() && self.gap.is_none() { self.revision } else { 0 }
    }

    /// Returns the version of the configuration in force; zero before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.routing().map_or(0, |routing| routing.version)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn routing(&self) -> Option<&Routing> {
        self.routes.as_ref().map(Routes::routing)
    }

    /// Returns the route to an address and port.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes.as_ref().and_then(|routes| routes.route(address))
    }

    /// Returns a target, also one whose entry is gone.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// Tells whether another target has taken over the address of one whose entry is gone.
    #[must_use]
    pub fn is_replaced(&self, id: TargetId) -> bool {
        let Some(former) = self.targets.get(&id) else { return false };
        if !matches!(former.entry_state, EntryState::Missing(_)) {
            return false;
        }
        let mut listed = self.targets.values().filter(|target| !matches!(target.entry_state, EntryState::Missing(_)));
        listed.any(|target| target.spec.address == former.spec.address)
    }

    /// Returns all targets that are known.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the target that a cookie stands for.
    #[must_use]
    pub fn by_cookie(&self, cookie: Cookie) -> Option<&Target> {
        self.by_cookie.get(&cookie).and_then(|id| self.targets.get(id))
    }

    /// Returns the targets of a service that may get new flows, cold ones included.
    pub fn candidates(&self, now: Timestamp, service: &str) -> impl Iterator<Item = &Target> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.targets.get(id)).filter(move |target| self.is_candidate(now, target))
    }

    /// Tells whether any target of a service is known.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        self.by_service.contains_key(service)
    }

    /// Returns the targets of all services that may get new flows, cold ones included.
    pub fn all_candidates(&self, now: Timestamp) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(move |target| self.is_candidate(now, target))
    }

    fn is_candidate(&self, now: Timestamp, target: &Target) -> bool {
        target.takes_flows(now)
            && !self.is_evacuated(&target.spec.failure_domain)
            // Of two ids with one cookie only the one that the cookie leads back to can be served.
            && self.by_cookie.get(&target.cookie()) == Some(&target.id)
    }

    /// Returns how long a target's service stays cold after a start.
    #[must_use]
    pub fn cold_time(&self, target: TargetId) -> Duration {
        let service = self.targets.get(&target).map(|target| target.spec.service.as_str());
        let services = self.routing().map(|routing| routing.services.as_slice()).unwrap_or_default();
        let facts = services.iter().find(|facts| Some(facts.name.as_str()) == service);
        facts.map_or(Duration::ZERO, |facts| facts.cold_time)
    }

    /// Tells whether a failure domain is taken out.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|(_, evacuated)| *evacuated)
    }

    /// Returns since when this instance knows that a failure domain is taken out.
    #[must_use]
    pub fn evacuated_since(&self, domain: &str) -> Option<Timestamp> {
        self.evacuated_since.get(domain).copied()
    }

    /// Takes over what is newer than what is known, and tells whether anything was.
    pub fn apply(&mut self, now: Timestamp, delta: &Delta) -> bool {
        let mut changed = false;
        let mut complete = true;
        let mut named = BTreeSet::new();
        for versioned in &delta.entries {
            if delta.is_snapshot {
                named.extend(key(&versioned.entry));
            }
            let learned = self.learn(now, versioned);
            changed |= learned == Learned::New;
            complete &= learned != Learned::Gap;
        }
        self.gap = self.gap.filter(|gap| self.routes.as_ref().is_none_or(|routes| routes.revision() < *gap));
        if delta.is_snapshot {
            changed |= self.drop_unnamed(now, delta.revision, &named);
        }
        // A gap holds back only the news that it is in. One that follows the store itself would else be stuck at an old
        // revision for good, and those who hear it announced would never notice what they have missed.
        if delta.is_snapshot || (self.whole && complete && delta.since <= self.revision) {
            self.whole = true;
            self.revision = self.revision.max(delta.revision);
        }
        changed |= self.forget(now);
        if changed {
            self.index();
        }
        changed
    }

    fn learn(&mut self, now: Timestamp, versioned: &VersionedEntry) -> Learned {
        let revision = versioned.revision;
        let new = match &versioned.entry {
            StoreEntry::Target(id, Some(facts)) => self.learn_target(now, revision, *id, facts),
            StoreEntry::Target(id, None) => self.learn_missing(now, revision, *id),
            StoreEntry::Left(id, facts) => self.learn_left(now, revision, *id, facts),
            StoreEntry::Evacuated(domain, evacuated) => self.learn_domain(now, revision, domain, *evacuated),
            StoreEntry::Routing(routing) => return self.learn_routing(revision, routing),
            StoreEntry::RoutingChange(change) => return self.learn_change(revision, change),
        };
        if new { Learned::New } else { Learned::Known }
    }

    fn learn_target(&mut self, now: Timestamp, revision: Revision, id: TargetId, facts: &TargetSpec) -> bool {
        let known = self.targets.get(&id);
        if known.is_some_and(|target| target.revision >= revision) {
            return false;
        }
        let same_start = known.filter(|target| target.spec.started_at_ms == facts.started_at_ms);
        let known_since = same_start.map_or(now, |target| target.known_since);
        let standing = if facts.draining { EntryState::Draining } else { EntryState::Listed };
        // The entry was written before it is read, so counting its time from now never ends it too early.
        let cold_until = if facts.cold_for.is_zero() { Timestamp::ZERO } else { now + facts.cold_for };
        let facts = facts.clone();
        self.targets.insert(id, Target { id, revision, spec: facts, entry_state: standing, cold_until, known_since });
        true
    }

    fn learn_missing(&mut self, now: Timestamp, revision: Revision, id: TargetId) -> bool {
        let Some(target) = self.targets.get_mut(&id).filter(|target| target.revision < revision) else { return false };
        target.revision = revision;
        if !matches!(target.entry_state, EntryState::Missing(_)) {
            target.entry_state = EntryState::Missing(now);
        }
        true
    }

    /// Takes over what a peer remembers of a target that is gone from the store.
    fn learn_left(&mut self, now: Timestamp, revision: Revision, id: TargetId, facts: &TargetSpec) -> bool {
        if self.targets.contains_key(&id) {
            return self.learn_missing(now, revision, id);
        }
        // Not known since when, so it gets no new flows: the grace for entries that lapse may be over.
        let facts = TargetSpec { draining: true, ..facts.clone() };
        let (standing, cold_until) = (EntryState::Missing(now), Timestamp::ZERO);
        self.targets
            .insert(id, Target { id, revision, spec: facts, entry_state: standing, cold_until, known_since: now });
        true
    }

    fn learn_domain(&mut self, now: Timestamp, revision: Revision, domain: &str, evacuated: bool) -> bool {
        let known = self.domains.get(domain).copied();
        if known.is_some_and(|(known, _)| known >= revision) {
            return false;
        }
        self.domains.insert(domain.to_owned(), (revision, evacuated));
        if evacuated {
            self.evacuated_since.entry(domain.to_owned()).or_insert(now);
        } else if self.evacuated_since.remove(domain).is_some() {
            self.chill(now, domain);
        }
        true
    }

    /// Counts the targets of a failure domain that comes back as cold, whatever their entries say.
    ///
    /// They have idled, and an entry that tells of it may arrive after the word that the domain is back. Sent their
    /// full share in between, they would fall over.
    fn chill(&mut self, now: Timestamp, domain: &str) {
        let inside = self.targets.values().filter(|target| target.spec.failure_domain == domain);
        let inside: Vec<(TargetId, Duration)> = inside.map(|target| (target.id, self.cold_time(target.id))).collect();
        for (id, cold_time) in inside {
            if let Some(target) = self.targets.get_mut(&id) {
                target.cold_until = target.cold_until.max(now + cold_time);
            }
        }
    }

    fn learn_routing(&mut self, revision: Revision, routing: &Routing) -> Learned {
        if let Some(routes) = &mut self.routes {
            return routes.replace(revision, routing);
        }
        self.routes = Some(Routes::new(revision, routing.clone()));
        Learned::New
    }

    fn learn_change(&mut self, revision: Revision, change: &RoutingChange) -> Learned {
        let learned = self.routes.as_mut().map_or(Learned::Gap, |routes| routes.change(revision, change));
        if learned == Learned::Gap {
            self.gap = self.gap.max(Some(revision));
        }
        learned
    }

    /// Counts as missing what a whole picture does not name.
    fn drop_unnamed(&mut self, now: Timestamp, revision: Revision, named: &BTreeSet<Key>) -> bool {
        let gone: Vec<TargetId> =
            self.targets.keys().copied().filter(|id| !named.contains(&Key::Target(*id))).collect();
        let mut changed = false;
        for id in gone {
            changed |= self.learn_missing(now, revision, id);
        }
        let back: Vec<String> =
            self.domains.iter().filter(|(_, (_, evacuated))| *evacuated).map(|(d, _)| d.clone()).collect();
        for domain in back.into_iter().filter(|domain| !named.contains(&Key::Domain(domain.clone()))) {
            changed |= self.learn_domain(now, revision, &domain, false);
        }
        changed
    }

    /// Forgets targets that have been missing for longer than any flow of theirs may live.
    fn forget(&mut self, now: Timestamp) -> bool {
        let old = |target: &Target| matches!(target.entry_state, EntryState::Missing(since) if now.saturating_sub(since) > REMEMBER);
        let before = self.targets.len();
        let newest = self.targets.values().filter(|target| old(target)).map(|target| target.revision).max();
        self.targets.retain(|_, target| !old(target));
        self.forgotten = self.forgotten.max(newest.unwrap_or(0));
        self.targets.len() != before
    }

    fn index(&mut self) {
        self.by_cookie.clear();
        self.by_service.clear();
        for target in self.targets.values() {
            self.by_cookie.entry(target.cookie()).or_insert(target.id);
            self.by_service.entry(target.spec.service.clone()).or_default().push(target.id);
        }
    }

    /// Returns what has changed since a revision; everything when that cannot be told any more.
    #[must_use]
    pub fn delta_since(&self, now: Timestamp, since: Revision) -> Delta {
        let whole = since == 0 || since < self.forgotten;
        let since = if whole { 0 } else { since };
        let targets =
            self.targets.values().map(|target| VersionedEntry { revision: target.revision, entry: told(now, target) });
        let domains = self.domains.iter().map(|(domain, (revision, evacuated))| VersionedEntry {
            revision: *revision,
            entry: StoreEntry::Evacuated(domain.clone(), *evacuated),
        });
        let routing = self.routes.iter().filter_map(|routes| routes.told_since(since));
        let facts = targets.chain(domains).chain(routing).filter(|versioned| versioned.revision > since);
        Delta { since, revision: self.revision, is_snapshot: whole && self.whole, entries: facts.collect() }
    }

    /// Returns news of the store as it is told to peers, after it was applied here: of a configuration only what has
    /// changed.
    #[must_use]
    pub fn delta_for_peers(&self, delta: &Delta) -> Delta {
        let retell = |versioned: &VersionedEntry| match (&versioned.entry, &self.routes) {
            // Of several that came at once only the last is in force.
            (StoreEntry::Routing(_), Some(routes)) if versioned.revision < routes.revision() => None,
            (StoreEntry::Routing(_), Some(routes)) => routes.told_since(delta.since),
            _ => Some(versioned.clone()),
        };
        Delta { entries: delta.entries.iter().filter_map(retell).collect(), ..*delta }
    }
}

/// Returns a target as it is told to a peer: its cold time counts from now.
fn told(now: Timestamp, target: &Target) -> StoreEntry {
    if matches!(target.entry_state, EntryState::Missing(_)) {
        return StoreEntry::Left(target.id, target.spec.clone());
    }
    let cold_for = target.cold_until.saturating_sub(now);
    StoreEntry::Target(target.id, Some(TargetSpec { cold_for, ..target.spec.clone() }))
}

/// What a whole picture names.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Key {
    Target(TargetId),
    Domain(String),
}

fn key(fact: &StoreEntry) -> Option<Key> {
    match fact {
        StoreEntry::Target(id, _) | StoreEntry::Left(id, _) => Some(Key::Target(*id)),
        StoreEntry::Evacuated(domain, _) => Some(Key::Domain(domain.clone())),
        StoreEntry::Routing(_) | StoreEntry::RoutingChange(_) => None,
    }
}
