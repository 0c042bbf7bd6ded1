//! Look-up tables of the targets by cookie, service and failure domain, and the slots in each.
//!
//! The tables follow each change of a target. A release replaces thousands of targets one after the other, and building
//! the tables anew for each change would cost each instance the square of their number.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::EntryState;
use super::Target;
use crate::direct::segment::Cookie;
use crate::maps::FixedHashMap;
use hawthornshift_model::TargetId;

/// Number of targets and of their slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Number of targets.
    pub targets: usize,
    /// Number of their slots; a target counts with at least one. [`u32::MAX`] if there are more.
    pub slots: u32,
}

/// Sum over targets, from which each of them can be subtracted again.
///
/// Other programs write entries with any number of slots. Their sum may exceed 32 bits, and a saturated sum would be
/// wrong once some of these targets have left.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CapacitySum {
    targets: usize,
    /// 64 bits hold the slots of 2^32 targets of any size.
    slots: u64,
}

impl CapacitySum {
    pub(super) fn add(&mut self, target: &Target) {
        self.targets += 1;
        self.slots += u64::from(target.spec.slots.max(1));
    }

    pub(super) fn add_sum(&mut self, other: Self) {
        self.targets += other.targets;
        self.slots += other.slots;
    }

    /// Subtracts a target in the state in which it was added.
    fn remove(&mut self, target: &Target) {
        self.targets -= 1;
        self.slots -= u64::from(target.spec.slots.max(1));
    }

    pub(super) fn capacity(self) -> Capacity {
        Capacity { targets: self.targets, slots: u32::try_from(self.slots).unwrap_or(u32::MAX) }
    }
}

/// The targets of a service in one failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainTargets {
    /// All of them, in ascending order.
    pub(super) ids: Vec<TargetId>,
    /// Those whose entry is listed, including the rare ones whose cookie identifies another target.
    pub(super) listed: CapacitySum,
}

/// The targets of a service by failure domain.
pub(super) type ServiceTargets = BTreeMap<String, DomainTargets>;

/// The look-up tables.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetIndex {
    /// The target that a cookie identifies: the one with the lowest id of those that share it.
    by_cookie: FixedHashMap<Cookie, TargetId>,
    /// Targets whose cookie identifies another one.
    shadowed: BTreeSet<(Cookie, TargetId)>,
    services: BTreeMap<String, ServiceTargets>,
}

impl TargetIndex {
    /// Returns the id of the target that a cookie identifies.
    pub(super) fn by_cookie(&self, cookie: Cookie) -> Option<TargetId> {
        self.by_cookie.get(&cookie).copied()
    }

    /// Returns the targets of a service by failure domain, or `None` if no target of the service is known.
    pub(super) fn service(&self, service: &str) -> Option<&ServiceTargets> {
        self.services.get(service)
    }

    /// Adds a target.
    pub(super) fn insert(&mut self, target: &Target) {
        let (cookie, id) = (target.cookie(), target.id);
        let first = *self.by_cookie.entry(cookie).or_insert(id);
        if first != id {
            self.by_cookie.insert(cookie, first.min(id));
            self.shadowed.insert((cookie, first.max(id)));
        }
        let domain = self.domain_mut(target);
        if let Err(position) = domain.ids.binary_search(&id) {
            domain.ids.insert(position, id);
        }
        if target.entry_state == EntryState::Listed {
            domain.listed.add(target);
        }
    }

    /// Removes a target in the state in which it was added.
    pub(super) fn remove(&mut self, target: &Target) {
        let (cookie, id) = (target.cookie(), target.id);
        let domain = self.domain_mut(target);
        if let Ok(position) = domain.ids.binary_search(&id) {
            domain.ids.remove(position);
        }
        if target.entry_state == EntryState::Listed {
            domain.listed.remove(target);
        }
        self.drop_empty(target);
        if self.shadowed.remove(&(cookie, id)) {
            return;
        }
        self.by_cookie.remove(&cookie);
        let next = self.shadowed.range((cookie, TargetId::MIN)..=(cookie, TargetId::MAX)).next().copied();
        if let Some((cookie, next)) = next {
            self.shadowed.remove(&(cookie, next));
            self.by_cookie.insert(cookie, next);
        }
    }

    fn domain_mut(&mut self, target: &Target) -> &mut DomainTargets {
        let service = self.services.entry(target.spec.service.clone()).or_default();
        service.entry(target.spec.failure_domain.clone()).or_default()
    }

    fn drop_empty(&mut self, target: &Target) {
        let Some(service) = self.services.get_mut(&target.spec.service) else { return };
        service.retain(|_, domain| !domain.ids.is_empty());
        if service.is_empty() {
            self.services.remove(&target.spec.service);
        }
    }
}
