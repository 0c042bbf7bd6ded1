//! The way of the store's news from the instance that watches it to all others.
//!
//! In a small fleet the watcher tells each instance itself. In a large one that would fill its link, so it tells a few in
//! each failure domain, and each of these passes the news on to some neighbours. Who passes on is drawn anew each time, so
//! that an instance which hangs or has just died keeps its neighbours from one announcement and not from the next. What is
//! too large for a datagram travels the same way: those who pass on fetch it from the watcher, the others from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::Fleet;
use super::FleetEffect;
use super::rank_key;
use crate::Timestamp;
use crate::direct::message::Announcement;
use crate::direct::message::Message;
use crate::direct::message::StoreUpdate;
use crate::direct::store_entries::Delta;
use crate::message::MemberState;
use crate::message::MemberUpdate;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;

/// Members up to which the watcher tells each of them itself.
const MAX_DIRECT: usize = 24;
/// Most members that one instance passes news on to, itself included. Their number is about the square root of the fleet's
/// size, which makes the watcher's part and everybody else's alike.
const RELAY_SHARE: usize = 18;
/// Time for which an instance waits for the news itself when it hears that it is behind from one that cannot hand it over
/// at once. In nearly all cases the news arrives within milliseconds.
const BEHIND_WAIT: Duration = Duration::from_millis(200);
/// Time after a pause of the process in which it passes nothing on: what it reads then may be as old as the pause was long.
const NO_RELAY: Duration = Duration::from_millis(100);

/// News that another instance has and this one lacks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Behind {
    revision: Revision,
    /// Who has it.
    from: SocketAddr,
    /// When it is asked for.
    ask_at: Timestamp,
}

impl Fleet {
    /// Returns the messages that tell everybody what the store has just said; `delta` only if it fits a datagram.
    pub fn push(&mut self, now: Timestamp, revision: Revision, delta: Option<Arc<Delta>>) -> Vec<FleetEffect> {
        self.watcher_role.announce_now(now);
        let Some(announcement) = self.watcher_role.announcement(now, revision) else { return Vec::new() };
        self.tell_everybody(announcement, revision, delta)
    }

    /// Notes that the process was paused.
    pub fn process_paused(&mut self, now: Timestamp) {
        self.no_relay_until = now + NO_RELAY;
    }

    pub(super) fn tell_everybody(
        &mut self,
        announcement: Announcement,
        revision: Revision,
        delta: Option<Arc<Delta>>,
    ) -> Vec<FleetEffect> {
        let news = StoreUpdate { watcher: None, announcement, delta, holds: revision, relay_to: Vec::new() };
        let mut members: Vec<&MemberUpdate> = self.membership.reachable().collect();
        if members.is_empty() {
            return Vec::new();
        }
        if members.len() <= MAX_DIRECT {
            let addresses = members.iter().map(|member| member.control).collect();
            return vec![self.frame_for(addresses, Message::StoreUpdate(news))];
        }
        members.shuffle(&mut self.rng);
        // Those believed to answer go first, since the first of each part passes the news on.
        members.sort_by_key(|member| member.state != MemberState::Alive);
        let mut domains: BTreeMap<&str, Vec<&MemberUpdate>> = BTreeMap::new();
        for member in members {
            domains.entry(member.failure_domain.as_str()).or_default().push(member);
        }
        let parts = domains.values().flat_map(|members| parts(members));
        parts.map(|(first, rest)| self.frame_for(vec![first], message(&news, rest))).collect()
    }

    /// Takes in what the watcher tells, by itself or by way of another instance.
    pub(super) fn store_news(
        &mut self,
        now: Timestamp,
        sender: &MemberUpdate,
        news: &StoreUpdate,
        revision: Revision,
    ) -> Vec<FleetEffect> {
        let watcher = news.watcher.clone().unwrap_or_else(|| sender.clone());
        if watcher.id == self.membership.me().id {
            return Vec::new();
        }
        self.membership.merge_update(now, &watcher);
        let learned = news.delta.as_ref().filter(|delta| delta.since <= revision).map(|delta| delta.revision);
        let reached = learned.map_or(revision, |learned| learned.max(revision));
        let mut effects: Vec<FleetEffect> = self.relay(now, &watcher, news, reached).into_iter().collect();
        effects.extend(news.delta.clone().map(FleetEffect::ApplyDelta));
        let before = rank_key(watcher.id) > rank_key(self.membership.me().id);
        let duty = self.watcher_role.receive(now, watcher.id, &news.announcement, before);
        effects.extend(duty.map(FleetEffect::RoleChange));
        self.note_informed(watcher.control);
        effects.extend(self.judge_announcement(now, sender, news, reached));
        effects
    }

    /// Passes news on to those named in it.
    fn relay(
        &self,
        now: Timestamp,
        watcher: &MemberUpdate,
        news: &StoreUpdate,
        holds: Revision,
    ) -> Option<FleetEffect> {
        if now < self.no_relay_until {
            return None;
        }
        let known = news.relay_to.iter().filter_map(|id| self.membership.member(*id));
        let addresses: Vec<SocketAddr> = known.map(|member| member.control).collect();
        let watcher = Some(watcher.clone());
        let relayed = StoreUpdate { watcher, holds, relay_to: Vec::new(), ..news.clone() };
        (!addresses.is_empty()).then(|| self.frame_for(addresses, Message::StoreUpdate(relayed)))
    }

    fn judge_announcement(
        &mut self,
        now: Timestamp,
        sender: &MemberUpdate,
        news: &StoreUpdate,
        revision: Revision,
    ) -> Option<FleetEffect> {
        let announced = news.announcement.revision;
        if announced <= revision {
            return Some(FleetEffect::UpToDate);
        }
        if news.holds >= announced {
            self.note_informed(sender.control);
            return Some(FleetEffect::Pull(sender.control));
        }
        self.note_behind(now, announced, sender.control, revision);
        None
    }

    /// Notes that a peer tells of a revision that is not known here.
    pub(super) fn note_behind(&mut self, now: Timestamp, told: Revision, from: SocketAddr, revision: Revision) {
        if told > self.behind.map_or(revision, |behind| behind.revision.max(revision)) {
            let ask_at = self.behind.map_or(now + BEHIND_WAIT, |behind| behind.ask_at);
            self.behind = Some(Behind { revision: told, from, ask_at });
        }
    }

    /// Asks for news that a peer told of and that has not come by itself.
    ///
    /// The watcher may take this instance for dead and tell it nothing, or its datagrams may be lost; without this,
    /// targets that leave would get new flows for as long as that lasts.
    pub(super) fn catch_up(&mut self, now: Timestamp, revision: Revision) -> Option<FleetEffect> {
        self.behind = self.behind.filter(|behind| behind.revision > revision);
        let behind = self.behind.as_mut().filter(|behind| now >= behind.ask_at)?;
        behind.ask_at = now + BEHIND_WAIT;
        Some(FleetEffect::Pull(behind.from))
    }
}

/// Splits a failure domain's members into the fewest parts of nearly the same size: who is told first, and the others.
fn parts(members: &[&MemberUpdate]) -> Vec<(SocketAddr, Vec<InstanceId>)> {
    let count = members.len().div_ceil(RELAY_SHARE);
    let (firsts, others) = members.split_at(count);
    let rest = |index: usize| others.iter().skip(index).step_by(count).map(|member| member.id).collect();
    firsts.iter().enumerate().map(|(index, first)| (first.control, rest(index))).collect()
}

fn message(news: &StoreUpdate, relay_to: Vec<InstanceId>) -> Message {
    Message::StoreUpdate(StoreUpdate { relay_to, ..news.clone() })
}
