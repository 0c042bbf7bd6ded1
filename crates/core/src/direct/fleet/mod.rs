//! The other instances: which of them serve, which one watches the store, and which exchange load reports.
//!
//! Adds the store watcher role and the exchange of store updates to the product's [`Membership`].
//!
//! - `view_sync` limits how often instances compare their views.
//! - `starting_peers` lists the instances that have just received their state from this one.
//! - `store_updates` distributes the watcher's store updates to all instances.
//! - `change_log` summarizes membership changes for the log.

mod change_log;
mod starting_peers;
mod store_updates;
mod view_sync;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

pub use self::change_log::ChangeLog;
pub use self::change_log::ChangeSummary;
use self::starting_peers::StartingPeers;
use self::store_updates::PendingFetch;
use self::view_sync::MAX_VIEW_PARTS;
use self::view_sync::ViewSync;
use crate::Timestamp;
use crate::direct::flow_bindings::FlowBinding;
use crate::direct::flow_bindings::FlowBindingReport;
use crate::direct::lifecycle::bootstrap::Discovery;
use crate::direct::lifecycle::readiness::REMOTE_SILENCE_LIMIT;
use crate::direct::reports::answer_time_report::AnswerTimeReport;
use crate::direct::reports::capacity_report::CapacityReport;
use crate::direct::reports::load_report::LoadReport;
use crate::direct::reports::message::Frame;
use crate::direct::reports::message::Heartbeat;
use crate::direct::reports::message::Message;
use crate::direct::store::directory_lag::DirectoryLag;
use crate::direct::store::directory_lag::MissingRevision;
use crate::direct::store::store_entries::Delta;
use crate::direct::store::watch::RoleChange;
use crate::direct::store::watch::WatcherRole;
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

/// Largest fleet, in instances, that forms a single load report group; in larger fleets each failure domain is its own
/// group.
///
/// Each report costs a datagram to every member of the group. At 9 instances and 375 flows per second that is 0.3 MB/s
/// in total, and it grows with the square of the group size.
const MAX_SINGLE_GROUP_SIZE: usize = 16;
/// Time between two rounds of pings to the seeds until a peer responds. It is short, since nothing can be served before
/// and seeds that have not started yet do not notice.
const SEED_PING_PERIOD: Duration = Duration::from_millis(20);
/// Maximum number of seeds pinged per round; the platform lists at most three.
const MAX_SEED_PINGS: usize = 8;
/// Time between two pings to members. This is several times faster than the product's default: an instance that joins
/// or leaves moves nearly all flows to other instances, which then rely on each other's reports.
const PING_PERIOD: Duration = Duration::from_millis(250);
/// Time without an ack after which a ping is retried through other instances.
const PING_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which an unresponsive member stays suspected before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which the membership view is trusted without a message from any peer.
const VIEW_LEASE: Duration = Duration::from_millis(900);
/// Minimum time between two notifications of the rest of the process that the serving instances changed. A whole fleet
/// that starts brings hundreds of changes, and each notification makes everything that depends on the serving instances
/// recompute its state.
const MIN_CHANGE_PERIOD: Duration = Duration::from_millis(50);
/// Maximum number of members that are notified directly when this instance shuts down; the others learn of it from
/// heartbeats.
const MAX_DEPARTURE_NOTICES: usize = 32;
/// Maximum number of up-to-date peers to keep. It is large enough that instances which start together do not all
/// contact the same few peers.
const MAX_UP_TO_DATE_PEERS: usize = 16;
/// Fraction of the requests for the state that may go to another failure domain although a peer in the own one has it.
const FAR_SOURCE_FRACTION: f64 = 0.25;
/// Time for which a peer's report that it has no state counts. A peer that still has none reports it several times in
/// between.
const STATELESS_PEER_VALIDITY: Duration = Duration::from_millis(500);
/// Key of the rendezvous hash that ranks instances for the watcher role.
const WATCHER_RANK_KEY: u64 = 0x77_61_74_63_68;

/// An action that the fleet requests from the process.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEffect {
    /// Send a datagram to several instances.
    Send(Vec<SocketAddr>, Frame),
    /// Start or stop watching the store.
    RoleChange(RoleChange),
    /// An announcement confirmed that no newer revision is known.
    UpToDate,
    /// Fetch everything newer than the local revision from an instance. The start and the end of the request are to be
    /// passed to [`Fleet::pull_started`] and [`Fleet::pull_finished`].
    Pull(SocketAddr),
    /// Apply a delta of the store.
    ApplyDelta(Arc<Delta>),
    /// Apply a load report.
    ApplyLoadReport(LoadReport),
    /// Apply an answer-time report.
    ApplyAnswerTimes(AnswerTimeReport),
    /// Apply a capacity report.
    ApplyCapacityReport(CapacityReport),
    /// Apply a report of flow bindings.
    ApplyFlowBindings(FlowBindingReport),
    /// The set of serving instances changed.
    Changed,
}

/// This instance's view of the other instances and its part in the protocol between them.
#[derive(Clone, Debug)]
pub struct Fleet {
    membership: Membership,
    watcher_role: WatcherRole,
    rng: SmallRng,
    next_seed_ping: Timestamp,
    has_contact: bool,
    started_at: Timestamp,
    /// When the last message from another failure domain arrived; `None` before the first.
    last_remote_domain_message: Option<Timestamp>,
    /// Peers that recently reported a store revision, most recent last.
    up_to_date_peers: VecDeque<SocketAddr>,
    /// The sender of the latest announcement that arrived before this instance had any state.
    announced_by: Option<SocketAddr>,
    /// Largest number of serving instances that a peer has reported.
    largest_report: u32,
    /// Peers that recently reported that they have no state, and when.
    stateless_peers: BTreeMap<InstanceId, Timestamp>,
    /// The highest revision that a peer announced and that is not known here yet, if any.
    pending_fetch: Option<PendingFetch>,
    directory_lag: DirectoryLag,
    starting_peers: StartingPeers,
    view_sync: ViewSync,
    /// Whether the set of serving instances changed since the rest of the process was last notified.
    change_pending: bool,
    next_change_at: Timestamp,
    /// Until when nothing is relayed: the process was paused, so received messages may be old.
    relay_paused_until: Timestamp,
}

impl Fleet {
    /// Creates the state at `now`, with the addresses of a few instances that may be running.
    #[must_use]
    pub fn new(now: Timestamp, identity: Identity, seeds: &[SocketAddr]) -> Self {
        let tuning = Tuning::default().ping_period(PING_PERIOD).ping_timeout(PING_TIMEOUT);
        let tuning = tuning.suspicion(SUSPICION_TIMEOUT).lease(VIEW_LEASE);
        let rng = SmallRng::seed_from_u64(u64::from(identity.id) ^ identity.incarnation);
        let first_source = usize::try_from(identity.id).unwrap_or_default();
        let mut membership = Membership::new(identity, tuning);
        membership.apply_instance_list(now, &seed_list(seeds));
        Self {
            membership,
            watcher_role: WatcherRole::new(now),
            rng,
            next_seed_ping: now,
            has_contact: false,
            started_at: now,
            last_remote_domain_message: None,
            up_to_date_peers: VecDeque::new(),
            announced_by: None,
            largest_report: 0,
            stateless_peers: BTreeMap::new(),
            pending_fetch: None,
            directory_lag: DirectoryLag::new(first_source),
            starting_peers: StartingPeers::default(),
            view_sync: ViewSync::default(),
            change_pending: false,
            next_change_at: now,
            relay_paused_until: Timestamp::ZERO,
        }
    }

    /// Returns the id of this instance.
    #[must_use]
    pub fn id(&self) -> InstanceId {
        self.membership.me().id
    }

    /// Returns the watcher role.
    #[must_use]
    pub fn watcher_role(&self) -> &WatcherRole {
        &self.watcher_role
    }

    /// Returns the watcher role mutably, for reporting the store's answers to it.
    pub fn watcher_role_mut(&mut self) -> &mut WatcherRole {
        &mut self.watcher_role
    }

    /// Records that a pull requested by [`FleetEffect::Pull`] has started.
    pub fn pull_started(&mut self, now: Timestamp, source: SocketAddr) {
        self.directory_lag.pull_started(now, source);
    }

    /// Records that such a pull has ended, successfully or not.
    pub fn pull_finished(&mut self, source: SocketAddr) {
        self.directory_lag.pull_finished(source);
    }

    /// Returns for how long this instance has known of a revision of the store that it does not have.
    #[must_use]
    pub fn behind_for(&self, now: Timestamp) -> Duration {
        self.directory_lag.behind_for(now)
    }

    /// Returns the lowest revision of the store that this instance lacks if most of its peers have it.
    #[must_use]
    pub fn missing_revision(&self, now: Timestamp) -> Option<MissingRevision> {
        self.directory_lag.missing_here(now)
    }

    /// Returns the other instances as they are known here.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.membership.members()
    }

    /// Returns the ids of the serving instances, including this one.
    #[must_use]
    pub fn serving(&self) -> Vec<InstanceId> {
        self.membership.serving().map(|(instance, _)| instance.id).collect()
    }

    /// Returns whether other failure domains are reachable as far as this instance can tell: it recently received a
    /// message from one, or there are none.
    ///
    /// An instance that has just started waits for a first message. If it assumed that domains without any message so
    /// far are reachable, it alone would attract all callers back to a failure domain that cannot serve anyone.
    #[must_use]
    pub fn reaches_other_domains(&self, now: Timestamp) -> bool {
        if now.saturating_sub(self.last_remote_domain_message.unwrap_or(self.started_at)) < REMOTE_SILENCE_LIMIT {
            return self.last_remote_domain_message.is_some();
        }
        let domain = &self.membership.me().failure_domain;
        // The failure domains of the seeds are unknown until they respond.
        !self.membership.members().any(|member| member.failure_domain != *domain && !member.failure_domain.is_empty())
    }

    /// Returns whether the whole fleet forms a single load report group.
    #[must_use]
    pub fn is_one_group(&self) -> bool {
        self.membership.serving_count() <= MAX_SINGLE_GROUP_SIZE
    }

    /// Returns the ids of the instances in this instance's load report group, including this one.
    #[must_use]
    pub fn group_ids(&self) -> Vec<InstanceId> {
        let one_group = self.is_one_group();
        let domain = &self.membership.me().failure_domain;
        let group_members =
            self.membership.serving().filter(|(_, failure_domain)| one_group || failure_domain == domain);
        group_members.map(|(instance, _)| instance.id).collect()
    }

    /// Returns the addresses that load reports are sent to.
    #[must_use]
    pub fn group(&self) -> Vec<SocketAddr> {
        let one_group = self.is_one_group();
        let domain = &self.membership.me().failure_domain;
        let alive = self.membership.members().filter(|member| member.state.is_reachable());
        alive.filter(|member| one_group || member.failure_domain == *domain).map(|member| member.control).collect()
    }

    /// Returns the addresses of the instances in other failure domains; none if the whole fleet is one group.
    #[must_use]
    pub fn other_domains(&self) -> Vec<SocketAddr> {
        if self.is_one_group() {
            return Vec::new();
        }
        let domain = &self.membership.me().failure_domain;
        let alive = self.membership.members().filter(|member| member.state.is_reachable());
        alive.filter(|member| member.failure_domain != *domain).map(|member| member.control).collect()
    }

    /// Returns the addresses of peers that know the store's contents: mostly only those of the own failure domain, if any
    /// of them does, since links between failure domains are expensive. They may be too busy, so it is not always so.
    pub fn up_to_date_peers(&mut self) -> Vec<SocketAddr> {
        let domain = &self.membership.me().failure_domain;
        let is_near = |address: &SocketAddr| {
            self.membership.member(instance_id(*address)).is_some_and(|member| member.failure_domain == *domain)
        };
        let near: Vec<SocketAddr> = self.up_to_date_peers.iter().copied().filter(is_near).collect();
        if near.is_empty() || self.rng.random_bool(FAR_SOURCE_FRACTION) {
            return self.up_to_date_peers.iter().copied().collect();
        }
        near
    }

    /// Returns the sender of the latest announcement that arrived before this instance had any state.
    #[must_use]
    pub fn announced_by(&self) -> Option<SocketAddr> {
        self.announced_by
    }

    /// Returns what this instance knows of the others that may read the store.
    #[must_use]
    pub fn discovery(&self) -> Discovery {
        let (key, _) = rank_key(self.membership.me().id);
        #[expect(clippy::cast_precision_loss, reason = "a few digits are enough")]
        let position = 1.0 - key as f64 / u64::MAX as f64;
        // Seeds stay in the view until a message arrives from them.
        let awaits_seeds = !self.has_contact && self.membership.members().next().is_some();
        let (known, reported) = (self.serving_count(), self.largest_report);
        Discovery { rank: self.rank(), position, known, reported, awaits_seeds }
    }

    /// Returns the messages that invite peers to ask this instance for its state, while several have none; `count` is the
    /// number of them that it can serve now. A single one learns from the answers to its pings whom to ask.
    pub fn invite(&mut self, now: Timestamp, revision: Revision, count: usize) -> Vec<FleetEffect> {
        self.stateless_peers.retain(|_, at| now.saturating_sub(*at) < STATELESS_PEER_VALIDITY);
        if self.stateless_peers.len() < 2 || revision == 0 {
            return Vec::new();
        }
        let peers = self.membership.reachable().filter(|member| !self.up_to_date_peers.contains(&member.control));
        let domain = self.membership.me().failure_domain.as_str();
        let (near, far): (Vec<_>, Vec<_>) = peers.partition(|member| member.failure_domain == domain);
        // Links between failure domains are expensive, so one handover of several goes there.
        let mut ids: Vec<InstanceId> = Vec::new();
        let near_count = count.saturating_sub(1).max(1).min(count);
        ids.extend(near.into_iter().map(|member| member.id).choose_multiple(&mut self.rng, near_count));
        ids.extend(far.into_iter().map(|member| member.id).choose_multiple(&mut self.rng, count - ids.len()));
        self.send_heartbeats(now, &ids, revision)
    }

    /// Returns heartbeats that answer no ping, from which their recipients learn of this instance's revision.
    fn send_heartbeats(&self, now: Timestamp, to: &[InstanceId], revision: Revision) -> Vec<FleetEffect> {
        let (serving, view) = (self.serving_count(), self.membership.digest().combined_hash());
        let age = self.watcher_role.age(now);
        let heartbeat = Heartbeat { sequence: 0, serving, view, revision, age, members: Vec::new() };
        to.iter().filter_map(|id| self.send_to_member(*id, Message::Ack(heartbeat.clone()))).collect()
    }

    /// Returns the addresses of all instances that appear to be alive.
    #[must_use]
    pub fn reachable(&self) -> Vec<SocketAddr> {
        self.membership.reachable().map(|member| member.control).collect()
    }

    fn record_up_to_date_peer(&mut self, address: SocketAddr) {
        self.up_to_date_peers.retain(|known| *known != address);
        self.up_to_date_peers.push_back(address);
        if self.up_to_date_peers.len() > MAX_UP_TO_DATE_PEERS {
            self.up_to_date_peers.pop_front();
        }
    }

    /// Marks this instance as leaving.
    pub fn leave(&mut self, now: Timestamp) {
        self.membership.leave();
        self.watcher_role.leave(now);
    }

    /// Returns the final messages to members before the process exits.
    pub fn announce_departure(&mut self) -> Vec<FleetEffect> {
        self.membership.depart();
        let (serving, view) = (self.serving_count(), self.membership.digest().combined_hash());
        let last = Heartbeat { sequence: 0, serving, view, revision: 0, age: Duration::ZERO, members: Vec::new() };
        let members = self.membership.reachable().map(|member| member.control);
        let addresses = members.choose_multiple(&mut self.rng, MAX_DEPARTURE_NOTICES);
        if addresses.is_empty() { Vec::new() } else { vec![self.send_to(addresses, Message::Ack(last))] }
    }

    /// Adds the members received from a peer during startup.
    pub fn add_members(&mut self, now: Timestamp, members: &[MemberUpdate]) -> Vec<FleetEffect> {
        self.membership.merge_updates(now, members);
        self.poll_changes(now).into_iter().collect()
    }

    /// Records that this instance hands its state over to one that has just started, which others may not know yet.
    pub fn handed_over(&mut self, now: Timestamp, address: SocketAddr) {
        self.starting_peers.add(now, address);
    }

    /// Returns the addresses that a report of flow bindings goes to: those of the group, and those of instances that have
    /// just received their state from this one.
    #[must_use]
    pub fn binding_recipients(&self, now: Timestamp, group: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut recipients = group.to_vec();
        recipients.extend(self.starting_peers.without(now, group));
        recipients
    }

    /// Returns the message that relays bindings, which a peer has reported and which were new here, to instances that have
    /// just received their state from this one.
    ///
    /// Bindings that were known before are not relayed, so that two instances that have each received their state from the
    /// other one do not relay a report to and fro.
    #[must_use]
    pub fn relay_flow_bindings(&self, now: Timestamp, bindings: Vec<FlowBinding>) -> Option<FleetEffect> {
        let recipients = self.starting_peers.without(now, &[]);
        let report = FlowBindingReport { bindings, requested: Vec::new() };
        let is_needed = !recipients.is_empty() && !report.is_empty();
        is_needed.then_some(FleetEffect::Send(recipients, Frame::FlowBindings(report)))
    }

    /// Returns the other instances, for a peer that has just started.
    #[must_use]
    pub fn handover(&self) -> Vec<MemberUpdate> {
        self.membership.handover()
    }

    /// Handles a datagram received from another instance.
    pub fn handle_datagram(&mut self, now: Timestamp, frame: Frame, revision: Revision) -> Vec<FleetEffect> {
        let (sender, message) = match frame {
            Frame::LoadReport(report) => return vec![FleetEffect::ApplyLoadReport(report)],
            Frame::AnswerTimes(report) => return vec![FleetEffect::ApplyAnswerTimes(report)],
            Frame::Capacity(report) => return vec![FleetEffect::ApplyCapacityReport(report)],
            Frame::FlowBindings(report) => return vec![FleetEffect::ApplyFlowBindings(report)],
            Frame::WithSender { sender, message } => (sender, message),
        };
        if sender.id == self.membership.me().id {
            return Vec::new();
        }
        self.has_contact = true;
        if sender.failure_domain != self.membership.me().failure_domain {
            self.last_remote_domain_message = Some(now);
        }
        self.membership.message_received(now, &sender);
        let mut effects = self.handle_message(now, &sender, message, revision);
        effects.extend(self.poll_changes(now));
        effects
    }

    fn handle_message(
        &mut self,
        now: Timestamp,
        sender: &MemberUpdate,
        message: Message,
        revision: Revision,
    ) -> Vec<FleetEffect> {
        let from = sender.id;
        match message {
            Message::Ping(heartbeat) => {
                let view = self.merge_heartbeat(now, sender, &heartbeat, revision);
                let answer = self.heartbeat(now, from, heartbeat.sequence, revision, view);
                let answer = self.send_to_member(from, Message::Ack(answer));
                answer.into_iter().chain(self.compare_views(now, from, &heartbeat, view)).collect()
            }
            Message::Ack(heartbeat) => {
                let view = self.merge_heartbeat(now, sender, &heartbeat, revision);
                let probe = self.membership.acknowledged(now, heartbeat.sequence, from);
                let probe = probe.and_then(|probe| self.probe_effect(now, probe, revision));
                probe.into_iter().chain(self.compare_views(now, from, &heartbeat, view)).collect()
            }
            Message::ViewRequest(theirs) => self.answer_view_request(now, from, &theirs),
            Message::ViewPart(members) => {
                self.merge_view_part(now, &members);
                Vec::new()
            }
            Message::IndirectPing { sequence, subject } => {
                self.membership.merge_update(now, &subject);
                let probe = self.membership.ping_for(now, subject.id, from, sequence);
                probe.into_iter().filter_map(|probe| self.probe_effect(now, probe, revision)).collect()
            }
            Message::IndirectAck { sequence, subject } => {
                self.membership.acknowledged_indirectly(now, sequence, subject);
                Vec::new()
            }
            Message::StoreUpdate(update) => self.handle_store_update(now, sender, &update, revision),
        }
    }

    /// Merges the contents of a heartbeat and returns how the sender's view compares to the local one.
    fn merge_heartbeat(
        &mut self,
        now: Timestamp,
        sender: &MemberUpdate,
        heartbeat: &Heartbeat,
        revision: Revision,
    ) -> PeerView {
        self.membership.merge_updates(now, &heartbeat.members);
        self.largest_report = self.largest_report.max(heartbeat.serving);
        if heartbeat.revision == 0 && sender.state == MemberState::Alive {
            self.stateless_peers.insert(sender.id, now);
        }
        if heartbeat.revision > 0 {
            self.record_up_to_date_peer(sender.control);
            self.directory_lag.record_report(now, sender.id, sender.control, heartbeat.revision);
            self.watcher_role.receive_heartbeat_age(now, heartbeat.age);
        }
        self.schedule_fetch(now, heartbeat.revision, sender.control, revision);
        if heartbeat.view == self.membership.digest().combined_hash() { PeerView::Same } else { PeerView::Differs }
    }

    /// Requests the differences from a peer whose view differs, if a request is due.
    fn compare_views(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        heartbeat: &Heartbeat,
        view: PeerView,
    ) -> Option<FleetEffect> {
        let ours = self.serving_count();
        let should_request = self.view_sync.should_request_from_sender(now, view, heartbeat.serving, ours);
        should_request.then(|| self.view_request(from)).flatten()
    }

    fn view_request(&self, to: InstanceId) -> Option<FleetEffect> {
        self.send_to_member(to, Message::ViewRequest(self.membership.digest()))
    }

    /// Requests missing members from a random member while a starting fleet is still discovering its members.
    fn request_view_from_any(&mut self, now: Timestamp) -> Option<FleetEffect> {
        if !self.view_sync.should_request_from_any(now) {
            return None;
        }
        let to = self.membership.reachable().map(|member| member.id).choose(&mut self.rng)?;
        self.view_request(to)
    }

    fn merge_view_part(&mut self, now: Timestamp, members: &[MemberUpdate]) {
        let before = self.membership.digest();
        self.membership.merge_updates(now, members);
        if self.membership.digest() != before {
            self.view_sync.progress_made();
        }
    }

    fn answer_view_request(&mut self, now: Timestamp, from: InstanceId, theirs: &ViewDigest) -> Vec<FleetEffect> {
        if !self.view_sync.should_answer(now) {
            return Vec::new();
        }
        let parts = self.membership.missing(&mut self.rng, theirs, MAX_VIEW_PARTS);
        parts.into_iter().filter_map(|part| self.send_to_member(from, Message::ViewPart(part))).collect()
    }

    fn serving_count(&self) -> u32 {
        u32::try_from(self.membership.serving_count()).unwrap_or(u32::MAX)
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
        let (serving, view) = (self.serving_count(), self.membership.digest().combined_hash());
        Heartbeat { sequence, serving, view, revision, age: self.watcher_role.age(now), members }
    }

    fn send_to_member(&self, to: InstanceId, message: Message) -> Option<FleetEffect> {
        let address = self.membership.member(to)?.control;
        Some(self.send_to(vec![address], message))
    }

    fn send_to(&self, addresses: Vec<SocketAddr>, message: Message) -> FleetEffect {
        FleetEffect::Send(addresses, Frame::WithSender { sender: self.membership.me().clone(), message })
    }

    fn probe_effect(&mut self, now: Timestamp, probe: ProbeMessage, revision: Revision) -> Option<FleetEffect> {
        match probe {
            ProbeMessage::Ping { to, sequence } => {
                let heartbeat = self.heartbeat(now, to, sequence, revision, PeerView::Unknown);
                self.send_to_member(to, Message::Ping(heartbeat))
            }
            ProbeMessage::IndirectPing { to, sequence, subject } => {
                let subject = self.membership.member(subject)?.clone();
                self.send_to_member(to, Message::IndirectPing { sequence, subject })
            }
            ProbeMessage::IndirectAck { to, sequence, subject } => {
                self.send_to_member(to, Message::IndirectAck { sequence, subject })
            }
        }
    }

    fn poll_changes(&mut self, now: Timestamp) -> Option<FleetEffect> {
        self.change_pending |= !self.membership.take_changes().is_empty();
        if self.membership.superseded() {
            self.membership.raise_incarnation();
        }
        // No local state needs to be discarded when peers declared this instance dead for a while.
        let _ = self.membership.take_declared_dead();
        if !self.change_pending || now < self.next_change_at {
            return None;
        }
        self.change_pending = false;
        self.next_change_at = now + MIN_CHANGE_PERIOD;
        Some(FleetEffect::Changed)
    }

    /// Returns the time of the next timer that must not wait for [`Fleet::tick`]'s regular interval.
    #[must_use]
    pub fn next_due(&self) -> Timestamp {
        let seed_ping = (!self.has_contact).then_some(self.next_seed_ping);
        let change = self.change_pending.then_some(self.next_change_at);
        let fetch = self.pending_fetch.map(PendingFetch::due_at);
        let dues = [seed_ping, change, fetch, self.watcher_role.next_due(), self.view_sync.next_due()];
        dues.into_iter().flatten().fold(self.membership.next_due(), Timestamp::min)
    }

    /// Performs the periodic work: pings, the watcher role and announcements.
    pub fn tick(&mut self, now: Timestamp, revision: Revision) -> Vec<FleetEffect> {
        let mut effects = Vec::new();
        if !self.has_contact && now >= self.next_seed_ping {
            self.next_seed_ping = now + SEED_PING_PERIOD;
            let probes = self.membership.refresh(now, &mut self.rng, MAX_SEED_PINGS);
            effects.extend(probes.into_iter().filter_map(|probe| self.probe_effect(now, probe, revision)));
        }
        let probes = self.membership.tick(now, &mut self.rng);
        effects.extend(probes.into_iter().filter_map(|probe| self.probe_effect(now, probe, revision)));
        let peers = self.membership.serving_count().saturating_sub(1);
        self.directory_lag.review(now, revision, peers);
        effects.extend(self.due_fetch(now, revision));
        effects.extend(self.request_view_from_any(now));
        if self.watcher_role.may_take_over(now) {
            effects.extend(self.watcher_role.tick(now, self.rank()).map(FleetEffect::RoleChange));
        }
        if let Some(announcement) = self.watcher_role.announcement(now, revision) {
            effects.extend(self.broadcast(now, announcement, revision, None));
        }
        effects.extend(self.poll_changes(now));
        effects
    }

    /// Returns the number of live instances that precede this one in the ranking for the watcher role.
    #[must_use]
    pub fn rank(&self) -> u32 {
        let own_key = rank_key(self.membership.me().id);
        let alive = self.membership.members().filter(|member| member.state == MemberState::Alive);
        u32::try_from(alive.filter(|member| rank_key(member.id) > own_key).count()).unwrap_or(u32::MAX)
    }
}

/// Returns the key by which instances are ranked for the watcher role; the highest ranks first.
fn rank_key(id: InstanceId) -> (u64, InstanceId) {
    (rendezvous::score(WATCHER_RANK_KEY, u64::from(id)), id)
}

/// Returns the id of the instance at an address: the lowest 32 bits of its IP address.
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

fn seed_list(seeds: &[SocketAddr]) -> InstanceList {
    let instances = seeds.iter().map(|&address| ListedInstance {
        id: instance_id(address),
        failure_domain: String::new(),
        control: address,
        forward: address,
        leaving: false,
    });
    InstanceList { version: 1, instances: instances.collect() }
}
