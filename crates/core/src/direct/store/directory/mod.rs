//! Routes, targets and failure domains as known from the store, versioned by the store's revisions.
//!
//! A target is kept after its entry is removed. It continues to serve its open flows, possibly long after the store
//! dropped the entry, and a packet whose cookie is unknown would break its flow.

mod index;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Serialize;

pub use self::index::Capacity;
use self::index::CapacitySum;
use self::index::DomainTargets;
use self::index::TargetIndex;
use crate::Timestamp;
use crate::direct::segment::Cookie;
use crate::direct::store::parts;
use crate::direct::store::parts::PartPosition;
use crate::direct::store::parts::PartRequest;
use crate::direct::store::routes::ApplyOutcome;
use crate::direct::store::routes::Routes;
use crate::direct::store::store_entries::Delta;
use crate::direct::store::store_entries::Route;
use crate::direct::store::store_entries::Routing;
use crate::direct::store::store_entries::RoutingChange;
use crate::direct::store::store_entries::StoreEntry;
use crate::direct::store::store_entries::TargetSpec;
use crate::direct::store::store_entries::VersionedEntry;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// Minimum time for which a target is kept after its entry went missing. Flows live for up to a minute, and a target
/// that leaves serves them to their end.
const TARGET_RETENTION: Duration = Duration::from_secs(90);
/// Time for which a target may receive new flows after its entry went missing without being marked as draining.
///
/// Entries expire while their writers cannot reach the store, and are back within two seconds if the targets are alive.
/// Without this grace period, an outage of the store would remove working targets from the directory.
const EXPIRED_ENTRY_GRACE: Duration = Duration::from_secs(2);

/// State of a target's entry, which determines whether the target may receive new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum EntryState {
    /// The entry exists and the target serves.
    Listed,
    /// The target is about to leave.
    Draining,
    /// The entry has been missing since the given time.
    Missing(Timestamp),
}

/// A target and what is known of it.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// Id of the target.
    pub id: TargetId,
    /// Revision of the latest entry, or of its removal.
    pub revision: Revision,
    /// Contents of the latest entry.
    #[serde(rename = "facts")]
    pub spec: TargetSpec,
    /// Whether the entry exists and allows new flows.
    #[serde(rename = "standing")]
    pub entry_state: EntryState,
    /// End of the target's slow start.
    pub cold_until: Timestamp,
    /// When this instance first learned of this start of the target.
    pub known_since: Timestamp,
}

impl Target {
    /// Returns the target's cookie.
    #[must_use]
    pub fn cookie(&self) -> Cookie {
        cookie(self.id)
    }

    /// Returns whether the target's entry allows new flows.
    #[must_use]
    pub fn takes_flows(&self, now: Timestamp) -> bool {
        match self.entry_state {
            EntryState::Listed => true,
            EntryState::Draining => false,
            EntryState::Missing(since) => !self.spec.draining && now.saturating_sub(since) < EXPIRED_ENTRY_GRACE,
        }
    }

    /// Returns whether the target is in slow start.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }
}

/// Returns the cookie of a target: the low half of its id, with zero mapped to one because zero is not a valid cookie.
#[must_use]
pub fn cookie(id: TargetId) -> Cookie {
    let low = Cookie::try_from(id & u64::from(Cookie::MAX)).unwrap_or(Cookie::MAX);
    low.max(1)
}

/// Local copy of the store's contents.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    revision: Revision,
    /// Revision below which removed entries may have been discarded here.
    discarded_up_to: Revision,
    has_snapshot: bool,
    routes: Option<Routes>,
    /// Revision of the latest configuration difference that could not be applied, until that configuration or a later
    /// one is known.
    unapplied_revision: Option<Revision>,
    targets: BTreeMap<TargetId, Target>,
    index: TargetIndex,
    /// Targets without an entry, by the time at which it went missing.
    missing: BTreeSet<(Timestamp, TargetId)>,
    /// Number of times that a target was removed or a new start of it became known.
    replacements: u64,
    domains: BTreeMap<String, (Revision, bool)>,
    /// When this instance learned that a domain is evacuated.
    evacuated_since: BTreeMap<String, Timestamp>,
}

impl Directory {
    /// Returns the revision up to which the directory is complete.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether a full snapshot with a configuration has been received. Before that, the absence of a route or
    /// target does not mean that it does not exist.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.has_snapshot && self.routes.is_some()
    }

    /// Returns the revision to fetch changes from; zero to fetch a full snapshot.
    #[must_use]
    pub fn fetch_since(&self) -> Revision {
        if self.is_synced() && self.unapplied_revision.is_none() { self.revision } else { 0 }
    }

    /// Returns the version of the active configuration; zero before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.routing().map_or(0, |routing| routing.version)
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn routing(&self) -> Option<&Routing> {
        self.routes.as_ref().map(Routes::routing)
    }

    /// Returns the route for an address and port.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes.as_ref().and_then(|routes| routes.route(address))
    }

    /// Returns a target, including one whose entry was removed.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// Returns whether another target has taken over the address of one whose entry was removed.
    #[must_use]
    pub fn is_replaced(&self, id: TargetId) -> bool {
        let Some(former) = self.targets.get(&id) else { return false };
        if !matches!(former.entry_state, EntryState::Missing(_)) {
            return false;
        }
        let mut listed = self.targets.values().filter(|target| !matches!(target.entry_state, EntryState::Missing(_)));
        listed.any(|target| target.spec.address == former.spec.address)
    }

    /// Returns all known targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the target that a cookie identifies.
    #[must_use]
    pub fn by_cookie(&self, cookie: Cookie) -> Option<&Target> {
        self.index.by_cookie(cookie).and_then(|id| self.targets.get(&id))
    }

    /// Returns the targets of a service that may receive new flows, including those in slow start.
    pub fn candidates(&self, now: Timestamp, service: &str) -> impl Iterator<Item = &Target> {
        let domains = self.index.service(service).into_iter().flatten();
        domains.flat_map(move |(_, domain)| self.candidates_of(now, &domain.ids))
    }

    /// Returns those of the given targets that may receive new flows.
    pub fn candidates_of(&self, now: Timestamp, ids: &[TargetId]) -> impl Iterator<Item = &Target> {
        let targets = ids.iter().filter_map(|id| self.targets.get(id));
        targets.filter(move |target| self.is_candidate(now, target))
    }

    /// Returns the ids of a service's targets by failure domain, whether they may receive new flows or not.
    pub fn ids_by_domain(&self, service: &str) -> impl Iterator<Item = (&str, &[TargetId])> {
        let domains = self.index.service(service).into_iter().flatten();
        domains.map(|(domain, targets)| (domain.as_str(), targets.ids.as_slice()))
    }

    /// Returns the number and the slots of a service's targets that may receive new flows, for one failure domain or
    /// for all of them.
    #[must_use]
    pub fn capacity(&self, now: Timestamp, service: &str, domain: Option<&str>) -> Capacity {
        let Some(domains) = self.index.service(service) else { return Capacity::default() };
        let mut sum = CapacitySum::default();
        for (name, targets) in domains.iter().filter(|(name, _)| domain.is_none_or(|domain| domain == *name)) {
            sum.add_sum(self.domain_capacity(now, service, name, targets));
        }
        sum.capacity()
    }

    fn domain_capacity(&self, now: Timestamp, service: &str, domain: &str, targets: &DomainTargets) -> CapacitySum {
        if self.is_evacuated(domain) {
            return CapacitySum::default();
        }
        let mut capacity = targets.listed;
        let in_grace = self.missing.range((now.saturating_sub(EXPIRED_ENTRY_GRACE), TargetId::MIN)..);
        let in_grace = in_grace.filter_map(|(_, id)| self.targets.get(id));
        let of_domain = |target: &&Target| target.spec.service == service && target.spec.failure_domain == domain;
        in_grace.filter(of_domain).filter(|target| target.takes_flows(now)).for_each(|target| capacity.add(target));
        capacity
    }

    /// Returns how many times a target was removed or a new start of it became known. What is known of targets elsewhere
    /// has to be reviewed when this changes.
    #[must_use]
    pub fn replacements(&self) -> u64 {
        self.replacements
    }

    /// Returns whether any target of a service is known.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        self.index.service(service).is_some()
    }

    /// Returns the targets of all services that may receive new flows, including those in slow start.
    pub fn all_candidates(&self, now: Timestamp) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(move |target| self.is_candidate(now, target))
    }

    /// Returns whether a target is one of a service and may receive new flows.
    #[must_use]
    pub fn is_candidate_of(&self, now: Timestamp, id: TargetId, service: &str) -> bool {
        self.target(id).is_some_and(|target| target.spec.service == service && self.is_candidate(now, target))
    }

    fn is_candidate(&self, now: Timestamp, target: &Target) -> bool {
        target.takes_flows(now)
            && !self.is_evacuated(&target.spec.failure_domain)
            // If two ids share a cookie, only the target that the cookie resolves to can be served.
            && self.index.by_cookie(target.cookie()) == Some(target.id)
    }

    /// Returns the slow start duration of a target's service.
    #[must_use]
    pub fn cold_time(&self, target: TargetId) -> Duration {
        let service = self.targets.get(&target).map(|target| target.spec.service.as_str());
        let services = self.routing().map(|routing| routing.services.as_slice()).unwrap_or_default();
        let service_spec = services.iter().find(|spec| Some(spec.name.as_str()) == service);
        service_spec.map_or(Duration::ZERO, |spec| spec.cold_time)
    }

    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|(_, evacuated)| *evacuated)
    }

    /// Returns when this instance learned that a failure domain is evacuated, or `None` if it is not.
    #[must_use]
    pub fn evacuated_since(&self, domain: &str) -> Option<Timestamp> {
        self.evacuated_since.get(domain).copied()
    }

    /// Applies everything in `delta` that is newer than the local state, and returns whether anything changed.
    pub fn apply(&mut self, now: Timestamp, delta: &Delta) -> bool {
        let mut changed = false;
        let mut complete = true;
        let mut present = BTreeSet::new();
        for versioned in &delta.entries {
            if delta.is_snapshot {
                present.extend(entry_key(&versioned.entry));
            }
            let outcome = self.apply_entry(now, versioned);
            changed |= outcome == ApplyOutcome::Applied;
            complete &= outcome != ApplyOutcome::BaseMismatch;
        }
        self.unapplied_revision = self.unapplied_revision.filter(|unapplied_revision| {
            self.routes.as_ref().is_none_or(|routes| routes.revision() < *unapplied_revision)
        });
        if delta.is_snapshot {
            changed |= self.mark_absent_missing(now, delta.revision, &present);
        }
        // A difference that cannot be applied holds back only the revision of the delta that contains it. Otherwise an
        // instance that follows the store itself would remain at an old revision forever, and the instances that
        // receive its announcements would never detect what they missed.
        if delta.is_snapshot || (self.has_snapshot && complete && delta.since <= self.revision) {
            self.has_snapshot = true;
            self.revision = self.revision.max(delta.revision);
        }
        changed |= self.remove_expired(now);
        changed
    }

    fn apply_entry(&mut self, now: Timestamp, versioned: &VersionedEntry) -> ApplyOutcome {
        let revision = versioned.revision;
        let new = match &versioned.entry {
            StoreEntry::Target(id, Some(spec)) => self.apply_target(now, revision, *id, spec),
            StoreEntry::Target(id, None) => self.mark_missing(now, revision, *id),
            StoreEntry::RemovedTarget(id, spec) => self.apply_removed_target(now, revision, *id, spec),
            StoreEntry::Evacuated(domain, evacuated) => self.apply_domain(now, revision, domain, *evacuated),
            StoreEntry::Routing(routing) => return self.apply_routing(revision, routing),
            StoreEntry::RoutingChange(change) => return self.apply_routing_change(revision, change),
        };
        if new { ApplyOutcome::Applied } else { ApplyOutcome::AlreadyKnown }
    }

    fn apply_target(&mut self, now: Timestamp, revision: Revision, id: TargetId, spec: &TargetSpec) -> bool {
        let known = self.targets.get(&id);
        if known.is_some_and(|target| target.revision >= revision) {
            return false;
        }
        let same_start = known.filter(|target| target.spec.started_at_ms == spec.started_at_ms);
        let known_since = same_start.map_or(now, |target| target.known_since);
        let entry_state = if spec.draining { EntryState::Draining } else { EntryState::Listed };
        // The entry was written before it is read, so counting its remaining slow start from now never ends it too
        // early.
        let cold_until = if spec.cold_for.is_zero() { Timestamp::ZERO } else { now.saturating_add(spec.cold_for) };
        let spec = spec.clone();
        self.replacements += u64::from(known.is_some() && same_start.is_none());
        self.set_target(Target { id, revision, spec, entry_state, cold_until, known_since });
        true
    }

    fn mark_missing(&mut self, now: Timestamp, revision: Revision, id: TargetId) -> bool {
        let Some(target) = self.targets.get(&id).filter(|target| target.revision < revision) else { return false };
        let missing = matches!(target.entry_state, EntryState::Missing(_));
        let entry_state = if missing { target.entry_state } else { EntryState::Missing(now) };
        self.set_target(Target { revision, entry_state, ..target.clone() });
        true
    }

    /// Inserts or replaces a target.
    fn set_target(&mut self, target: Target) {
        self.remove_target(target.id);
        self.index.insert(&target);
        if let EntryState::Missing(since) = target.entry_state {
            self.missing.insert((since, target.id));
        }
        self.targets.insert(target.id, target);
    }

    fn remove_target(&mut self, id: TargetId) {
        let Some(target) = self.targets.remove(&id) else { return };
        self.index.remove(&target);
        if let EntryState::Missing(since) = target.entry_state {
            self.missing.remove(&(since, id));
        }
    }

    /// Applies a peer's copy of the last entry of a target that was removed from the store.
    fn apply_removed_target(&mut self, now: Timestamp, revision: Revision, id: TargetId, spec: &TargetSpec) -> bool {
        if self.targets.contains_key(&id) {
            return self.mark_missing(now, revision, id);
        }
        // It is unknown when the entry was removed, so the target gets no new flows: the grace period for expired
        // entries may be over.
        let spec = TargetSpec { draining: true, ..spec.clone() };
        let (entry_state, cold_until) = (EntryState::Missing(now), Timestamp::ZERO);
        self.set_target(Target { id, revision, spec, entry_state, cold_until, known_since: now });
        true
    }

    fn apply_domain(&mut self, now: Timestamp, revision: Revision, domain: &str, evacuated: bool) -> bool {
        let known = self.domains.get(domain).copied();
        if known.is_some_and(|(known, _)| known >= revision) {
            return false;
        }
        self.domains.insert(domain.to_owned(), (revision, evacuated));
        if evacuated {
            self.evacuated_since.entry(domain.to_owned()).or_insert(now);
        } else if self.evacuated_since.remove(domain).is_some() {
            self.mark_domain_cold(now, domain);
        }
        true
    }

    /// Puts the targets of a failure domain that returns into slow start, regardless of their entries.
    ///
    /// They have been idle, and an entry that reports the slow start may arrive after the end of the evacuation. With
    /// their full share of traffic in between, they would be overloaded.
    fn mark_domain_cold(&mut self, now: Timestamp, domain: &str) {
        let domain_targets = self.targets.values().filter(|target| target.spec.failure_domain == domain);
        let domain_targets: Vec<(TargetId, Duration)> =
            domain_targets.map(|target| (target.id, self.cold_time(target.id))).collect();
        for (id, cold_time) in domain_targets {
            if let Some(target) = self.targets.get_mut(&id) {
                target.cold_until = target.cold_until.max(now.saturating_add(cold_time));
            }
        }
    }

    fn apply_routing(&mut self, revision: Revision, routing: &Routing) -> ApplyOutcome {
        if let Some(routes) = &mut self.routes {
            return routes.replace(revision, routing);
        }
        self.routes = Some(Routes::new(revision, routing.clone()));
        ApplyOutcome::Applied
    }

    fn apply_routing_change(&mut self, revision: Revision, change: &RoutingChange) -> ApplyOutcome {
        let outcome =
            self.routes.as_mut().map_or(ApplyOutcome::BaseMismatch, |routes| routes.apply_difference(revision, change));
        if outcome == ApplyOutcome::BaseMismatch {
            self.unapplied_revision = self.unapplied_revision.max(Some(revision));
        }
        outcome
    }

    /// Marks the targets that a full snapshot does not contain as missing, and ends the evacuations that it does not
    /// contain.
    fn mark_absent_missing(&mut self, now: Timestamp, revision: Revision, present: &BTreeSet<EntryKey>) -> bool {
        let absent: Vec<TargetId> =
            self.targets.keys().copied().filter(|id| !present.contains(&EntryKey::Target(*id))).collect();
        let mut changed = false;
        for id in absent {
            changed |= self.mark_missing(now, revision, id);
        }
        let evacuated_domains: Vec<String> =
            self.domains.iter().filter(|(_, (_, evacuated))| *evacuated).map(|(d, _)| d.clone()).collect();
        for domain in
            evacuated_domains.into_iter().filter(|domain| !present.contains(&EntryKey::Domain(domain.clone())))
        {
            changed |= self.apply_domain(now, revision, &domain, false);
        }
        changed
    }

    /// Removes targets that have been missing for longer than any of their flows may live. Returns whether there were any.
    fn remove_expired(&mut self, now: Timestamp) -> bool {
        let before = self.missing.len();
        while let Some((_, id)) =
            self.missing.first().copied().filter(|(since, _)| now.saturating_sub(*since) > TARGET_RETENTION)
        {
            let revision = self.targets.get(&id).map_or(0, |target| target.revision);
            self.discarded_up_to = self.discarded_up_to.max(revision);
            self.remove_target(id);
            self.replacements += 1;
        }
        self.missing.len() != before
    }

    /// Returns what has changed since a revision, or a full snapshot if that is no longer known.
    #[must_use]
    pub fn delta_since(&self, now: Timestamp, since: Revision) -> Delta {
        self.part_since(now, since, PartRequest::WHOLE).0
    }

    /// Returns a part of [`Directory::delta_since`], and the position behind which the next part begins if there is one.
    ///
    /// The configuration and the evacuations are in the first part. Their revisions may be higher than those of targets in
    /// later parts, so only a peer that has all parts is complete.
    #[must_use]
    pub fn part_since(&self, now: Timestamp, since: Revision, part: PartRequest) -> (Delta, Option<PartPosition>) {
        let is_snapshot = since == 0 || since < self.discarded_up_to;
        let since = if is_snapshot { 0 } else { since };
        let mut entries = if part.is_first() { self.undivided_since(since) } else { Vec::new() };
        let mut bytes: usize = entries.iter().map(|versioned| parts::entry_bytes(&versioned.entry)).sum();
        let position = |target: &Target| PartPosition { revision: target.revision, target: target.id };
        let is_missing = |target: &&Target| target.revision > since && position(target) > part.after;
        let mut missing: Vec<&Target> = self.targets.values().filter(is_missing).collect();
        missing.sort_unstable_by_key(|target| position(target));
        let mut missing = missing.into_iter().peekable();
        let mut next = None;
        // Each part has at least one target, so that the next one advances.
        while let Some(target) = missing.next_if(|_| next.is_none() || bytes < part.max_bytes) {
            bytes += parts::target_bytes(&target.spec);
            entries.push(VersionedEntry { revision: target.revision, entry: entry_for_peer(now, target) });
            next = Some(position(target));
        }
        let next = next.filter(|_| missing.peek().is_some());
        let is_snapshot = is_snapshot && self.has_snapshot;
        (Delta { since, revision: self.revision, is_snapshot, entries }, next)
    }

    /// Returns the newer entries that are not divided into parts: the configuration and the evacuations.
    fn undivided_since(&self, since: Revision) -> Vec<VersionedEntry> {
        let domains = self.domains.iter().map(|(domain, (revision, evacuated))| VersionedEntry {
            revision: *revision,
            entry: StoreEntry::Evacuated(domain.clone(), *evacuated),
        });
        let routing = self.routes.iter().filter_map(|routes| routes.entry_since(since));
        domains.chain(routing).filter(|versioned| versioned.revision > since).collect()
    }

    /// Returns a delta of the store in the form sent to peers, after it was applied here: a configuration is reduced to
    /// its differences.
    #[must_use]
    pub fn delta_for_peers(&self, delta: &Delta) -> Delta {
        let convert = |versioned: &VersionedEntry| match (&versioned.entry, &self.routes) {
            // If a delta contains several configurations, only the latest is active.
            (StoreEntry::Routing(_), Some(routes)) if versioned.revision < routes.revision() => None,
            (StoreEntry::Routing(_), Some(routes)) => routes.entry_since(delta.since),
            _ => Some(versioned.clone()),
        };
        Delta { entries: delta.entries.iter().filter_map(convert).collect(), ..*delta }
    }
}

/// Returns a target's entry as sent to a peer, with the remaining slow start counted from now.
fn entry_for_peer(now: Timestamp, target: &Target) -> StoreEntry {
    if matches!(target.entry_state, EntryState::Missing(_)) {
        return StoreEntry::RemovedTarget(target.id, target.spec.clone());
    }
    let cold_for = target.cold_until.saturating_sub(now);
    StoreEntry::Target(target.id, Some(TargetSpec { cold_for, ..target.spec.clone() }))
}

/// Identifies an entry of a full snapshot.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EntryKey {
    Target(TargetId),
    Domain(String),
}

fn entry_key(entry: &StoreEntry) -> Option<EntryKey> {
    match entry {
        StoreEntry::Target(id, _) | StoreEntry::RemovedTarget(id, _) => Some(EntryKey::Target(*id)),
        StoreEntry::Evacuated(domain, _) => Some(EntryKey::Domain(domain.clone())),
        StoreEntry::Routing(_) | StoreEntry::RoutingChange(_) => None,
    }
}
