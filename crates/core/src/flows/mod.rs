//! Datagram flows: which instance holds a flow, and which target the flow goes to.
//!
//! The network fabric may deliver a packet to any instance. That instance computes the flow's *home* under its view
//! and forwards the packet there. Normally the home holds the flow: it stores the flow's record and sends its packets
//! to the target from a local port of its own.
//!
//! # Why a flow stays where it is
//!
//! A target identifies a flow by its source address. If a record moved to another instance, that address would change,
//! and many targets would treat the flow as a new one. After a view change an instance therefore keeps its flows and
//! only advertises them to their new homes ([`advertise`]). It hands its flows over only when it stops or when its
//! failure domain is taken out of service.
//!
//! # How packets find a flow during a view change
//!
//! While earlier views are remembered, the home of an unknown flow queries the homes under these views
//! ([`view_history`]). It forwards the flow's packet to each of them in turn; each either serves the packet or returns
//! it. The home opens a new flow only after all of them have returned the packet.
//!
//! Every forwarding reduces the packet's remaining hops, so that differing views cannot cause a forwarding loop. If a
//! packet of an unknown flow has no hops left, the flow is opened at the instance that has the packet, and that
//! instance advertises the flow to its home like any other.

pub mod advertise;
pub mod table;
pub mod view_history;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use self::advertise::Advertiser;
use self::table::BindingIndex;
use self::table::FlowTable;
use self::table::Holder;
use self::table::LookupResult;
use self::view_history::ViewHistory;
use crate::Timestamp;
use crate::catalog::Catalog;
use crate::catalog::ServiceEntry;
use crate::catalog::TargetEntry;
use crate::event::DropReason;
use crate::event::LocalPort;
use crate::event::PacketAction;
use crate::health::TargetStatus;
use crate::health::TargetStatusCache;
use crate::invariants::Invariant;
use crate::invariants::InvariantCounters;
use crate::membership::Membership;
use crate::message::FlowBatch;
use crate::message::ForwardPurpose;
use crate::message::ForwardedPacketHeader;
use crate::message::TargetDescriptor;
use crate::rendezvous;
use crate::slow_start::SlowStartLimit;
use crate::tuning::Tuning;
use crate::view::View;
use hawthornshift_model::FlowKey;
use hawthornshift_model::InstanceId;
use hawthornshift_model::ServiceId;
use hawthornshift_model::TargetId;

/// Maximum number of times a packet is forwarded: to the home, to and from each earlier home, and to the holder.
pub const MAX_HOPS: u8 = 10;
/// Time since the active set was adopted after which no packet is forwarded to an instance whose failure domain is out
/// of service.
const OUT_OF_SERVICE_GRACE: Timestamp = Timestamp::from_secs(2);

/// The state outside [`Flows`] on which its decisions depend.
#[derive(Clone, Copy)]
pub struct FlowContext<'a> {
    /// The current view.
    pub view: &'a View,
    /// Membership state of the other instances.
    pub members: &'a Membership,
    /// Last known status of the targets.
    pub health: &'a TargetStatusCache,
    /// Time at which the active set was adopted.
    pub adopted_at: Timestamp,
    /// Whether this instance drops packets until a peer has confirmed its view.
    pub fenced: bool,
}

/// Counters of flows and packets since the start of the node.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowCounts {
    /// Flows opened here.
    pub opened: u64,
    /// Flows abandoned because their failure domain was taken out of service or their target's address was reused.
    pub given_up: u64,
    /// Flows removed after the idle timeout of their service.
    pub expired: u64,
    /// Flows taken over from another instance.
    pub taken_over: u64,
    /// Flows handed over to another instance.
    pub handed_over: u64,
    /// Advertisements of flows that stay here, each confirmed by its receiver.
    #[serde(rename = "told")]
    pub advertised: u64,
    /// Packets forwarded to another instance.
    pub forwarded: u64,
    /// Packets forwarded to the home under an earlier view as a query.
    #[serde(rename = "asked")]
    pub queried: u64,
    /// Received records of flows for which a record of another holder existed.
    pub conflicts: u64,
    /// Packets dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

/// A packet that needs a decision.
#[derive(Clone, Copy, Debug)]
struct Packet {
    now: Timestamp,
    key: FlowKey,
    from: Option<InstanceId>,
    hops_left: u8,
    purpose: ForwardPurpose,
}

impl Packet {
    /// Returns the position of the earlier home that is queried next.
    fn next_position(&self) -> u8 {
        match self.purpose {
            ForwardPurpose::Return { position } => position.saturating_add(1),
            _ => 0,
        }
    }

    fn is_returned(&self) -> bool {
        matches!(self.purpose, ForwardPurpose::Return { .. })
    }
}

/// The flows that one instance holds or knows about.
#[derive(Clone, Debug)]
pub struct Flows {
    me: InstanceId,
    table: FlowTable,
    view_history: ViewHistory,
    advertiser: Advertiser,
    slow_starts: BTreeMap<TargetId, SlowStartLimit>,
    /// Time at which this instance resumed from a pause. Another instance may have taken over those flows whose last
    /// packet was before it.
    unconfirmed_before: Option<Timestamp>,
    counts: FlowCounts,
}

impl Flows {
    /// Creates an empty set of flows; `me` is this instance.
    #[must_use]
    pub fn new(me: InstanceId, tuning: &Tuning) -> Self {
        Self {
            me,
            table: FlowTable::new(tuning.flow_capacity),
            view_history: ViewHistory::new(tuning.view_memory),
            advertiser: Advertiser::default(),
            slow_starts: BTreeMap::new(),
            unconfirmed_before: None,
            counts: FlowCounts::default(),
        }
    }

    /// Returns the number of flows held here.
    #[must_use]
    pub fn held(&self) -> usize {
        self.table.held()
    }

    /// Returns the number of flows known to be held by other instances.
    #[must_use]
    pub fn elsewhere(&self) -> usize {
        self.table.elsewhere()
    }

    /// Returns the number of earlier views that are remembered.
    #[must_use]
    pub fn earlier_views(&self) -> usize {
        self.view_history.len()
    }

    /// Returns the counters since the start of the node.
    #[must_use]
    pub fn counts(&self) -> &FlowCounts {
        &self.counts
    }

    /// Returns whether nothing is left to advertise or hand over.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.advertiser.is_done()
    }

    /// Returns the number of flows held here that go to a target.
    #[must_use]
    pub fn held_for(&self, target: TargetId) -> u32 {
        self.table.held_for(target)
    }

    /// Returns the action for a packet from a caller.
    pub fn caller_packet(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> PacketAction {
        let packet = Packet { now, key, from: None, hops_left: MAX_HOPS, purpose: ForwardPurpose::ToHome };
        self.decide(packet, cx, invariant_counters)
    }

    /// Returns the action for a packet forwarded by another instance.
    pub fn forwarded_packet(
        &mut self,
        now: Timestamp,
        header: &ForwardedPacketHeader,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> PacketAction {
        invariant_counters.assert(header.hops_left <= MAX_HOPS, Invariant::ForwardingEnds);
        let key = FlowKey { service: header.service, caller: header.caller };
        let ForwardedPacketHeader { from, purpose, .. } = *header;
        let packet = Packet { now, key, from: Some(from), hops_left: header.hops_left.min(MAX_HOPS), purpose };
        self.decide(packet, cx, invariant_counters)
    }

    fn decide(
        &mut self,
        packet: Packet,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> PacketAction {
        let action = self.decide_unchecked(packet, cx, invariant_counters);
        if let PacketAction::Forward { head, .. } = action {
            invariant_counters.assert(head.hops_left < packet.hops_left, Invariant::ForwardingEnds);
        }
        action
    }

    fn decide_unchecked(
        &mut self,
        packet: Packet,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> PacketAction {
        let Some(service) = cx.view.catalog().service(packet.key.service) else {
            return self.drop(DropReason::UnknownService);
        };
        if cx.fenced {
            return self.drop(DropReason::Fenced);
        }
        let unconfirmed_before = self.unconfirmed_before.filter(|_| !packet.is_returned());
        let found = self.table.touch(packet.now, &packet.key, unconfirmed_before);
        let known = found.and_then(|found| self.decide_known(packet, found, cx, invariant_counters));
        known.unwrap_or_else(|| self.decide_unknown(packet, service, cx, invariant_counters))
    }

    /// Returns the action for a packet whose flow has a record here, or `None` if the record cannot be used.
    fn decide_known(
        &mut self,
        packet: Packet,
        found: LookupResult,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> Option<PacketAction> {
        match found.holder {
            Holder::Local { binding, local_port } => {
                let queried = found.unconfirmed.then(|| self.query_earlier_home(packet, packet.key.hash64(), cx));
                queried.flatten().or_else(|| self.send_held(packet, binding, local_port, cx, invariant_counters))
            }
            Holder::Instance(holder) => self.send_to_holder(packet, holder, cx),
        }
    }

    /// Sends a packet of a flow held here to its target. If the target is blocked for the flow, abandons the flow and
    /// returns `None`.
    fn send_held(
        &mut self,
        packet: Packet,
        binding: BindingIndex,
        local_port: LocalPort,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> Option<PacketAction> {
        let binding = self.table.binding(binding);
        if binding.block().is_some() {
            self.table.remove(packet.now, &packet.key);
            self.counts.given_up += 1;
            return None;
        }
        invariant_counters.assert(binding.service() == packet.key.service, Invariant::PacketStaysWithService);
        if cfg!(debug_assertions) {
            // This look-up is too slow for every packet in release builds, which rely on `block` alone.
            let in_service = cx.view.catalog().domain_in_service(&binding.descriptor().failure_domain);
            invariant_counters.assert(in_service, Invariant::OutDomainSilent);
        }
        Some(PacketAction::ToTarget { local_port, target: binding.descriptor().address })
    }

    /// Forwards a packet to the instance that holds its flow. If the holder cannot be used, removes the record and
    /// returns `None`.
    fn send_to_holder(&mut self, packet: Packet, holder: InstanceId, cx: FlowContext<'_>) -> Option<PacketAction> {
        if let (ForwardPurpose::Ask { position }, true) = (packet.purpose, packet.from == Some(holder)) {
            // The holder has resumed from a pause and queries whether another instance took over the flow. None has.
            return self.forward(packet, holder, ForwardPurpose::Return { position }, cx);
        }
        let usable = may_forward_to(packet.now, holder, cx) && packet.hops_left > 0 && packet.from != Some(holder);
        if !usable {
            self.table.remove(packet.now, &packet.key);
            return None;
        }
        self.forward(packet, holder, ForwardPurpose::ToHolder, cx)
    }

    /// Returns the action for a packet whose flow has no record here.
    fn decide_unknown(
        &mut self,
        packet: Packet,
        service: &ServiceEntry,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> PacketAction {
        let hash = packet.key.hash64();
        if let (ForwardPurpose::Ask { position }, Some(querier)) = (packet.purpose, packet.from) {
            let action = self.forward(packet, querier, ForwardPurpose::Return { position }, cx);
            return action.unwrap_or_else(|| self.drop(DropReason::TooManyHops));
        }
        let Some(home) = cx.view.home(hash, service) else {
            return self.drop(DropReason::NoHome);
        };
        if home != self.me
            && packet.hops_left > 0
            && !packet.is_returned()
            && let Some(action) = self.forward(packet, home, ForwardPurpose::ToHome, cx)
        {
            return action;
        }
        if let Some(action) = self.query_earlier_home(packet, hash, cx) {
            return action;
        }
        self.open(packet, hash, service, cx, invariant_counters)
    }

    /// Forwards the packet as a query to the next earlier home that may hold its flow, if there is one.
    fn query_earlier_home(&mut self, packet: Packet, hash: u64, cx: FlowContext<'_>) -> Option<PacketAction> {
        // One hop for the query and one for the returned packet.
        if packet.hops_left < 2 {
            return None;
        }
        let candidates = self.view_history.candidates(packet.key.service, hash, self.me);
        let mut candidates = candidates.into_iter().enumerate().skip(packet.next_position().into());
        let (position, earlier) = candidates.find(|(_, earlier)| may_forward_to(packet.now, *earlier, cx))?;
        let position = u8::try_from(position).ok()?;
        let action = self.forward(packet, earlier, ForwardPurpose::Ask { position }, cx)?;
        self.counts.queried += 1;
        Some(action)
    }

    fn forward(
        &mut self,
        packet: Packet,
        to: InstanceId,
        purpose: ForwardPurpose,
        cx: FlowContext<'_>,
    ) -> Option<PacketAction> {
        let address = cx.members.member(to)?.forward;
        let hops_left = packet.hops_left.checked_sub(1)?;
        self.counts.forwarded += 1;
        let FlowKey { service, caller } = packet.key;
        let head = ForwardedPacketHeader { from: self.me, service, caller, hops_left, purpose };
        Some(PacketAction::Forward { address, head })
    }

    /// Opens a new flow here.
    fn open(
        &mut self,
        packet: Packet,
        hash: u64,
        service: &ServiceEntry,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> PacketAction {
        let Some(target) = self.choose_target(packet.now, hash, service, cx) else {
            return self.drop(DropReason::NoTarget);
        };
        invariant_counters.assert(!target.leaving, Invariant::LeavingTargetGetsNothing);
        invariant_counters.assert(cx.view.catalog().domains()[target.domain].in_service, Invariant::OutDomainSilent);
        let descriptor = describe_target(cx.view.catalog(), target);
        let Some(local_port) = self.table.insert_local(packet.now, packet.key, &descriptor, 0) else {
            return self.drop(DropReason::TableFull);
        };
        self.counts.opened += 1;
        self.mark_misplaced(hash, service, cx);
        PacketAction::ToTarget { local_port, target: target.address }
    }

    /// Schedules the advertisement of a flow held here if its home is another instance.
    fn mark_misplaced(&mut self, hash: u64, service: &ServiceEntry, cx: FlowContext<'_>) {
        if cx.view.home(hash, service) != Some(self.me) {
            self.advertiser.mark_misplaced();
        }
    }

    /// Chooses the target of a new flow among the targets in the flow's failure domain.
    ///
    /// The targets are ranked by rendezvous hashing alone, so that the successor of a crashed home chooses the same
    /// target without a message. Targets that are down, leaving or at their limit are skipped; the limit of a cold
    /// target is lower.
    fn choose_target<'a>(
        &mut self,
        now: Timestamp,
        hash: u64,
        service: &ServiceEntry,
        cx: FlowContext<'a>,
    ) -> Option<&'a TargetEntry> {
        let catalog = cx.view.catalog();
        let domain = catalog.domain_of(hash, service)?;
        let target_ids = &catalog.group(service.group).by_domain[domain];
        let instances = u32::try_from(cx.view.serving_for(domain).len()).unwrap_or(1).max(1);
        let targets = target_ids.iter().filter_map(|id| catalog.target(*id)).filter(|target| !target.leaving);
        let mut ranked: Vec<_> = targets.map(|target| (rendezvous::score(hash, target.id), target)).collect();
        ranked.sort_unstable_by_key(|(score, target)| std::cmp::Reverse((*score, target.id)));
        let free = ranked.iter().find(|(_, target)| self.takes_flow(now, target, instances, cx.health));
        free.map(|(_, target)| *target)
    }

    /// Returns whether a target can take one more flow from this instance, which may use an equal share of the target's
    /// connections.
    fn takes_flow(&mut self, now: Timestamp, target: &TargetEntry, instances: u32, health: &TargetStatusCache) -> bool {
        let share = (target.connections / instances).max(1);
        let slow_start = self.slow_starts.entry(target.id).or_insert_with(|| SlowStartLimit::warm(share));
        slow_start.resize(share);
        match health.status(now, target.id) {
            Some(TargetStatus::Down | TargetStatus::Leaving) => return false,
            Some(TargetStatus::Cold) if slow_start.is_warm() => slow_start.restart(),
            Some(TargetStatus::Cold) => {}
            Some(TargetStatus::Warm) | None => *slow_start = SlowStartLimit::warm(share),
        }
        let limit = slow_start.limit();
        self.held_for(target.id) < limit
    }

    /// Returns the action for a packet from a target.
    pub fn target_packet(
        &mut self,
        now: Timestamp,
        target: SocketAddr,
        local_port: LocalPort,
        fenced: bool,
    ) -> PacketAction {
        if fenced {
            return self.drop(DropReason::Fenced);
        }
        let Some((key, binding)) = self.table.find_by_local_port(now, target, local_port, self.unconfirmed_before)
        else {
            return self.drop(DropReason::NoFlow);
        };
        if binding.block().is_some() {
            return self.drop(DropReason::DomainOut);
        }
        let id = binding.descriptor().id;
        if let Some(slow_start) = self.slow_starts.get_mut(&id) {
            slow_start.record_success(1);
        }
        PacketAction::ToCaller { service: key.service, caller: key.caller }
    }

    fn drop(&mut self, reason: DropReason) -> PacketAction {
        *self.counts.dropped.entry(reason).or_default() += 1;
        PacketAction::Drop(reason)
    }

    /// Handles a view change: remembers the `former` view, checks all targets against `catalog` and starts to advertise
    /// all flows again.
    pub fn view_changed(&mut self, now: Timestamp, former: View, catalog: &Catalog) {
        self.view_history.remember(now, former);
        self.table.revalidate(catalog);
        self.advertiser.restart();
    }

    /// Handles the end of the join: replaces the earlier views by `before`, the view without this instance. The homes
    /// under that view hold the existing flows.
    pub fn joined(&mut self, now: Timestamp, before: View) {
        self.view_history.restart(now, before);
    }

    /// Advertises all flows again, because other instances declared this instance dead and dropped their records of its
    /// flows.
    pub fn readvertise(&mut self) {
        self.advertiser.restart();
    }

    /// Handles the end of a pause of this process; `before` is the view without this instance.
    ///
    /// During the pause other instances may have taken over its flows. For flows without a packet since then, the
    /// earlier homes are queried before this instance serves them.
    pub fn resumed_after_pause(&mut self, now: Timestamp, before: View) {
        self.unconfirmed_before = Some(now);
        self.view_history.remember(now, before);
        self.advertiser.restart();
    }

    /// Applies a batch from another instance: takes its flows over, or records that the sender holds them. Returns the
    /// conflicting records that must be dropped.
    ///
    /// Two instances can hold the same flow: both sides of a partition open it, or a packet arrives before the
    /// advertisement of its flow. Without a resolution, packets would reach either target, depending on the instance
    /// that receives them from the network. One of the records must therefore be dropped. The flow's home receives both
    /// advertisements and decides by [`crate::message::FlowDescriptor::supersedes`].
    pub fn apply_batch(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        batch: &FlowBatch,
        cx: FlowContext<'_>,
    ) -> Superseded {
        let mut superseded = Superseded::default();
        for flow in &batch.flows {
            let key = FlowKey { service: batch.service, caller: flow.caller };
            let known = self.table.descriptor(now, &key).filter(|(holder, _)| *holder != Holder::Instance(from));
            self.counts.conflicts += u64::from(known.is_some());
            match known {
                Some((_, known)) if known.supersedes(flow) => {
                    superseded.senders.push(flow.caller);
                    continue;
                }
                Some((Holder::Instance(other), _)) => superseded.others.entry(other).or_default().push(flow.caller),
                Some((Holder::Local { .. }, _)) | None => {}
            }
            if batch.handover {
                self.take_over(now, key, flow.age_ms, &batch.target, cx);
            } else {
                self.table.insert_elsewhere(now, key, from, flow);
            }
        }
        if batch.handover {
            // The target of the flows taken over may already be out of service in this instance's set. An advertisement
            // without a handover adds no target.
            self.table.revalidate(cx.view.catalog());
        }
        superseded
    }

    /// Drops the records of these callers' flows, which records of another instance supersede. Answers from the target
    /// are still passed on for a limited time.
    pub fn superseded(&mut self, now: Timestamp, service: ServiceId, callers: &[SocketAddr]) {
        for caller in callers {
            self.table.mark_handed_over(now, &FlowKey { service, caller: *caller });
        }
    }

    fn take_over(&mut self, now: Timestamp, key: FlowKey, age_ms: u32, target: &TargetDescriptor, cx: FlowContext<'_>) {
        if self.table.insert_local(now, key, target, age_ms).is_some() {
            self.counts.taken_over += 1;
        }
        if let Some(service) = cx.view.catalog().service(key.service) {
            self.mark_misplaced(key.hash64(), service, cx);
        }
    }

    /// Handles the confirmation of a batch. Flows that were handed over, or whose records are superseded by older ones,
    /// are no longer held here.
    pub fn batch_acknowledged(&mut self, now: Timestamp, sequence: u64, superseded: &[SocketAddr]) {
        let Some(batch) = self.advertiser.acknowledged(sequence) else { return };
        for flow in &batch.flows {
            let is_superseded = superseded.contains(&flow.caller);
            self.counts.handed_over += u64::from(batch.handover && !is_superseded);
            self.counts.advertised += u64::from(!batch.handover && !is_superseded);
            if batch.handover || is_superseded {
                self.table.mark_handed_over(now, &FlowKey { service: batch.service, caller: flow.caller });
            }
        }
    }

    /// Expires flows and earlier views, and returns the batches to send, each with its receiver.
    pub fn tick(&mut self, now: Timestamp, cx: FlowContext<'_>) -> Vec<(InstanceId, FlowBatch)> {
        let catalog = cx.view.catalog();
        self.counts.expired += self.table.expire(now, |service| catalog.service(service).map(|entry| entry.idle));
        self.view_history.expire(now);
        if self.view_history.is_empty() {
            self.unconfirmed_before = None;
        }
        self.advertiser.tick(now, self.me, &self.table, cx)
    }
}

/// Flow records that must be dropped because another record of the same flow supersedes them.
#[derive(Clone, Debug, Default)]
pub struct Superseded {
    /// Callers of the flows whose records the sender of the batch must drop.
    pub senders: Vec<SocketAddr>,
    /// Callers of the flows whose records other instances must drop, by instance.
    pub others: BTreeMap<InstanceId, Vec<SocketAddr>>,
}

fn describe_target(catalog: &Catalog, target: &TargetEntry) -> TargetDescriptor {
    TargetDescriptor {
        id: target.id,
        address: target.address,
        failure_domain: catalog.domains()[target.domain].name.clone(),
    }
}

/// Returns whether packets may be forwarded to an instance. It must be reachable, and its failure domain must be in
/// service, or the active set so new that the instance may still be handing over its flows.
fn may_forward_to(now: Timestamp, id: InstanceId, cx: FlowContext<'_>) -> bool {
    let Some(update) = cx.members.member(id).filter(|update| update.state.is_reachable()) else { return false };
    let in_service = cx.view.catalog().domain_in_service(&update.failure_domain);
    in_service || now.saturating_sub(cx.adopted_at) < OUT_OF_SERVICE_GRACE
}
