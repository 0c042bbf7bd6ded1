//! The node: dispatches inputs to the modules that decide, and collects their outputs.
//!
//! This module handles the inputs and the tick. `fence` delays decisions until the view is confirmed, `messages`
//! handles messages between instances, `lifecycle` the planned stop, and `state` the dump for operators.

mod fence;
mod lifecycle;
mod messages;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::fence::Fence;
use self::lifecycle::Phase;
use crate::Timestamp;
use crate::catalog::Catalog;
use crate::configuration::Adoption;
use crate::configuration::Configuration;
use crate::coordinator::TargetCoordinator;
use crate::event::HealthReport;
use crate::event::Input;
use crate::event::InstanceList;
use crate::event::Notice;
use crate::event::Output;
use crate::event::PlatformRead;
use crate::event::Resource;
use crate::event::StreamId;
use crate::flows::FlowContext;
use crate::flows::Flows;
use crate::health::TargetStatusCache;
use crate::invariants::InvariantCounters;
use crate::membership::Identity;
use crate::membership::Membership;
use crate::message::MemberUpdate;
use crate::message::PeerMessage;
use crate::platform::PlatformReader;
use crate::requests::RequestContext;
use crate::requests::Requests;
use crate::streams::Streams;
use crate::tickets::KEY_BYTES;
use crate::tickets::Tickets;
use crate::tuning::Tuning;
use crate::view::LeaseState;
use crate::view::View;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::FlowKey;
use hawthornshift_model::TargetId;

/// Maximum interval between two inputs of [`Input::Tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(50);

/// State and decisions of one instance.
#[derive(Debug)]
pub struct Node {
    tuning: Tuning,
    rng: SmallRng,
    invariant_counters: InvariantCounters,
    phase: Phase,
    started: Timestamp,
    last_input: Timestamp,
    fence: Option<Fence>,
    next_tick: Timestamp,
    membership: Membership,
    configuration: Configuration,
    platform: PlatformReader,
    view: View,
    health: TargetStatusCache,
    flows: Flows,
    streams: Streams,
    coordinator: TargetCoordinator,
    tickets: Tickets,
    requests: Requests,
}

impl Node {
    /// Creates a node that knows no other instance and has no configuration set.
    ///
    /// `seed` initialises all its random choices; `ticket_key` must be random and secret.
    #[must_use]
    pub fn new(now: Timestamp, identity: Identity, tuning: Tuning, seed: u64, ticket_key: [u8; KEY_BYTES]) -> Self {
        let me = identity.id;
        let tickets = Tickets::new(me, identity.incarnation, ticket_key, tuning.ticket_life, tuning.answer_bytes);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            invariant_counters: InvariantCounters::default(),
            phase: Phase::Starting,
            started: now,
            last_input: now,
            fence: Some(Fence::joining(now)),
            next_tick: now,
            membership: Membership::new(identity, tuning.clone()),
            configuration: Configuration::default(),
            platform: PlatformReader::new(now, tuning.platform_fallback),
            view: View::default(),
            health: TargetStatusCache::default(),
            flows: Flows::new(me, &tuning),
            streams: Streams::default(),
            coordinator: TargetCoordinator::new(me, tuning.clone()),
            tickets,
            requests: Requests::default(),
            tuning,
        }
    }

    /// Returns the active configuration set.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        self.configuration.catalog()
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the counters of invariant violations.
    #[must_use]
    pub fn invariant_counters(&self) -> &InvariantCounters {
        &self.invariant_counters
    }

    /// Returns the datagram flows.
    #[must_use]
    pub fn flows(&self) -> &Flows {
        &self.flows
    }

    /// Returns whether the fabric should send new work to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving && self.fence.is_none()
    }

    /// Returns whether a planned stop has finished or a newer incarnation of this instance exists.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        matches!(self.phase, Phase::Stopped | Phase::Superseded)
    }

    /// Returns the membership entry of this instance.
    #[must_use]
    pub fn me(&self) -> &MemberUpdate {
        self.membership.me()
    }

    /// Processes one input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Timestamp, input: Input, out: &mut Vec<Output>) {
        self.detect_pause(now, out);
        match input {
            Input::CallerPacket { service, caller } => self.caller_packet(now, FlowKey { service, caller }, out),
            Input::ForwardedPacket(header) => {
                let Self { flows, view, membership, health, configuration, fence, invariant_counters, .. } = self;
                let cx = flow_context(view, membership, health, configuration, fence.as_ref());
                out.push(Output::Packet(flows.forwarded_packet(now, &header, cx, invariant_counters)));
            }
            Input::TargetPacket { target, local_port } => {
                out.push(Output::Packet(self.flows.target_packet(now, target, local_port, self.fence.is_some())));
            }
            Input::Tick => self.tick(now, out),
            Input::Stop => self.stop(now),
            Input::PeerMessage(envelope) => self.process_peer_message(now, *envelope, out),
            Input::PeerIntroduced(update) => {
                self.membership.merge_update(now, &update);
            }
            Input::PeerUnreachable { to } => self.membership.unreachable(now, to),
            Input::SetRead(set) => self.process_set_read(now, set, out),
            Input::SetUnchanged => self.record_platform_answer(now, Resource::Set),
            Input::InstancesRead(list) => self.process_instances_read(now, &list),
            Input::InstancesUnchanged => self.record_platform_answer(now, Resource::Instances),
            Input::PlatformFailed(resource) => {
                let watches = PlatformReader::watches(&self.view, self.membership.me());
                self.platform.failed(now, resource, watches, &mut self.rng);
            }
            Input::HealthChecked { target, report, load } => {
                self.coordinator.record_reported_load(target, load);
                self.record_health_check(now, target, report, out);
            }
            Input::StreamOpened { stream, service, caller } => {
                self.stream_opened(now, stream, FlowKey { service, caller }, out);
            }
            Input::StreamRefused { stream } => {
                let address = self.streams.refused(now, stream, &self.view, &self.health);
                connect_or_close(stream, address, out);
            }
            Input::StreamClosed { stream } => self.streams.closed(stream),
            request => self.process_request_input(now, request, out),
        }
    }

    /// Processes an input that concerns a request.
    fn process_request_input(&mut self, now: Timestamp, input: Input, out: &mut Vec<Output>) {
        let (requests, mut cx) = self.request_context(now, out);
        let cx = &mut cx;
        match input {
            Input::RequestArrived { request, service, idempotent, ticket, timeout } => {
                requests.request_arrived(cx, request, service, idempotent, ticket.as_deref(), timeout);
            }
            Input::ForwardedRequestArrived { request, head, .. } => requests.forward_arrived(cx, request, &head),
            Input::ForwardedRequestEnded { request, result, free } => requests.forward_ended(cx, request, result, free),
            Input::ForwardedRequestFailed { request, verdict } => requests.forward_failed(cx, request, verdict),
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

    fn lease_state(&self, now: Timestamp) -> LeaseState {
        if self.fence.is_some() {
            LeaseState::Fenced
        } else if self.membership.has_recent_contact(now) {
            LeaseState::Valid
        } else {
            LeaseState::Expired
        }
    }

    fn request_context<'a>(
        &'a mut self,
        now: Timestamp,
        out: &'a mut Vec<Output>,
    ) -> (&'a mut Requests, RequestContext<'a>) {
        let cx = RequestContext {
            now,
            lease_state: self.lease_state(now),
            issuer_closed: matches!(self.phase, Phase::Closing { .. } | Phase::Stopped | Phase::Superseded),
            view: &self.view,
            members: &self.membership,
            coordinator: &mut self.coordinator,
            tickets: &mut self.tickets,
            invariant_counters: &mut self.invariant_counters,
            rng: &mut self.rng,
            out,
        };
        (&mut self.requests, cx)
    }

    fn caller_packet(&mut self, now: Timestamp, key: FlowKey, out: &mut Vec<Output>) {
        let Self { flows, view, membership, health, configuration, fence, invariant_counters, .. } = self;
        let cx = flow_context(view, membership, health, configuration, fence.as_ref());
        out.push(Output::Packet(flows.caller_packet(now, key, cx, invariant_counters)));
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_PERIOD;
        self.tick_fence(now, out);
        let probe_messages = self.membership.tick(now, &mut self.rng);
        self.send_probe_messages(probe_messages, out);
        self.apply_membership_changes(now, out);
        self.read_platform(now, out);
        self.health.expire(now);
        self.tick_flows(now, out);
        self.tick_requests(now, out);
        self.tick_health_checks(now, out);
        self.send_releases(out);
        self.broadcast_target_status(out);
        self.tick_phase(now, out);
    }

    fn tick_flows(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Self { flows, view, membership, health, configuration, fence, .. } = self;
        let cx = flow_context(view, membership, health, configuration, fence.as_ref());
        let batches = flows.tick(now, cx);
        for (to, batch) in batches {
            self.send(to, PeerMessage::FlowBatch(batch), out);
        }
    }

    fn tick_requests(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let dropped = self.tickets.expire(now);
        out.extend(dropped.into_iter().map(|answer| Output::ReleaseAnswer { answer }));
        let (requests, mut cx) = self.request_context(now, out);
        requests.expire(&mut cx);
    }

    fn tick_health_checks(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        for id in self.coordinator.due_health_checks(now, &mut self.rng) {
            if let Some(target) = self.view.catalog().target(id) {
                out.push(Output::CheckHealth { target: id, address: target.health });
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

    fn record_platform_answer(&mut self, now: Timestamp, resource: Resource) {
        let watches = PlatformReader::watches(&self.view, self.membership.me());
        self.platform.answered(now, resource, watches, &mut self.rng);
    }

    fn process_set_read(&mut self, now: Timestamp, set: Arc<CheckedSet>, out: &mut Vec<Output>) {
        self.record_platform_answer(now, Resource::Set);
        self.apply_set(now, set, out);
    }

    fn process_instances_read(&mut self, now: Timestamp, list: &InstanceList) {
        self.record_platform_answer(now, Resource::Instances);
        self.membership.apply_instance_list(now, list);
    }

    fn apply_set(&mut self, now: Timestamp, set: Arc<CheckedSet>, out: &mut Vec<Output>) {
        let revision = set.set().revision;
        let before = self.configuration.catalog().digest();
        let adoption = self.configuration.offer(now, set, &mut self.invariant_counters);
        if adoption == Adoption::Conflict {
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

    /// Rebuilds the view if membership has changed.
    ///
    /// This is done once per tick and not for each update: a view of the largest fleet takes milliseconds to build, and
    /// an instance that joins such a fleet learns of hundreds of others one at a time.
    fn apply_membership_changes(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if self.membership.superseded() && self.phase != Phase::Superseded {
            self.phase = Phase::Superseded;
            out.push(Output::Superseded);
        }
        if self.membership.take_declared_dead() {
            self.flows.readvertise();
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
        let unplaced = self.coordinator.view_changed(now, &self.view, &mut self.rng);
        self.requests.view_changed(&self.view, &self.membership.me().failure_domain);
        let (requests, mut cx) = self.request_context(now, out);
        requests.retry_after_target_move(&mut cx, unplaced);
        let closing = self.streams.leading_out_of_service(self.configuration.catalog());
        out.extend(closing.into_iter().map(|stream| Output::CloseStream { stream }));
        self.send_releases(out);
    }

    fn record_health_check(
        &mut self,
        now: Timestamp,
        target: TargetId,
        report: Option<HealthReport>,
        out: &mut Vec<Output>,
    ) {
        self.coordinator.record_health_check(now, target, report);
        let (requests, mut cx) = self.request_context(now, out);
        requests.start_queued(&mut cx);
    }

    fn stream_opened(&mut self, now: Timestamp, stream: StreamId, key: FlowKey, out: &mut Vec<Output>) {
        let address = match self.fence {
            Some(_) => None,
            None => self.streams.open(now, stream, key, &self.view, &self.health),
        };
        connect_or_close(stream, address, out);
    }
}

fn flow_context<'a>(
    view: &'a View,
    members: &'a Membership,
    health: &'a TargetStatusCache,
    configuration: &Configuration,
    fence: Option<&Fence>,
) -> FlowContext<'a> {
    FlowContext { view, members, health, adopted_at: configuration.adopted_at(), fenced: fence.is_some() }
}

fn connect_or_close(stream: StreamId, address: Option<SocketAddr>, out: &mut Vec<Output>) {
    match address {
        Some(address) => out.push(Output::ConnectStream { stream, address }),
        None => out.push(Output::CloseStream { stream }),
    }
}
