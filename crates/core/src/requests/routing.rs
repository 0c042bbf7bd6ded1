//! Selection of the coordinator for a request.
//!
//! A coordinator reports its number of free slots with each reply. That number is a hint and expires. The number of
//! requests sent to the coordinator and not yet answered is exact, and is subtracted from the hint. Coordinators in
//! this instance's own failure domain are preferred while they have free slots.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::Timestamp;
use crate::catalog::DomainIndex;
use crate::catalog::GroupId;
use crate::view::View;
use hawthornshift_model::InstanceId;

/// Age at which a reported number of free slots is no longer used.
const FREE_SLOTS_HINT_LIFETIME: Duration = Duration::from_millis(500);

/// An instance that coordinates targets of a group.
#[derive(Clone, Copy, Debug)]
struct CandidateCoordinator {
    id: InstanceId,
    domain: DomainIndex,
    slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct FreeSlotsHint {
    free: u32,
    at: Timestamp,
}

/// Coordinators of each target group, with estimates of their free slots.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorSelector {
    coordinators: BTreeMap<GroupId, Vec<CandidateCoordinator>>,
    free_slots_hints: BTreeMap<(InstanceId, GroupId), FreeSlotsHint>,
    outstanding: BTreeMap<(InstanceId, GroupId), u32>,
    own_domain: Option<DomainIndex>,
}

impl CoordinatorSelector {
    /// Determines the coordinators under a view.
    pub fn view_changed(&mut self, view: &View, own_domain: &str) {
        let catalog = view.catalog();
        self.own_domain = catalog.domain_index(own_domain);
        self.coordinators.clear();
        for target in catalog.targets().filter(|target| !target.leaving) {
            let Some(coordinator) = view.coordinator(target.id) else { continue };
            let candidates = self.coordinators.entry(target.group_id).or_default();
            match candidates
                .iter_mut()
                .find(|candidate| candidate.id == coordinator && candidate.domain == target.domain)
            {
                Some(candidate) => candidate.slots += target.slots,
                None => candidates.push(CandidateCoordinator {
                    id: coordinator,
                    domain: target.domain,
                    slots: target.slots,
                }),
            }
        }
    }

    /// Selects a coordinator of a group that has not been tried; `spare` is the number of free slots of this instance,
    /// `me`.
    pub fn choose(
        &self,
        now: Timestamp,
        group: GroupId,
        tried_coordinators: &[InstanceId],
        me: InstanceId,
        spare: u32,
        rng: &mut SmallRng,
    ) -> Option<InstanceId> {
        let candidates =
            self.coordinators.get(&group)?.iter().filter(|candidate| !tried_coordinators.contains(&candidate.id));
        let ranked = candidates.map(|candidate| {
            let free_slots_estimate =
                if candidate.id == me { i64::from(spare) } else { self.free_slots_estimate(now, group, candidate) };
            let in_own_domain = free_slots_estimate > 0 && Some(candidate.domain) == self.own_domain;
            ((in_own_domain, free_slots_estimate, rng.random::<u32>()), candidate.id)
        });
        ranked.max_by_key(|(rank, _)| *rank).map(|(_, id)| id)
    }

    fn free_slots_estimate(&self, now: Timestamp, group: GroupId, candidate: &CandidateCoordinator) -> i64 {
        let key = (candidate.id, group);
        let latest_hint = self
            .free_slots_hints
            .get(&key)
            .filter(|latest_hint| now.saturating_sub(latest_hint.at) < FREE_SLOTS_HINT_LIFETIME);
        let free = latest_hint.map_or(candidate.slots, |latest_hint| latest_hint.free);
        i64::from(free) - i64::from(self.outstanding.get(&key).copied().unwrap_or(0))
    }

    /// Records that a request was forwarded to a coordinator.
    pub fn request_forwarded(&mut self, coordinator: InstanceId, group: GroupId) {
        *self.outstanding.entry((coordinator, group)).or_default() += 1;
    }

    /// Records that a coordinator has ended a forwarded request, and the number of free slots that it reported.
    pub fn request_ended(&mut self, now: Timestamp, coordinator: InstanceId, group: GroupId, free: Option<u32>) {
        if let Some(count) = self.outstanding.get_mut(&(coordinator, group)) {
            *count = count.saturating_sub(1);
        }
        if let Some(free) = free {
            self.free_slots_hints.insert((coordinator, group), FreeSlotsHint { free, at: now });
        }
    }
}
