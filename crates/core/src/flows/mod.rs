//! Datagram flows: which instance holds a flow, and which target it goes to.
//!
//! The fabric hands a packet to any instance. That instance computes the flow's *home* under its view and forwards
//! the packet there; the home holds the record of the flow and the local port towards the target.
//!
//! # Why a flow stays where it is
//!
//! A target tells a flow by the address it comes from. Moving a record to another instance changes that address, and
//! many targets would take the flow for a new one. So a home keeps its flows when a view changes and only tells the
//! new home where they are ([`advertise`]); it hands them over only when it stops or its domain is taken out.
//!
//! # How packets find a flow while news travels
//!
//! For as long as earlier views are remembered, the new home asks their homes ([`chain`]): an unknown flow's packet goes
//! to the home under each earlier view in turn, which either serves it or returns it. Only when all have returned it
//! does the home take it for a new flow. Every forwarding lowers the packet's hops, so that no pair of views can loop; a
//! packet out of hops whose flow is unknown starts a flow where it is, and that flow is told to its home like any
//! other.

pub mod advertise;
pub mod chain;
pub mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use self::advertise::Advertiser;
use self::chain::Chain;
use self::table::FlowTable;
use self::table::Found;
use self::table::Holder;
use self::table::SeatIndex;
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

/// Hops a packet may take: to the home, to and from each earlier home, and to a holder.
pub const MAX_HOPS: u8 = 10;
/// Time after which nothing goes to an instance whose failure domain is out.
const OUT_GRACE: Timestamp = Timestamp::from_secs(2);

/// What the flow decisions look at besides their own state.
#[derive(Clone, Copy)]
pub struct FlowContext<'a> {
    /// The view in force.
    pub view: &'a View,
    /// The other instances.
    pub members: &'a Membership,
    /// News of targets.
    pub health: &'a TargetStatusCache,
    /// When the set in force was adopted.
    pub adopted_at: Timestamp,
    /// Whether this instance decides nothing until its view is confirmed.
    pub fenced: bool,
}

/// Counts of what became of flows and packets.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowCounts {
    /// Flows started here.
    pub opened: u64,
    /// Flows given up because their failure domain was taken out.
    pub given_up: u64,
    /// Flows forgotten because they were silent.
    pub expired: u64,
    /// Flows taken over from another instance.
    pub taken_over: u64,
    /// Flows handed over to another instance.
    pub handed_over: u64,
    /// Flows told to their home but kept here.
    pub told: u64,
    /// Packets sent on to another instance.
    pub forwarded: u64,
    /// Packets sent to an earlier home.
    pub asked: u64,
    /// Flows that a second instance held too.
    pub conflicts: u64,
    /// Dropped packets by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

/// A packet whose flow is to be found.
#[derive(Clone, Copy, Debug)]
struct Packet {
    now: Timestamp,
    key: FlowKey,
    from: Option<InstanceId>,
    hops_left: u8,
    purpose: ForwardPurpose,
}

impl Packet {
    /// Returns which of the earlier homes is asked next.
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

/// All flows of one instance.
#[derive(Clone, Debug)]
pub struct Flows {
    me: InstanceId,
    table: FlowTable,
    chain: Chain,
    advertiser: Advertiser,
    ramps: BTreeMap<TargetId, SlowStartLimit>,
    /// When this instance woke from a pause. Another may have taken over the flows that had no packet since.
    doubted: Option<Timestamp>,
    counts: FlowCounts,
}

impl Flows {
    /// Starts with no flow.
    #[must_use]
    pub fn new(me: InstanceId, tuning: &Tuning) -> Self {
        Self {
            me,
            table: FlowTable::new(tuning.flow_capacity),
            chain: Chain::new(tuning.view_memory),
            advertiser: Advertiser::default(),
            ramps: BTreeMap::new(),
            doubted: None,
            counts: FlowCounts::default(),
        }
    }

    /// Returns the flows held here.
    #[must_use]
    pub fn held(&self) -> usize {
        self.table.held()
    }

    /// Returns the flows known to be held elsewhere.
    #[must_use]
    pub fn elsewhere(&self) -> usize {
        self.table.elsewhere()
    }

    /// Returns the earlier views that still matter.
    #[must_use]
    pub fn earlier_views(&self) -> usize {
        self.chain.len()
    }

    /// Returns the counts since start.
    #[must_use]
    pub fn counts(&self) -> &FlowCounts {
        &self.counts
    }

    /// Tells whether nothing is left to tell or hand over.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.advertiser.is_done()
    }

    /// Returns the flows held here that go to a target.
    #[must_use]
    pub fn held_for(&self, target: TargetId) -> u32 {
        self.table.held_for(target)
    }

    /// Decides on a packet from a caller.
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

    /// Decides on a packet from another instance.
    pub fn forwarded_packet(
        &mut self,
        now: Timestamp,
        head: &ForwardedPacketHeader,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> PacketAction {
        invariant_counters.assert(head.hops_left <= MAX_HOPS, Invariant::ForwardingEnds);
        let key = FlowKey { service: head.service, caller: head.caller };
        let ForwardedPacketHeader { from, purpose, .. } = *head;
        let packet = Packet { now, key, from: Some(from), hops_left: head.hops_left.min(MAX_HOPS), purpose };
        self.decide(packet, cx, invariant_counters)
    }

    fn decide(
        &mut self,
        packet: Packet,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> PacketAction {
        let fate = self.decide_unchecked(packet, cx, invariant_counters);
        if let PacketAction::Forward { head, .. } = fate {
            invariant_counters.assert(head.hops_left < packet.hops_left, Invariant::ForwardingEnds);
        }
        fate
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
        let doubted = self.doubted.filter(|_| !packet.is_returned());
        let found = self.table.touch(packet.now, &packet.key, doubted);
        let known = found.and_then(|found| self.decide_known(packet, found, cx, invariant_counters));
        known.unwrap_or_else(|| self.decide_unknown(packet, service, cx, invariant_counters))
    }

    /// Decides on a packet whose flow is known here; returns nothing when what is known no longer holds.
    fn decide_known(
        &mut self,
        packet: Packet,
        found: Found,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> Option<PacketAction> {
        match found.holder {
            Holder::Here { seat, local_port } => {
                let asked = found.doubtful.then(|| self.ask_earlier_home(packet, packet.key.hash64(), cx));
                asked.flatten().or_else(|| self.send_held(packet, seat, local_port, cx, invariant_counters))
            }
            Holder::Instance(holder) => self.send_to_holder(packet, holder, cx),
        }
    }

    /// Sends a held flow's packet to its target, or gives the flow up when it may get no more.
    fn send_held(
        &mut self,
        packet: Packet,
        seat: SeatIndex,
        local_port: LocalPort,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> Option<PacketAction> {
        let seat = self.table.seat(seat);
        if seat.block().is_some() {
            self.table.remove(packet.now, &packet.key);
            self.counts.given_up += 1;
            return None;
        }
        invariant_counters.assert(seat.service() == packet.key.service, Invariant::PacketStaysWithService);
        if cfg!(debug_assertions) {
            // Too slow for every packet in release, where the block of the seat stands for it.
            let in_service = cx.view.catalog().domain_in_service(&seat.note().failure_domain);
            invariant_counters.assert(in_service, Invariant::OutDomainSilent);
        }
        Some(PacketAction::ToTarget { local_port, target: seat.note().address })
    }

    /// Sends a packet on to the instance that holds its flow, or forgets a holder that is gone.
    fn send_to_holder(&mut self, packet: Packet, holder: InstanceId, cx: FlowContext<'_>) -> Option<PacketAction> {
        if let (ForwardPurpose::Ask { position }, true) = (packet.purpose, packet.from == Some(holder)) {
            // The holder has woken from a pause and asks whether anyone else has taken the flow: nobody has.
            return self.forward(packet, holder, ForwardPurpose::Return { position }, cx);
        }
        let usable = may_get_packets(packet.now, holder, cx) && packet.hops_left > 0 && packet.from != Some(holder);
        if !usable {
            self.table.remove(packet.now, &packet.key);
            return None;
        }
        self.forward(packet, holder, ForwardPurpose::ToHolder, cx)
    }

    /// Decides on a packet whose flow is not known here.
    fn decide_unknown(
        &mut self,
        packet: Packet,
        service: &ServiceEntry,
        cx: FlowContext<'_>,
        invariant_counters: &mut InvariantCounters,
    ) -> PacketAction {
        let hash = packet.key.hash64();
        if let (ForwardPurpose::Ask { position }, Some(asker)) = (packet.purpose, packet.from) {
            let fate = self.forward(packet, asker, ForwardPurpose::Return { position }, cx);
            return fate.unwrap_or_else(|| self.drop(DropReason::TooManyHops));
        }
        let Some(home) = cx.view.home(hash, service) else {
            return self.drop(DropReason::NoHome);
        };
        if home != self.me
            && packet.hops_left > 0
            && !packet.is_returned()
            && let Some(fate) = self.forward(packet, home, ForwardPurpose::ToHome, cx)
        {
            return fate;
        }
        if let Some(fate) = self.ask_earlier_home(packet, hash, cx) {
            return fate;
        }
        self.open(packet, hash, service, cx, invariant_counters)
    }

    /// Sends the packet of an unknown flow to the next earlier home that may hold it.
    fn ask_earlier_home(&mut self, packet: Packet, hash: u64, cx: FlowContext<'_>) -> Option<PacketAction> {
        // The answer needs a hop of its own.
        if packet.hops_left < 2 {
            return None;
        }
        let candidates = self.chain.candidates(packet.key.service, hash, self.me);
        let mut candidates = candidates.into_iter().enumerate().skip(packet.next_position().into());
        let (position, earlier) = candidates.find(|(_, earlier)| may_get_packets(packet.now, *earlier, cx))?;
        let position = u8::try_from(position).ok()?;
        let fate = self.forward(packet, earlier, ForwardPurpose::Ask { position }, cx)?;
        self.counts.asked += 1;
        Some(fate)
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

    /// Starts a flow here.
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
        let note = note(cx.view.catalog(), target);
        let Some(local_port) = self.table.insert_here(packet.now, packet.key, &note, 0) else {
            return self.drop(DropReason::TableFull);
        };
        self.counts.opened += 1;
        self.note_stray(hash, service, cx);
        PacketAction::ToTarget { local_port, target: target.address }
    }

    /// Has a flow told to its home if that is another instance.
    fn note_stray(&mut self, hash: u64, service: &ServiceEntry, cx: FlowContext<'_>) {
        if cx.view.home(hash, service) != Some(self.me) {
            self.advertiser.note_stray();
        }
    }

    /// Chooses a new flow's target among those of its failure domain.
    ///
    /// The first choice is the plain hash, so that a crashed home's successor comes to the same target without a
    /// message. A target that is cold, full, down or leaving is passed over for the next by rank.
    fn choose_target<'a>(
        &mut self,
        now: Timestamp,
        hash: u64,
        service: &ServiceEntry,
        cx: FlowContext<'a>,
    ) -> Option<&'a TargetEntry> {
        let catalog = cx.view.catalog();
        let domain = catalog.domain_of(hash, service)?;
        let members = &catalog.group(service.group).by_domain[domain];
        let seats = u32::try_from(cx.view.serving_for(domain).len()).unwrap_or(1).max(1);
        let targets = members.iter().filter_map(|id| catalog.target(*id)).filter(|target| !target.leaving);
        let mut ranked: Vec<_> = targets.map(|target| (rendezvous::score(hash, target.id), target)).collect();
        ranked.sort_unstable_by_key(|(score, target)| std::cmp::Reverse((*score, target.id)));
        let free = ranked.iter().find(|(_, target)| self.takes_flow(now, target, seats, cx.health));
        free.map(|(_, target)| *target)
    }

    /// Tells whether a target can take one more flow from this instance.
    fn takes_flow(&mut self, now: Timestamp, target: &TargetEntry, seats: u32, health: &TargetStatusCache) -> bool {
        let share = (target.connections / seats).max(1);
        let ramp = self.ramps.entry(target.id).or_insert_with(|| SlowStartLimit::warm(share));
        ramp.resize(share);
        match health.status(now, target.id) {
            Some(TargetStatus::Down | TargetStatus::Leaving) => return false,
            Some(TargetStatus::Cold) if ramp.is_warm() => ramp.restart(),
            Some(TargetStatus::Cold) => {}
            Some(TargetStatus::Warm) | None => *ramp = SlowStartLimit::warm(share),
        }
        let limit = ramp.limit();
        self.held_for(target.id) < limit
    }

    /// Decides on a packet from a target.
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
        let Some((key, seat)) = self.table.find_by_channel(now, target, local_port, self.doubted) else {
            return self.drop(DropReason::NoFlow);
        };
        if seat.block().is_some() {
            return self.drop(DropReason::DomainOut);
        }
        let id = seat.note().id;
        if let Some(ramp) = self.ramps.get_mut(&id) {
            ramp.record_success(1);
        }
        PacketAction::ToCaller { service: key.service, caller: key.caller }
    }

    fn drop(&mut self, reason: DropReason) -> PacketAction {
        *self.counts.dropped.entry(reason).or_default() += 1;
        PacketAction::Drop(reason)
    }

    /// Takes note that the view has changed: the former one joins the chain, and all flows are looked at anew.
    pub fn view_changed(&mut self, now: Timestamp, former: View, catalog: &Catalog) {
        self.chain.remember(now, former);
        self.table.revalidate(catalog);
        self.advertiser.restart();
    }

    /// Takes note that this instance has found its place: whatever flows there are, the homes of the fleet without it
    /// hold them.
    pub fn joined(&mut self, now: Timestamp, before: View) {
        self.chain.restart(now, before);
    }

    /// Has all flows told again: others counted this instance as dead, and have forgotten what it holds.
    pub fn readvertise(&mut self) {
        self.advertiser.restart();
    }

    /// Takes note that this instance woke from a pause, during which the fleet without it may have taken over its
    /// flows: those without a packet since are asked for before they are served from here.
    pub fn woke(&mut self, now: Timestamp, before: View) {
        self.doubted = Some(now);
        self.chain.remember(now, before);
        self.advertiser.restart();
    }

    /// Takes over a batch of flows, or notes where they are; returns the records that have to go.
    ///
    /// Two instances can come to hold one flow: each side of a partition starts it, or a packet overtakes the word of
    /// where it is. Left alone, packets would go to one target or the other depending on where they enter, so one of
    /// the records has to go ([`crate::message::FlowDescriptor::supersedes`]). The flow's home is told of both, and decides.
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
            let known = self.table.note(now, &key).filter(|(holder, _)| *holder != Holder::Instance(from));
            self.counts.conflicts += u64::from(known.is_some());
            match known {
                Some((_, known)) if known.supersedes(flow) => {
                    superseded.senders.push(flow.caller);
                    continue;
                }
                Some((Holder::Instance(other), _)) => superseded.others.entry(other).or_default().push(flow.caller),
                Some((Holder::Here { .. }, _)) | None => {}
            }
            if batch.handover {
                self.take_over(now, key, flow.age_ms, &batch.target, cx);
            } else {
                self.table.insert_elsewhere(now, key, from, flow);
            }
        }
        if batch.handover {
            // A target taken over may be one that this instance's set has already closed; word of a flow that stays
            // elsewhere brings no target.
            self.table.revalidate(cx.view.catalog());
        }
        superseded
    }

    /// Drops records that another instance's hold over; answers to them still pass for a while.
    pub fn superseded(&mut self, now: Timestamp, service: ServiceId, callers: &[SocketAddr]) {
        for caller in callers {
            self.table.give_away(now, &FlowKey { service, caller: *caller });
        }
    }

    fn take_over(&mut self, now: Timestamp, key: FlowKey, age_ms: u32, target: &TargetDescriptor, cx: FlowContext<'_>) {
        if self.table.insert_here(now, key, target, age_ms).is_some() {
            self.counts.taken_over += 1;
        }
        if let Some(service) = cx.view.catalog().service(key.service) {
            self.note_stray(key.hash64(), service, cx);
        }
    }

    /// Notes that a batch has arrived; flows handed over, or superseded by an elder record, are no longer held here.
    pub fn batch_acknowledged(&mut self, now: Timestamp, sequence: u64, superseded: &[SocketAddr]) {
        let Some(batch) = self.advertiser.acknowledged(sequence) else { return };
        for flow in &batch.flows {
            let lost = superseded.contains(&flow.caller);
            self.counts.handed_over += u64::from(batch.handover && !lost);
            self.counts.told += u64::from(!batch.handover && !lost);
            if batch.handover || lost {
                self.table.give_away(now, &FlowKey { service: batch.service, caller: flow.caller });
            }
        }
    }

    /// Does what is due: expiry, telling and handing over. Returns batches to send, each with its addressee.
    pub fn tick(&mut self, now: Timestamp, cx: FlowContext<'_>) -> Vec<(InstanceId, FlowBatch)> {
        let catalog = cx.view.catalog();
        self.counts.expired += self.table.expire(now, |service| catalog.service(service).map(|entry| entry.idle));
        self.chain.expire(now);
        if self.chain.is_empty() {
            self.doubted = None;
        }
        self.advertiser.tick(now, self.me, &self.table, cx)
    }
}

/// Records of flows that have to go, since another record of the same flow holds.
#[derive(Clone, Debug, Default)]
pub struct Superseded {
    /// Callers of those that the sender of the batch holds.
    pub senders: Vec<SocketAddr>,
    /// Callers of those that third instances hold.
    pub others: BTreeMap<InstanceId, Vec<SocketAddr>>,
}

fn note(catalog: &Catalog, target: &TargetEntry) -> TargetDescriptor {
    TargetDescriptor {
        id: target.id,
        address: target.address,
        failure_domain: catalog.domains()[target.domain].name.clone(),
    }
}

/// Tells whether packets may be forwarded to an instance: it can be reached, and its failure domain is not out, or
/// has been for so short a time that its flows may still be handed over.
fn may_get_packets(now: Timestamp, id: InstanceId, cx: FlowContext<'_>) -> bool {
    let Some(update) = cx.members.member(id).filter(|update| update.state.is_reachable()) else { return false };
    let in_service = cx.view.catalog().domain_in_service(&update.failure_domain);
    in_service || now.saturating_sub(cx.adopted_at) < OUT_GRACE
}
