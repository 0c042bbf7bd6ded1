//! Distribution of store updates from the watcher to all other instances.
//!
//! In a small fleet the watcher sends to every instance directly. In a large one that would saturate its link, so it
//! sends to a few instances in each failure domain, and each of these relays the update to some neighbors. The relays
//! are drawn at random for each announcement, so an instance that hangs or has just failed makes its neighbors miss one
//! announcement but not the next. Updates that do not fit in a datagram propagate along the same path: relays fetch
//! them from the watcher, the others from their relay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use super::Fleet;
use super::FleetEffect;
use super::rank_key;
use crate::Timestamp;
use crate::direct::reports::message::Announcement;
use crate::direct::reports::message::Message;
use crate::direct::reports::message::StoreUpdate;
use crate::direct::store::store_entries::Delta;
use crate::message::MemberState;
use crate::message::MemberUpdate;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;

/// Maximum fleet size, in other members, up to which the watcher sends to each member directly.
const MAX_DIRECT_RECIPIENTS: usize = 24;
/// Maximum number of members that one relay serves, including itself. It is about the square root of the size of a
/// large fleet, so the watcher and each relay send to about the same number of instances.
const MAX_RELAY_GROUP_SIZE: usize = 18;
/// Delay before an instance fetches a newer revision from a peer that announced it but cannot provide it immediately.
/// In nearly all cases the update arrives by itself within milliseconds.
const FETCH_DELAY: Duration = Duration::from_millis(200);
/// Number of neighbors that an instance notifies of a revision that it had to request.
const MAX_NOTIFIED_NEIGHBORS: usize = 8;
/// Time after a pause of the process during which nothing is relayed, since messages read then may be as old as the
/// pause was long.
const RELAY_PAUSE: Duration = Duration::from_millis(100);

/// A revision that another instance announced and this one does not have yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingFetch {
    revision: Revision,
    /// The instance that announced it.
    from: SocketAddr,
    /// When to fetch it if it has not arrived.
    due_at: Timestamp,
    /// Whether it was requested since it did not arrive by itself.
    requested: bool,
}

impl PendingFetch {
    pub(super) fn due_at(self) -> Timestamp {
        self.due_at
    }
}

impl Fleet {
    /// Returns the messages that announce a change of the store to all instances. `delta` is included only if it fits
    /// in a datagram.
    pub fn publish_delta(&mut self, now: Timestamp, revision: Revision, delta: Option<Arc<Delta>>) -> Vec<FleetEffect> {
        self.watcher_role.announce_now(now);
        let Some(announcement) = self.watcher_role.announcement(now, revision) else { return Vec::new() };
        self.broadcast(now, announcement, revision, delta)
    }

    /// Records that the process was paused.
    pub fn process_paused(&mut self, now: Timestamp) {
        self.relay_paused_until = now + RELAY_PAUSE;
    }

    pub(super) fn broadcast(
        &mut self,
        now: Timestamp,
        announcement: Announcement,
        revision: Revision,
        delta: Option<Arc<Delta>>,
    ) -> Vec<FleetEffect> {
        let update =
            StoreUpdate { watcher: None, announcement, delta, sender_revision: revision, relay_to: Vec::new() };
        let mut members: Vec<&MemberUpdate> = self.membership.reachable().collect();
        let mut addresses: Vec<SocketAddr> = members.iter().map(|member| member.control).collect();
        let starting = self.starting_peers.without(now, &addresses);
        if members.len() <= MAX_DIRECT_RECIPIENTS {
            addresses.extend(starting);
            let update = (!addresses.is_empty()).then(|| self.send_to(addresses, Message::StoreUpdate(update)));
            return update.into_iter().collect();
        }
        members.shuffle(&mut self.rng);
        // Responsive members are ordered first, because the first members of each group act as relays.
        members.sort_by_key(|member| member.state != MemberState::Alive);
        let mut domains: BTreeMap<&str, Vec<&MemberUpdate>> = BTreeMap::new();
        for member in members {
            domains.entry(member.failure_domain.as_str()).or_default().push(member);
        }
        let relay_groups = domains.values().flat_map(|members| relay_groups(members));
        let groups = relay_groups.map(|(relay, recipients)| (vec![relay], recipients));
        let starting = (!starting.is_empty()).then_some((starting, Vec::new()));
        let sends = groups.chain(starting);
        sends.map(|(to, recipients)| self.send_to(to, update_message(&update, recipients))).collect()
    }

    /// Handles an update received from the watcher, directly or through a relay.
    pub(super) fn handle_store_update(
        &mut self,
        now: Timestamp,
        sender: &MemberUpdate,
        update: &StoreUpdate,
        revision: Revision,
    ) -> Vec<FleetEffect> {
        let watcher = update.watcher.clone().unwrap_or_else(|| sender.clone());
        if watcher.id == self.membership.me().id {
            return Vec::new();
        }
        self.membership.merge_update(now, &watcher);
        let delta_revision = update.delta.as_ref().filter(|delta| delta.since <= revision).map(|delta| delta.revision);
        let known_revision = delta_revision.map_or(revision, |delta_revision| delta_revision.max(revision));
        let relayed = self.relay(now, &watcher, update, known_revision, revision);
        let mut effects: Vec<FleetEffect> = relayed.into_iter().collect();
        effects.extend(update.delta.clone().map(FleetEffect::ApplyDelta));
        let ranks_before = rank_key(watcher.id) > rank_key(self.membership.me().id);
        let role_change = self.watcher_role.receive(now, watcher.id, &update.announcement, ranks_before);
        effects.extend(role_change.map(FleetEffect::RoleChange));
        if revision == 0 {
            // All instances that start together receive the announcement, and the watcher could not serve them all.
            self.announced_by = Some(watcher.control);
            return effects;
        }
        self.record_up_to_date_peer(watcher.control);
        effects.extend(self.check_announcement(now, sender, update, known_revision));
        effects
    }

    /// Relays an update to the members listed in it, and one that is newer than revision `known_before` to instances that
    /// have just received their state from this one.
    fn relay(
        &self,
        now: Timestamp,
        watcher: &MemberUpdate,
        update: &StoreUpdate,
        sender_revision: Revision,
        known_before: Revision,
    ) -> Option<FleetEffect> {
        if now < self.relay_paused_until {
            return None;
        }
        let known = update.relay_to.iter().filter_map(|id| self.membership.member(*id));
        let mut addresses: Vec<SocketAddr> = known.map(|member| member.control).collect();
        if update.announcement.revision > known_before {
            addresses.extend(self.starting_peers.without(now, &addresses));
        }
        let watcher = Some(watcher.clone());
        let relayed = StoreUpdate { watcher, sender_revision, relay_to: Vec::new(), ..update.clone() };
        (!addresses.is_empty()).then(|| self.send_to(addresses, Message::StoreUpdate(relayed)))
    }

    fn check_announcement(
        &mut self,
        now: Timestamp,
        sender: &MemberUpdate,
        update: &StoreUpdate,
        revision: Revision,
    ) -> Option<FleetEffect> {
        let announced = update.announcement.revision;
        self.directory_lag.record_report(now, sender.id, sender.control, update.sender_revision);
        self.directory_lag.heard_of(now, announced, revision);
        if announced <= revision {
            return Some(FleetEffect::UpToDate);
        }
        if update.sender_revision >= announced {
            self.record_up_to_date_peer(sender.control);
            return self.directory_lag.take_pull(now, sender.control).map(FleetEffect::Pull);
        }
        self.schedule_fetch(now, announced, sender.control, revision);
        None
    }

    /// Records that a peer announced a revision that is not known here.
    pub(super) fn schedule_fetch(&mut self, now: Timestamp, announced: Revision, from: SocketAddr, revision: Revision) {
        self.directory_lag.heard_of(now, announced, revision);
        if announced > self.pending_fetch.map_or(revision, |pending_fetch| pending_fetch.revision.max(revision)) {
            let due_at = self.pending_fetch.map_or(now + FETCH_DELAY, |pending_fetch| pending_fetch.due_at);
            let requested = self.pending_fetch.is_some_and(|pending_fetch| pending_fetch.requested);
            self.pending_fetch = Some(PendingFetch { revision: announced, from, due_at, requested });
        }
    }

    /// Requests a revision that a peer announced and that has not arrived by itself.
    ///
    /// The watcher may have declared this instance dead and send it nothing, or its datagrams may be lost. Without this
    /// request, leaving targets would receive new flows for as long as that lasts.
    pub(super) fn due_fetch(&mut self, now: Timestamp, revision: Revision) -> Vec<FleetEffect> {
        let arrived = self.pending_fetch.take_if(|pending_fetch| pending_fetch.revision <= revision);
        if arrived.is_some_and(|pending_fetch| pending_fetch.requested) {
            return self.notify_neighbors(now, revision);
        }
        let Some(pending_fetch) = self.pending_fetch.as_mut().filter(|it| now >= it.due_at) else { return Vec::new() };
        pending_fetch.due_at = now + FETCH_DELAY;
        pending_fetch.requested = true;
        let from = pending_fetch.from;
        self.directory_lag.take_pull(now, from).map(FleetEffect::Pull).into_iter().collect()
    }

    /// Sends a heartbeat to a few members of the own failure domain after a revision had to be requested.
    ///
    /// Announcements probably do not reach this domain. Its other instances would learn of the revision only when one
    /// that has it happens to exchange a heartbeat with them, and the last of them after more than a second.
    fn notify_neighbors(&mut self, now: Timestamp, revision: Revision) -> Vec<FleetEffect> {
        let domain = self.membership.me().failure_domain.as_str();
        let neighbors = self.membership.reachable().filter(|member| member.failure_domain == domain);
        let ids = neighbors.map(|member| member.id).choose_multiple(&mut self.rng, MAX_NOTIFIED_NEIGHBORS);
        self.send_heartbeats(now, &ids, revision)
    }
}

/// Splits the members of a failure domain into the fewest groups of nearly equal size. Returns each group as its
/// relay's address and the ids of the other members.
fn relay_groups(members: &[&MemberUpdate]) -> Vec<(SocketAddr, Vec<InstanceId>)> {
    let count = members.len().div_ceil(MAX_RELAY_GROUP_SIZE);
    let (relays, others) = members.split_at(count);
    let recipients = |index: usize| others.iter().skip(index).step_by(count).map(|member| member.id).collect();
    relays.iter().enumerate().map(|(index, relay)| (relay.control, recipients(index))).collect()
}

fn update_message(update: &StoreUpdate, relay_to: Vec<InstanceId>) -> Message {
    Message::StoreUpdate(StoreUpdate { relay_to, ..update.clone() })
}
