//! The other instances: who serves, who watches the store, who is told of open work.
//!
//! Built on the product's [`Membership`]; what is added is the watch duty and the exchange of news.
//!
//! - `view_sync` paces the comparison of views.
//! - `store_news` is the way of the store's news from the watcher to all.
//! - `change_log` sums up for the log who has come and gone.

mod change_log;
mod store_news;
mod view_sync;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

pub use self::change_log::ChangeLog;
pub use self::change_log::ChangeSummary;
use self::store_news::Behind;
use self::view_sync::MAX_PARTS;
use self::view_sync::ViewSync;
use crate::Timestamp;
use crate::direct::load_report::LoadReport;
use crate::direct::message::Frame;
use crate::direct::message::Heartbeat;
use crate::direct::message::Message;
use crate::direct::readiness::REMOTE_SILENCE_LIMIT;
use crate::direct::store_entries::Delta;
use crate::direct::watch::RoleChange;
use crate::direct::watch::WatcherRole;
use crate::event::InstanceList;
use crate::event::ListedInstance;
use crate::membership::Identity;
use crate::membership::Membership;
use crate::membership::PeerView;
use crate::membership::ProbeMessage;
use crate::membership::ViewDigest;
use crate::message::MemberState;
use crate::message::MemberUpdate;
use crate::message::Sequence;
use crate::rendezvous;
use crate::tuning::Tuning;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;

/// Instances up to which all tell each other of open work; beyond it only those of one failure domain do.
///
/// Each note costs a datagram to every member of the group. At 9 instances and 375 flows a second that is 0.3 MB/s in
/// all; it grows with the square of the group.
const WHOLE_FLEET_GROUP: usize = 16;
/// Time between two rounds of pings to the seeds until a peer answers.
const SEED_PERIOD: Duration = Duration::from_millis(100);
/// Most seeds asked in one round; the platform names three at the most.
const MAX_SEEDS: usize = 8;
/// Time between two heartbeats to members. Several times the product's usual rate: an instance that joins or leaves
/// moves nearly all flows to others, which then count on each other's word.
const PING_PERIOD: Duration = Duration::from_millis(250);
/// Time after which a heartbeat is tried through others.
const PING_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a silent member is suspected before it counts as dead.
const SUSPICION: Duration = Duration::from_secs(1);
/// Time for which a view is trusted without word from any peer.
const LEASE: Duration = Duration::from_millis(900);
/// Shortest time between two changes of the instances that are told to the rest of the process. A whole fleet that starts
/// brings hundreds of changes, each of which would else be worked through by all that depend on who serves.
const CHANGE_PERIOD: Duration = Duration::from_millis(50);
/// Members that hear from an instance that it ends; heartbeats tell the others.
const MAX_LAST_WORDS: usize = 32;
/// Informed instances that are remembered: enough that those which start together do not all ask the same few.
const MAX_INFORMED: usize = 16;
/// Key by which instances are ranked for the watch duty.
const WATCH_KEY: u64 = 0x77_61_74_63_68;

/// What the fleet wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEffect {
    /// Send a datagram to several instances.
    Send(Vec<SocketAddr>, Frame),
    /// Begin or stop watching the store.
    RoleChange(RoleChange),
    /// An announcement has confirmed that nothing newer is known.
    UpToDate,
    /// Fetch everything newer than what is known from an instance.
    Pull(SocketAddr),
    /// Take over news of the store.
    ApplyDelta(Arc<Delta>),
    /// Take over a load report.
    ApplyLoadReport(LoadReport),
    /// The instances that serve have changed.
    Changed,
}

/// State of this instance's dealings with the others.
#[derive(Clone, Debug)]
pub struct Fleet {
    membership: Membership,
    watcher_role: WatcherRole,
    rng: SmallRng,
    next_seed_ping: Timestamp,
    contact: bool,
    started: Timestamp,
    /// When an instance of another failure domain was last heard; `None` before the first.
    heard_elsewhere: Option<Timestamp>,
    /// Instances that know what the store says, as they have said of late, the latest last.
    up_to_date_peers: VecDeque<SocketAddr>,
    /// The latest revision that a peer told of and that is not known here, if there is one.
    behind: Option<Behind>,
    view_sync: ViewSync,
    /// Whether the instances have changed since the rest of the process was told.
    changed: bool,
    next_change: Timestamp,
    /// Until when nothing is passed on, since the process was paused and what it reads may be old.
    no_relay_until: Timestamp,
}

impl Fleet {
    /// Starts at a time with the addresses of a few instances that may live.
    #[must_use]
    pub fn new(now: Timestamp, identity: Identity, seeds: &[SocketAddr]) -> Self {
        let tuning = Tuning::default().ping_period(PING_PERIOD).ping_timeout(PING_TIMEOUT);
        let tuning = tuning.suspicion(SUSPICION).lease(LEASE);
        let rng = SmallRng::seed_from_u64(u64::from(identity.id) ^ identity.incarnation);
        let mut membership = Membership::new(identity, tuning);
        membership.apply_instance_list(now, &list(seeds));
        Self {
            membership,
            watcher_role: WatcherRole::new(now),
            rng,
            next_seed_ping: now,
            contact: false,
            started: now,
            heard_elsewhere: None,
            up_to_date_peers: VecDeque::new(),
            behind: None,
            view_sync: ViewSync::default(),
            changed: false,
            next_change: now,
            no_relay_until: Timestamp::ZERO,
        }
    }

    /// Returns the watch duty.
    #[must_use]
    pub fn watcher_role(&self) -> &WatcherRole {
        &self.watcher_role
    }

    /// Returns the watch duty to be told of the store's answers.
    pub fn watcher_role_mut(&mut self) -> &mut WatcherRole {
        &mut self.watcher_role
    }

    /// Returns the other instances as they are known.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.membership.members()
    }

    /// Returns the numbers of the instances that serve, this one included.
    #[must_use]
    pub fn serving(&self) -> Vec<InstanceId> {
        self.membership.serving().map(|(seat, _)| seat.id).collect()
    }

    /// Tells whether other failure domains can be reached, as far as is known here: their instances have been heard of
    /// late, or there are none.
    ///
    /// One that has just started waits for a first word. If it counted on what it has not heard of, it alone would draw
    /// all callers back to a failure domain that can serve nobody.
    #[must_use]
    pub fn reaches_other_domains(&self, now: Timestamp) -> bool {
        if now.saturating_sub(self.heard_elsewhere.unwrap_or(self.started)) < REMOTE_SILENCE_LIMIT {
            return self.heard_elsewhere.is_some();
        }
        let domain = &self.membership.me().failure_domain;
        // The seeds' domains are not known before they answer.
        !self.membership.members().any(|member| member.failure_domain != *domain && !member.failure_domain.is_empty())
    }

    /// Tells whether the whole fleet tells each other of open work.
    #[must_use]
    pub fn is_one_group(&self) -> bool {
        self.membership.serving().count() <= WHOLE_FLEET_GROUP
    }

    /// Returns the numbers of the instances that tell each other of open work, this one included.
    #[must_use]
    pub fn group_ids(&self) -> Vec<InstanceId> {
        let whole = self.is_one_group();
        let domain = &self.membership.me().failure_domain;
        let inside = self.membership.serving().filter(|(_, of)| whole || of == domain);
        inside.map(|(seat, _)| seat.id).collect()
    }

    /// Returns where load reports go.
    #[must_use]
    pub fn group(&self) -> Vec<SocketAddr> {
        let whole = self.is_one_group();
        let domain = &self.membership.me().failure_domain;
        let alive = self.membership.members().filter(|member| member.state.is_reachable());
        alive.filter(|member| whole || member.failure_domain == *domain).map(|member| member.control).collect()
    }

    /// Returns instances that know what the store says.
    #[must_use]
    pub fn up_to_date_peers(&self) -> Vec<SocketAddr> {
        self.up_to_date_peers.iter().copied().collect()
    }

    /// Returns all instances that seem to live.
    #[must_use]
    pub fn reachable(&self) -> Vec<SocketAddr> {
        self.membership.reachable().map(|member| member.control).collect()
    }

    fn note_informed(&mut self, address: SocketAddr) {
        self.up_to_date_peers.retain(|known| *known != address);
        self.up_to_date_peers.push_back(address);
        if self.up_to_date_peers.len() > MAX_INFORMED {
            self.up_to_date_peers.pop_front();
        }
    }

    /// Declares this instance to be leaving.
    pub fn leave(&mut self, now: Timestamp) {
        self.membership.leave();
        self.watcher_role.leave(now);
    }

    /// Returns the last word to all members before the process ends.
    pub fn depart(&mut self) -> Vec<FleetEffect> {
        self.membership.depart();
        let (serving, view) = (self.count(), self.membership.digest().whole());
        let last = Heartbeat { sequence: 0, serving, view, revision: 0, age: Duration::ZERO, members: Vec::new() };
        let members = self.membership.reachable().map(|member| member.control);
        let addresses = members.choose_multiple(&mut self.rng, MAX_LAST_WORDS);
        if addresses.is_empty() { Vec::new() } else { vec![self.frame_for(addresses, Message::Ack(last))] }
    }

    /// Takes over the members that a peer has handed over to this instance when it started.
    pub fn add_members(&mut self, now: Timestamp, members: &[MemberUpdate]) -> Vec<FleetEffect> {
        self.membership.merge_updates(now, members);
        self.changes(now).into_iter().collect()
    }

    /// Returns the other instances for one that has just started.
    #[must_use]
    pub fn handover(&self) -> Vec<MemberUpdate> {
        self.membership.handover()
    }

    /// Takes in a datagram.
    pub fn frame(&mut self, now: Timestamp, frame: Frame, revision: Revision) -> Vec<FleetEffect> {
        let (sender, message) = match frame {
            Frame::LoadReport(report) => return vec![FleetEffect::ApplyLoadReport(report)],
            Frame::WithSender { sender, message } => (sender, message),
        };
        if sender.id == self.membership.me().id {
            return Vec::new();
        }
        self.contact = true;
        if sender.failure_domain != self.membership.me().failure_domain {
            self.heard_elsewhere = Some(now);
        }
        self.membership.message_received(now, &sender);
        let mut effects = self.message(now, &sender, message, revision);
        effects.extend(self.changes(now));
        effects
    }

    fn message(
        &mut self,
        now: Timestamp,
        sender: &MemberUpdate,
        message: Message,
        revision: Revision,
    ) -> Vec<FleetEffect> {
        let from = sender.id;
        match message {
            Message::Ping(heartbeat) => {
                let view = self.absorb(now, sender, &heartbeat, revision);
                let answer = self.heartbeat(now, from, heartbeat.sequence, revision, view);
                let answer = self.to(from, Message::Ack(answer));
                answer.into_iter().chain(self.compare_views(now, from, &heartbeat, view)).collect()
            }
            Message::Ack(heartbeat) => {
                let view = self.absorb(now, sender, &heartbeat, revision);
                let signal = self.membership.acknowledged(now, heartbeat.sequence, from);
                let signal = signal.and_then(|signal| self.signal(now, signal, revision));
                signal.into_iter().chain(self.compare_views(now, from, &heartbeat, view)).collect()
            }
            Message::ViewRequest(theirs) => self.answer_view_request(now, from, &theirs),
            Message::ViewPart(members) => {
                self.absorb_view(now, &members);
                Vec::new()
            }
            Message::IndirectPing { sequence, subject } => {
                self.membership.merge_update(now, &subject);
                let signal = self.membership.ping_for(now, subject.id, from, sequence);
                signal.into_iter().filter_map(|signal| self.signal(now, signal, revision)).collect()
            }
            Message::IndirectAck { sequence, subject } => {
                self.membership.acknowledged_indirectly(now, sequence, subject);
                Vec::new()
            }
            Message::StoreUpdate(news) => self.store_news(now, sender, &news, revision),
        }
    }

    /// Takes over what a heartbeat brings, and tells how its sender's view compares to the one here.
    fn absorb(&mut self, now: Timestamp, sender: &MemberUpdate, heartbeat: &Heartbeat, revision: Revision) -> PeerView {
        self.membership.merge_updates(now, &heartbeat.members);
        if heartbeat.revision > 0 {
            self.note_informed(sender.control);
            self.watcher_role.hear_of(now, heartbeat.age);
        }
        self.note_behind(now, heartbeat.revision, sender.control, revision);
        if heartbeat.view == self.membership.digest().whole() { PeerView::Same } else { PeerView::Differs }
    }

    /// Asks a peer whose view differs for what is unknown here, if it is time to.
    fn compare_views(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        heartbeat: &Heartbeat,
        view: PeerView,
    ) -> Option<FleetEffect> {
        let ours = self.count();
        let asks = self.view_sync.asks_sender(now, view, heartbeat.serving, ours);
        asks.then(|| self.view_request(from)).flatten()
    }

    fn view_request(&self, to: InstanceId) -> Option<FleetEffect> {
        self.to(to, Message::ViewRequest(self.membership.digest()))
    }

    /// Asks any member for what is unknown here, while a whole fleet is getting to know itself.
    fn ask_for_view(&mut self, now: Timestamp) -> Option<FleetEffect> {
        if !self.view_sync.asks_anybody(now) {
            return None;
        }
        let to = self.membership.reachable().map(|member| member.id).choose(&mut self.rng)?;
        self.view_request(to)
    }

    fn absorb_view(&mut self, now: Timestamp, members: &[MemberUpdate]) {
        let before = self.membership.digest();
        self.membership.merge_updates(now, members);
        if self.membership.digest() != before {
            self.view_sync.gained();
        }
    }

    fn answer_view_request(&mut self, now: Timestamp, from: InstanceId, theirs: &ViewDigest) -> Vec<FleetEffect> {
        if !self.view_sync.answers(now) {
            return Vec::new();
        }
        let parts = self.membership.missing(&mut self.rng, theirs, MAX_PARTS);
        parts.into_iter().filter_map(|part| self.to(from, Message::ViewPart(part))).collect()
    }

    fn count(&self) -> u32 {
        u32::try_from(self.membership.serving().count()).unwrap_or(u32::MAX)
    }

    fn heartbeat(
        &mut self,
        now: Timestamp,
        to: InstanceId,
        sequence: Sequence,
        revision: Revision,
        view: PeerView,
    ) -> Heartbeat {
        let members = self.membership.piggyback_updates(to, view);
        let (serving, view) = (self.count(), self.membership.digest().whole());
        Heartbeat { sequence, serving, view, revision, age: self.watcher_role.age(now), members }
    }

    fn to(&self, to: InstanceId, message: Message) -> Option<FleetEffect> {
        let address = self.membership.member(to)?.control;
        Some(self.frame_for(vec![address], message))
    }

    fn frame_for(&self, addresses: Vec<SocketAddr>, message: Message) -> FleetEffect {
        FleetEffect::Send(addresses, Frame::WithSender { sender: self.membership.me().clone(), message })
    }

    fn signal(&mut self, now: Timestamp, signal: ProbeMessage, revision: Revision) -> Option<FleetEffect> {
        match signal {
            ProbeMessage::Ping { to, sequence } => {
                let beat = self.heartbeat(now, to, sequence, revision, PeerView::Unknown);
                self.to(to, Message::Ping(beat))
            }
            ProbeMessage::IndirectPing { to, sequence, subject } => {
                let subject = self.membership.member(subject)?.clone();
                self.to(to, Message::IndirectPing { sequence, subject })
            }
            ProbeMessage::IndirectAck { to, sequence, subject } => {
                self.to(to, Message::IndirectAck { sequence, subject })
            }
        }
    }

    fn changes(&mut self, now: Timestamp) -> Option<FleetEffect> {
        self.changed |= !self.membership.take_changes().is_empty();
        if self.membership.superseded() {
            self.membership.outlive();
        }
        // Nothing here is void because others counted this instance as dead for a while.
        let _ = self.membership.take_declared_dead();
        if !self.changed || now < self.next_change {
            return None;
        }
        self.changed = false;
        self.next_change = now + CHANGE_PERIOD;
        Some(FleetEffect::Changed)
    }

    /// Does what is due: heartbeats, the watch duty, announcements.
    pub fn tick(&mut self, now: Timestamp, revision: Revision) -> Vec<FleetEffect> {
        let mut effects = Vec::new();
        if !self.contact && now >= self.next_seed_ping {
            self.next_seed_ping = now + SEED_PERIOD;
            let signals = self.membership.refresh(now, &mut self.rng, MAX_SEEDS);
            effects.extend(signals.into_iter().filter_map(|signal| self.signal(now, signal, revision)));
        }
        let signals = self.membership.tick(now, &mut self.rng);
        effects.extend(signals.into_iter().filter_map(|signal| self.signal(now, signal, revision)));
        effects.extend(self.catch_up(now, revision));
        effects.extend(self.ask_for_view(now));
        effects.extend(self.watcher_role.tick(now, self.rank()).map(FleetEffect::RoleChange));
        if let Some(announcement) = self.watcher_role.announcement(now, revision) {
            effects.extend(self.tell_everybody(announcement, revision, None));
        }
        effects.extend(self.changes(now));
        effects
    }

    /// Returns how many instances that serve go before this one for the watch duty.
    #[must_use]
    pub fn rank(&self) -> u32 {
        let mine = rank_key(self.membership.me().id);
        let alive = self.membership.members().filter(|member| member.state == MemberState::Alive);
        u32::try_from(alive.filter(|member| rank_key(member.id) > mine).count()).unwrap_or(u32::MAX)
    }
}

/// Returns what instances are ranked by for the watch duty; the highest goes first.
fn rank_key(id: InstanceId) -> (u64, InstanceId) {
    (rendezvous::score(WATCH_KEY, u64::from(id)), id)
}

/// Returns the number of the instance at an address.
#[must_use]
pub fn instance_id(address: SocketAddr) -> InstanceId {
    match address {
        SocketAddr::V4(address) => u32::from(*address.ip()),
        SocketAddr::V6(address) => {
            let octets = address.ip().octets();
            u32::from_be_bytes([octets[12], octets[13], octets[14], octets[15]])
        }
    }
}

fn list(seeds: &[SocketAddr]) -> InstanceList {
    let instances = seeds.iter().map(|&address| ListedInstance {
        id: instance_id(address),
        failure_domain: String::new(),
        control: address,
        forward: address,
        leaving: false,
    });
    InstanceList { version: 1, instances: instances.collect() }
}
