//! The node: takes inputs, asks the parts that decide, and gives outputs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Timestamp;
use crate::catalog::Catalog;
use crate::configuration::Adoption;
use crate::configuration::Configuration;
use crate::dump::ConfigurationDump;
use crate::dump::Dump;
use crate::dump::FlowDump;
use crate::dump::KeptDump;
use crate::event::HealthReport;
use crate::event::Input;
use crate::event::InstanceList;
use crate::event::Notice;
use crate::event::Output;
use crate::event::PlatformRead;
use crate::event::Resource;
use crate::event::StreamId;
use crate::flows::Flows;
use crate::flows::Superseded;
use crate::flows::Surroundings;
use crate::health::HealthBook;
use crate::invariants::Ledger;
use crate::keeper::Keeper;
use crate::membership::Identity;
use crate::membership::Membership;
use crate::membership::Signal;
use crate::message::Envelope;
use crate::message::FlowBatch;
use crate::message::Heartbeat;
use crate::message::MemberUpdate;
use crate::message::PeerMessage;
use crate::message::Sequence;
use crate::platform::PlatformReader;
use crate::requests::RequestCx;
use crate::requests::Requests;
use crate::streams::Streams;
use crate::tickets::KEY_BYTES;
use crate::tickets::Tickets;
use crate::tuning::Tuning;
use crate::view::Trust;
use crate::view::View;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::FlowKey;
use hawthornshift_model::InstanceId;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::TargetId;

/// How often [`Input::Tick`] is due at the least.
pub const TICK: Duration = Duration::from_millis(50);

/// Peers asked at once by an instance that woke late.
const REFRESH_PEERS: usize = 3;
/// Time that the last word of a stopping instance is given to reach its peers.
const FAREWELL: Duration = Duration::from_millis(200);
/// Time after which an instance that has just started, or woken late, serves although no peer has confirmed its view:
/// it is alone, or cut off, and then serves what it can.
const FENCE_LIMIT: Duration = Duration::from_secs(2);
/// Time between two rounds of pings while a view is to be confirmed.
const REFRESH_PERIOD: Duration = Duration::from_millis(150);
/// Shortest time a planned stop takes, so that every peer has left this instance out of its view before it ends.
const MIN_DRAIN: Duration = Duration::from_secs(1);

/// Where a node stands in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// It has no set yet.
    Starting,
    /// It serves.
    Serving,
    /// It stops as planned and finishes what it has.
    Stopping { since: Timestamp },
    /// It has said its last word and waits for it to arrive.
    Farewell { since: Timestamp },
    /// It is done.
    Stopped,
    /// A newer life of it exists.
    Superseded,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Stopping { .. } | Self::Farewell { .. } => "stopping",
            Self::Stopped => "stopped",
            Self::Superseded => "superseded",
        }
    }
}

/// A node behind a fence decides nothing new until a peer has confirmed its view.
///
/// It is there after the start, when the node knows nobody yet and would take every flow for a new one of its own,
/// and after a pause, when others may have taken over what the node held.
#[derive(Clone, Copy, Debug)]
struct Fence {
    /// Pings numbered from here on were sent behind the fence.
    first_sequence: Sequence,
    /// When the node goes on all the same.
    until: Timestamp,
    /// When the next peers are asked.
    next_refresh: Timestamp,
    /// Whether the node has just started.
    joining: bool,
}

/// One instance's decisions.
#[derive(Debug)]
pub struct Node {
    tuning: Tuning,
    rng: SmallRng,
    ledger: Ledger,
    phase: Phase,
    started: Timestamp,
    last_input: Timestamp,
    fence: Option<Fence>,
    next_tick: Timestamp,
    membership: Membership,
    configuration: Configuration,
    platform: PlatformReader,
    view: View,
    health: HealthBook,
    flows: Flows,
    streams: Streams,
    keeper: Keeper,
    tickets: Tickets,
    requests: Requests,
}

impl Node {
    /// Starts a node that knows nobody and has no set.
    ///
    /// `seed` drives all its random choices; `ticket_key` must be random and known to nobody else.
    #[must_use]
    pub fn new(now: Timestamp, identity: Identity, tuning: Tuning, seed: u64, ticket_key: [u8; KEY_BYTES]) -> Self {
        let me = identity.id;
        let tickets = Tickets::new(me, identity.incarnation, ticket_key, tuning.ticket_life, tuning.answer_bytes);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            ledger: Ledger::default(),
            phase: Phase::Starting,
            started: now,
            last_input: now,
            fence: Some(Fence { first_sequence: 0, until: now + FENCE_LIMIT, next_refresh: now, joining: true }),
            next_tick: now,
            membership: Membership::new(identity, tuning.clone()),
            configuration: Configuration::default(),
            platform: PlatformReader::new(now, tuning.platform_fallback),
            view: View::default(),
            health: HealthBook::default(),
            flows: Flows::new(me, &tuning),
            streams: Streams::default(),
            keeper: Keeper::new(me, tuning.clone()),
            tickets,
            requests: Requests::default(),
            tuning,
        }
    }

    /// Returns the set in force.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        self.configuration.catalog()
    }

    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the breaches of invariants.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the flows.
    #[must_use]
    pub fn flows(&self) -> &Flows {
        &self.flows
    }

    /// Tells whether the fabric should send new work here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving && self.fence.is_none()
    }

    /// Tells whether a planned stop is done, or a newer life of this instance exists.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        matches!(self.phase, Phase::Stopped | Phase::Superseded)
    }

    /// Returns this instance as it presents itself.
    #[must_use]
    pub fn me(&self) -> &MemberUpdate {
        self.membership.me()
    }

    /// Takes one input and appends what follows from it to `out`.
    pub fn handle(&mut self, now: Timestamp, input: Input, out: &mut Vec<Output>) {
        self.notice_pause(now, out);
        match input {
            Input::CallerPacket { service, caller } => self.caller_packet(now, FlowKey { service, caller }, out),
            Input::ForwardedPacket(head) => {
                let Self { flows, view, membership, health, configuration, fence, ledger, .. } = self;
                let cx = surroundings(view, membership, health, configuration, fence.as_ref());
                out.push(Output::Packet(flows.forwarded_packet(now, &head, cx, ledger)));
            }
            Input::TargetPacket { target, channel } => {
                out.push(Output::Packet(self.flows.target_packet(now, target, channel, self.fence.is_some())));
            }
            Input::Tick => self.tick(now, out),
            Input::Stop => self.stop(now),
            Input::PeerMessage(envelope) => self.peer_message(now, *envelope, out),
            Input::PeerIntroduced(update) => {
                self.membership.absorb(now, &update);
            }
            Input::PeerUnreachable { to } => self.membership.unreachable(now, to),
            Input::SetRead(set) => self.set_read(now, set, out),
            Input::SetUnchanged => self.platform_answered(now, Resource::Set),
            Input::InstancesRead(list) => self.instances_read(now, &list),
            Input::InstancesUnchanged => self.platform_answered(now, Resource::Instances),
            Input::PlatformFailed(resource) => {
                let watches = PlatformReader::watches(&self.view, self.membership.me());
                self.platform.failed(now, resource, watches, &mut self.rng);
            }
            Input::Probed { target, report } => self.probed(now, target, report, out),
            Input::StreamOpened { stream, service, caller } => {
                self.stream_opened(now, stream, FlowKey { service, caller }, out);
            }
            Input::StreamRefused { stream } => {
                let address = self.streams.refused(now, stream, &self.view, &self.health);
                connect_or_close(stream, address, out);
            }
            Input::StreamClosed { stream } => self.streams.closed(stream),
            request => self.request_input(now, request, out),
        }
    }

    /// Takes an input that concerns a request.
    fn request_input(&mut self, now: Timestamp, input: Input, out: &mut Vec<Output>) {
        let (requests, mut cx) = self.request_cx(now, out);
        let cx = &mut cx;
        match input {
            Input::RequestArrived { request, service, idempotent, ticket, timeout } => {
                requests.arrived(cx, request, service, idempotent, ticket.as_deref(), timeout);
            }
            Input::PassArrived { request, head, .. } => requests.passed(cx, request, &head),
            Input::PassEnded { request, result, free } => requests.pass_ended(cx, request, result, free),
            Input::PassFailed { request, verdict } => requests.pass_failed(cx, request, verdict),
            Input::TargetAnswered { request, attempt, answer } => {
                requests.target_answered(cx, request, attempt, answer);
            }
            Input::TargetFailed { request, attempt, refusal } => {
                requests.target_failed(cx, request, attempt, refusal);
            }
            Input::CallerGone { request } => requests.caller_gone(cx, request),
            _ => {}
        }
        self.send_releases(out);
    }

    fn trust(&self, now: Timestamp) -> Trust {
        if self.fence.is_some() {
            Trust::None
        } else if self.membership.in_touch(now) {
            Trust::Fresh
        } else {
            Trust::Stale
        }
    }

    fn request_cx<'a>(&'a mut self, now: Timestamp, out: &'a mut Vec<Output>) -> (&'a mut Requests, RequestCx<'a>) {
        let cx = RequestCx {
            now,
            trust: self.trust(now),
            closed: matches!(self.phase, Phase::Farewell { .. } | Phase::Stopped | Phase::Superseded),
            view: &self.view,
            members: &self.membership,
            keeper: &mut self.keeper,
            tickets: &mut self.tickets,
            ledger: &mut self.ledger,
            rng: &mut self.rng,
            out,
        };
        (&mut self.requests, cx)
    }

    fn caller_packet(&mut self, now: Timestamp, key: FlowKey, out: &mut Vec<Output>) {
        let Self { flows, view, membership, health, configuration, fence, ledger, .. } = self;
        let cx = surroundings(view, membership, health, configuration, fence.as_ref());
        out.push(Output::Packet(flows.caller_packet(now, key, cx, ledger)));
    }

    /// Notices that the process was paused for longer than its lease.
    ///
    /// Others may have taken over its flows and targets meanwhile. It would show as packets to a failure domain that
    /// is out, or as two keepers at one target. So nothing new is decided until a peer has answered a ping that was
    /// sent after the pause.
    fn notice_pause(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let gap = now.saturating_sub(self.last_input);
        self.last_input = self.last_input.max(now);
        if gap < self.tuning.lease || self.phase == Phase::Starting {
            return;
        }
        out.push(Output::Notice(Notice::WokeLate { gap }));
        let joining = self.fence.is_some_and(|fence| fence.joining);
        let first_sequence = self.membership.next_sequence();
        self.fence = Some(Fence { first_sequence, until: now + FENCE_LIMIT, next_refresh: now, joining });
        self.platform.hurry(now);
        self.tick_fence(now, out);
    }

    /// Asks peers to confirm the view, or goes on without them when the time is over.
    fn tick_fence(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(fence) = &mut self.fence else { return };
        let has_set = self.configuration.revision() > 0;
        if !has_set {
            // Who serves is often learned together with the set; the time to find the others starts with it.
            fence.until = now + FENCE_LIMIT;
        }
        if has_set && now >= fence.until {
            self.lift_fence(now, out);
        } else if now >= fence.next_refresh {
            fence.next_refresh = now + REFRESH_PERIOD;
            let signals = self.membership.refresh(now, &mut self.rng, REFRESH_PEERS);
            self.send_signals(signals, out);
        }
    }

    /// Lifts the fence when the answer to a ping sent behind it shows that the peer's view is this node's own.
    fn confirm_view(&mut self, now: Timestamp, from: InstanceId, sequence: Sequence, view: u64, out: &mut Vec<Output>) {
        let Some(fence) = self.fence else { return };
        let own = self.configuration.revision() > 0 && view == self.view.digest();
        if own && sequence >= fence.first_sequence {
            if fence.joining {
                self.send(from, PeerMessage::LastWordsRequest, out);
            }
            self.lift_fence(now, out);
        }
    }

    fn lift_fence(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(fence) = self.fence.take() else { return };
        let me = self.membership.me().id;
        let others = self.membership.serving().filter(|(seat, _)| seat.id != me);
        let before = View::new(Arc::clone(self.configuration.catalog()), others);
        if fence.joining {
            self.flows.joined(now, before);
        } else {
            self.flows.woke(now, before);
        }
        let (requests, mut cx) = self.request_cx(now, out);
        requests.fence_lifted(&mut cx);
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK;
        self.tick_fence(now, out);
        let signals = self.membership.tick(now, &mut self.rng);
        self.send_signals(signals, out);
        self.follow_members(now, out);
        self.read_platform(now, out);
        self.health.expire(now);
        self.tick_flows(now, out);
        self.tick_requests(now, out);
        self.tick_probes(now, out);
        self.send_releases(out);
        self.send_target_news(out);
        self.tick_phase(now, out);
    }

    fn tick_flows(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Self { flows, view, membership, health, configuration, fence, .. } = self;
        let cx = surroundings(view, membership, health, configuration, fence.as_ref());
        let news = flows.tick(now, cx);
        let view = self.view.digest();
        for (to, batch) in news.batches {
            self.send(to, PeerMessage::FlowBatch(batch), out);
        }
        for to in news.settled {
            self.send(to, PeerMessage::Settled { view }, out);
        }
    }

    fn tick_requests(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let dropped = self.tickets.expire(now);
        out.extend(dropped.into_iter().map(|answer| Output::ForgetAnswer { answer }));
        let (requests, mut cx) = self.request_cx(now, out);
        requests.expire(&mut cx);
    }

    fn tick_probes(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        for id in self.keeper.due_probes(now, &mut self.rng) {
            if let Some(target) = self.view.catalog().target(id) {
                out.push(Output::Probe { target: id, address: target.health });
            }
        }
    }

    fn read_platform(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let versions =
            [(Resource::Set, self.configuration.revision()), (Resource::Instances, self.membership.list_version())];
        let watches = PlatformReader::watches(&self.view, self.membership.me());
        for (resource, after) in versions {
            if let Some(wait) = self.platform.due(now, resource, watches, &mut self.rng) {
                out.push(Output::ReadPlatform(PlatformRead { resource, after, wait }));
            }
        }
    }

    fn platform_answered(&mut self, now: Timestamp, resource: Resource) {
        let watches = PlatformReader::watches(&self.view, self.membership.me());
        self.platform.answered(now, resource, watches, &mut self.rng);
    }

    fn set_read(&mut self, now: Timestamp, set: Arc<CheckedSet>, out: &mut Vec<Output>) {
        self.platform_answered(now, Resource::Set);
        self.offer(now, set, out);
    }

    fn instances_read(&mut self, now: Timestamp, list: &InstanceList) {
        self.platform_answered(now, Resource::Instances);
        self.membership.read_list(now, list);
    }

    fn offer(&mut self, now: Timestamp, set: Arc<CheckedSet>, out: &mut Vec<Output>) {
        let revision = set.set().revision;
        let before = self.configuration.catalog().digest();
        let adoption = self.configuration.offer(now, set, &mut self.ledger);
        if adoption == Adoption::Clash {
            out.push(Output::Notice(Notice::SetClash { revision }));
        }
        if self.configuration.catalog().digest() == before {
            return;
        }
        out.push(Output::Notice(Notice::SetAdopted { revision }));
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
        }
        self.rebuild_view(now, out);
        out.push(Output::CatalogChanged);
    }

    /// Makes a new view when membership has changed.
    ///
    /// It is done once a tick and not for each piece of news: a view of the largest fleet takes milliseconds, and an
    /// instance that joins it hears of hundreds of others one by one.
    fn follow_members(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if self.membership.superseded() && self.phase != Phase::Superseded {
            self.phase = Phase::Superseded;
            out.push(Output::Superseded);
        }
        if self.membership.take_buried() {
            self.flows.tell_again();
        }
        let changes = self.membership.take_changes();
        if changes.is_empty() {
            return;
        }
        out.extend(changes.into_iter().map(|(id, state)| Output::Notice(Notice::MemberChanged { id, state })));
        self.rebuild_view(now, out);
    }

    fn rebuild_view(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let view = View::new(Arc::clone(self.configuration.catalog()), self.membership.serving());
        if view.digest() == self.view.digest() {
            return;
        }
        let former = std::mem::replace(&mut self.view, view);
        self.flows.view_changed(now, former, self.configuration.catalog());
        let stranded = self.keeper.view_changed(now, &self.view, &mut self.rng);
        self.requests.view_changed(&self.view, &self.membership.me().failure_domain);
        let (requests, mut cx) = self.request_cx(now, out);
        requests.stranded(&mut cx, stranded);
        let closing = self.streams.leading_out_of_service(self.configuration.catalog());
        out.extend(closing.into_iter().map(|stream| Output::CloseStream { stream }));
        self.send_releases(out);
    }

    fn peer_message(&mut self, now: Timestamp, envelope: Envelope, out: &mut Vec<Output>) {
        if envelope.to != self.membership.me().id || envelope.sender.id == envelope.to {
            return;
        }
        let from = envelope.sender.id;
        self.membership.heard_from(now, &envelope.sender);
        match envelope.message {
            PeerMessage::Ping(heartbeat) => {
                let sequence = heartbeat.sequence;
                let differs = heartbeat.view != self.view.digest();
                self.take_heartbeat(now, from, heartbeat, out);
                let answer = self.heartbeat(sequence, differs, from);
                self.send(from, PeerMessage::Ack(answer), out);
            }
            PeerMessage::Ack(heartbeat) => {
                let signal = self.membership.acknowledged(now, heartbeat.sequence, from);
                let (sequence, view) = (heartbeat.sequence, heartbeat.view);
                self.take_heartbeat(now, from, heartbeat, out);
                self.send_signals(signal, out);
                self.confirm_view(now, from, sequence, view, out);
            }
            PeerMessage::IndirectPing { sequence, subject } => {
                let signal = self.membership.ping_for(now, subject, from, sequence);
                self.send_signals(signal, out);
            }
            PeerMessage::IndirectAck { sequence, subject } => {
                self.membership.acknowledged_indirectly(now, sequence, subject);
            }
            PeerMessage::SetRequest { have } => self.send_set(from, have, out),
            PeerMessage::SetOffer { set } => self.take_set(now, *set, out),
            PeerMessage::FlowBatch(batch) => self.flow_batch(now, from, &batch, out),
            PeerMessage::FlowsSuperseded { service, callers } => self.flows.superseded(now, service, &callers),
            PeerMessage::FlowBatchAck { sequence, superseded } => {
                self.flows.batch_acknowledged(now, sequence, &superseded);
            }
            PeerMessage::Settled { view } => self.flows.peer_settled(from, view),
            PeerMessage::KeeperRelease { target, running } => {
                self.keeper.released_by(now, from, target, running);
                let (requests, mut cx) = self.request_cx(now, out);
                requests.start_waiting(&mut cx);
            }
            PeerMessage::LastWordsRequest => {
                let words: Vec<PeerMessage> = self.tickets.last_words().collect();
                for word in words {
                    self.send(from, word, out);
                }
            }
            PeerMessage::IssuerClosed { issuer, incarnation, known_since_ms, redeemed } => {
                self.tickets.issuer_closed(issuer, incarnation, known_since_ms, &redeemed);
            }
        }
    }

    fn flow_batch(&mut self, now: Timestamp, from: InstanceId, batch: &FlowBatch, out: &mut Vec<Output>) {
        let Self { flows, view, membership, health, configuration, fence, .. } = self;
        let cx = surroundings(view, membership, health, configuration, fence.as_ref());
        let Superseded { senders, others } = flows.absorb(now, from, batch, cx);
        let FlowBatch { sequence, service, .. } = *batch;
        self.send(from, PeerMessage::FlowBatchAck { sequence, superseded: senders }, out);
        for (to, callers) in others {
            self.send(to, PeerMessage::FlowsSuperseded { service, callers }, out);
        }
    }

    fn take_heartbeat(&mut self, now: Timestamp, from: InstanceId, heartbeat: Heartbeat, out: &mut Vec<Output>) {
        for update in &heartbeat.members {
            self.membership.absorb(now, update);
        }
        for news in heartbeat.targets {
            if self.health.note(now, news) {
                out.push(Output::Notice(Notice::TargetChanged { target: news.target, status: news.status }));
            }
        }
        let have = self.configuration.revision();
        let clash = heartbeat.revision == have && heartbeat.set_digest > self.configuration.catalog().digest();
        if heartbeat.revision > have || clash {
            self.send(from, PeerMessage::SetRequest { have }, out);
        }
    }

    fn heartbeat(&mut self, sequence: Sequence, differs: bool, to: InstanceId) -> Heartbeat {
        let near = self
            .membership
            .member(to)
            .is_some_and(|update| update.failure_domain == self.membership.me().failure_domain);
        Heartbeat {
            sequence,
            revision: self.configuration.revision(),
            set_digest: self.configuration.catalog().digest(),
            view: self.view.digest(),
            members: self.membership.news(&mut self.rng, differs),
            targets: if near { self.keeper.news(false) } else { Vec::new() },
        }
    }

    fn send_set(&self, to: InstanceId, have: u64, out: &mut Vec<Output>) {
        let Some(checked) = self.configuration.catalog().checked() else { return };
        if checked.set().revision >= have {
            let set = Box::new(checked.set().clone());
            self.send(to, PeerMessage::SetOffer { set }, out);
        }
    }

    /// Takes a set from a peer, checked anew: the peer may run another version of this program.
    fn take_set(&mut self, now: Timestamp, set: PublishedSet, out: &mut Vec<Output>) {
        let revision = set.revision;
        if revision < self.configuration.revision() {
            return;
        }
        match CheckedSet::new(set) {
            Ok(checked) => self.offer(now, Arc::new(checked), out),
            Err(error) => {
                self.configuration.count_refused();
                out.push(Output::Notice(Notice::SetRefused { revision, reason: error.to_string() }));
            }
        }
    }

    fn probed(&mut self, now: Timestamp, target: TargetId, report: Option<HealthReport>, out: &mut Vec<Output>) {
        self.keeper.probed(now, target, report);
        let (requests, mut cx) = self.request_cx(now, out);
        requests.start_waiting(&mut cx);
    }

    fn stream_opened(&mut self, now: Timestamp, stream: StreamId, key: FlowKey, out: &mut Vec<Output>) {
        let address = match self.fence {
            Some(_) => None,
            None => self.streams.open(now, stream, key, &self.view, &self.health),
        };
        connect_or_close(stream, address, out);
    }

    /// Tells the instances of this failure domain what has changed about the targets kept here.
    fn send_target_news(&mut self, out: &mut Vec<Output>) {
        let news = self.keeper.news(true);
        if news.is_empty() {
            return;
        }
        // The news concerns this instance's own flows first of all.
        let now = self.last_input;
        for item in &news {
            self.health.note(now, *item);
        }
        let domain = self.membership.me().failure_domain.clone();
        let near = self.membership.reachable().filter(|update| update.failure_domain == domain);
        let near: Vec<InstanceId> = near.map(|update| update.id).collect();
        for to in near {
            let heartbeat = Heartbeat { targets: news.clone(), ..self.heartbeat(0, false, to) };
            self.send(to, PeerMessage::Ack(heartbeat), out);
        }
    }

    fn send_releases(&mut self, out: &mut Vec<Output>) {
        for (target, running) in self.keeper.take_releases() {
            let keeper = self.view.keeper(target).filter(|id| *id != self.membership.me().id);
            if let Some(to) = keeper {
                self.send(to, PeerMessage::KeeperRelease { target, running }, out);
            }
        }
    }

    fn send_signals(&mut self, signals: impl IntoIterator<Item = Signal>, out: &mut Vec<Output>) {
        for signal in signals {
            let (to, message) = match signal {
                Signal::Ping { to, sequence } => (to, PeerMessage::Ping(self.heartbeat(sequence, false, to))),
                Signal::IndirectPing { to, sequence, subject } => (to, PeerMessage::IndirectPing { sequence, subject }),
                Signal::IndirectAck { to, sequence, subject } => (to, PeerMessage::IndirectAck { sequence, subject }),
            };
            self.send(to, message, out);
        }
    }

    fn send(&self, to: InstanceId, message: PeerMessage, out: &mut Vec<Output>) {
        let Some(address) = self.membership.member(to).map(|update| update.control) else { return };
        let envelope = Box::new(Envelope { sender: self.membership.me().clone(), to, message });
        out.push(Output::ToPeer { address, envelope });
    }

    /// Begins a planned stop: leaves every view, hands over what it holds, and finishes what it runs.
    fn stop(&mut self, now: Timestamp) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            self.phase = Phase::Stopping { since: now };
            self.membership.leave();
        }
    }

    fn tick_phase(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        match self.phase {
            Phase::Stopping { since } => {
                self.leave_views(now, since, out);
                let spent = now.saturating_sub(since);
                let idle = self.flows.held() == 0 && self.streams.is_empty() && self.requests.under_way() == 0;
                let alone = self.membership.reachable().next().is_none();
                let done = spent >= MIN_DRAIN && (idle || alone && self.requests.under_way() == 0);
                if done || spent >= self.tuning.drain {
                    self.say_farewell(now, out);
                }
            }
            Phase::Farewell { since } => {
                let spent = now.saturating_sub(since);
                // The fabric may have handed in more meanwhile.
                let idle = self.requests.under_way() == 0;
                if spent >= FAREWELL && idle || spent >= self.tuning.drain {
                    self.phase = Phase::Stopped;
                    out.push(Output::Stopped);
                }
            }
            _ => {}
        }
    }

    /// Tells every peer at once that this instance is leaving, and takes itself out of its own view.
    fn leave_views(&mut self, now: Timestamp, since: Timestamp, out: &mut Vec<Output>) {
        if self.view.serves(self.membership.me().id) {
            self.rebuild_view(now, out);
        }
        // Repeated, since a peer may miss the first word; heartbeats carry it anyway.
        if now.saturating_sub(since) < MIN_DRAIN && self.rng.random_ratio(1, 4) || now == since {
            self.tell_everyone(out);
        }
    }

    fn tell_everyone(&mut self, out: &mut Vec<Output>) {
        let peers: Vec<InstanceId> = self.membership.reachable().map(|update| update.id).collect();
        for to in peers {
            let heartbeat = self.heartbeat(0, false, to);
            self.send(to, PeerMessage::Ack(heartbeat), out);
        }
    }

    /// Says which tickets were redeemed. From here on none is, or the word would be untrue.
    fn say_farewell(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.phase = Phase::Farewell { since: now };
        self.membership.depart();
        self.tickets.close();
        let MemberUpdate { id: issuer, incarnation, .. } = *self.membership.me();
        let known_since_ms = self.tickets.known_since_ms(now);
        let redeemed = self.tickets.redeemed();
        let peers: Vec<InstanceId> = self.membership.reachable().map(|update| update.id).collect();
        for to in peers {
            let redeemed = redeemed.clone();
            self.send(to, PeerMessage::IssuerClosed { issuer, incarnation, known_since_ms, redeemed }, out);
        }
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn dump(&self, now: Timestamp) -> Dump {
        let catalog = self.configuration.catalog();
        let out = catalog.domains().iter().filter(|domain| !domain.in_service);
        let kept = self.keeper.kept().map(|(id, status, running, limit)| {
            let name = catalog
                .target(id)
                .map_or_else(String::new, |target| format!("{}/{}", catalog.group(target.group).name, target.name));
            KeptDump { name, status, running, limit }
        });
        Dump {
            me: self.membership.me().clone(),
            phase: self.phase.name(),
            uptime_ms: now.saturating_sub(self.started).as_millis(),
            fenced: self.fence.is_some(),
            configuration: ConfigurationDump {
                revision: catalog.revision(),
                digest: format!("{:016x}", catalog.digest()),
                out: out.map(|domain| domain.name.clone()).collect(),
                clashes: self.configuration.clashes(),
                refused: self.configuration.refused(),
            },
            view: format!("{:016x}", self.view.digest()),
            serving: self.view.serving().iter().map(|seat| seat.id).collect(),
            members: self.membership.members().cloned().collect(),
            flows: FlowDump {
                held: self.flows.held(),
                elsewhere: self.flows.elsewhere(),
                earlier_views: self.flows.earlier_views(),
                settled: self.flows.settled(),
                counts: self.flows.counts().clone(),
            },
            streams: self.streams.len(),
            requests: *self.requests.counts(),
            requests_under_way: self.requests.under_way(),
            running: self.keeper.running(),
            queued: self.keeper.queued(),
            tickets_remembered: self.tickets.remembered(),
            answer_bytes: self.tickets.answer_bytes(),
            kept: kept.collect(),
            breaches: self.ledger.breaches(),
        }
    }
}

fn surroundings<'a>(
    view: &'a View,
    members: &'a Membership,
    health: &'a HealthBook,
    configuration: &Configuration,
    fence: Option<&Fence>,
) -> Surroundings<'a> {
    Surroundings { view, members, health, adopted_at: configuration.adopted_at(), fenced: fence.is_some() }
}

fn connect_or_close(stream: StreamId, address: Option<SocketAddr>, out: &mut Vec<Output>) {
    match address {
        Some(address) => out.push(Output::ConnectStream { stream, address }),
        None => out.push(Output::CloseStream { stream }),
    }
}
