//! The table of flows: records in a slab, an index by key, and for each target the channels in use.
//!
//! Records are small and fixed, so that a table of hundreds of thousands stays within an instance's memory. Expiry
//! walks the slab a slice at a time; no packet ever waits for a full pass.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hashbrown::HashTable;

use crate::Timestamp;
use crate::catalog::Catalog;
use crate::event::LocalPort;
use crate::maps::Map;
use crate::message::FlowDescriptor;
use crate::message::TargetDescriptor;
use hawthornshift_model::FlowKey;
use hawthornshift_model::InstanceId;
use hawthornshift_model::ServiceId;
use hawthornshift_model::TargetId;

/// Position of a target in the table.
pub type SeatIndex = u32;

/// Position of a record in the slab.
type SlotIndex = u32;

/// Time after which flows that stay behind are told again, so that those who were told do not forget them.
pub const TELL_PERIOD: Duration = Duration::from_mins(2);
/// Time for which a channel rests after its flow has ended. A late packet of the target would otherwise reach the
/// caller of the next flow on that channel.
const CHANNEL_REST: Duration = Duration::from_mins(1);
/// Time for which answers to a flow that was handed over are still passed on.
const REPLY_TAIL: Duration = Duration::from_secs(30);
/// Part of the slab that one expiry step walks.
const EXPIRY_SLICES: usize = 50;
/// Idle time of flows whose service the set no longer names.
const ORPHAN_IDLE: Duration = Duration::from_mins(1);
/// Most channels of one target at one instance.
const MAX_CHANNELS: usize = 60_000;

/// Who holds a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holder {
    /// This instance.
    Here {
        /// The target.
        seat: SeatIndex,
        /// The local port used towards it.
        local_port: LocalPort,
    },
    /// Another instance, which has told so.
    Instance(InstanceId),
}

#[derive(Clone, Copy, Debug)]
enum State {
    Vacant,
    Here {
        seat: SeatIndex,
        local_port: LocalPort,
    },
    Elsewhere {
        holder: InstanceId,
    },
    /// Handed over; only answers of the target still pass.
    GivenAway {
        seat: SeatIndex,
        local_port: LocalPort,
    },
}

#[derive(Clone, Copy, Debug)]
struct Record {
    key: FlowKey,
    state: State,
    /// Start of the flow, in milliseconds as below.
    opened: u32,
    /// Last packet, in milliseconds on the process's clock, which wraps after 49 days.
    touched: u32,
}

impl Record {
    fn idle(&self, now: Timestamp) -> Duration {
        Duration::from_millis(stamp(now).wrapping_sub(self.touched).into())
    }

    /// Tells whether the last packet was before `doubted`.
    fn is_doubtful(&self, now: Timestamp, doubted: Option<Timestamp>) -> bool {
        doubted.is_some_and(|since| self.idle(now) > now.saturating_sub(since))
    }

    fn note(&self, now: Timestamp) -> FlowDescriptor {
        let now = stamp(now);
        FlowDescriptor {
            caller: self.key.caller,
            age_ms: now.wrapping_sub(self.opened),
            idle_ms: now.wrapping_sub(self.touched),
        }
    }
}

/// A flow held here, as a walk over the slab finds it.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// The service.
    pub service: ServiceId,
    /// The target.
    pub seat: SeatIndex,
    /// What is told of it.
    pub note: FlowDescriptor,
}

/// What a look-up for a packet finds.
#[derive(Clone, Copy, Debug)]
pub struct Found {
    /// Who holds the flow.
    pub holder: Holder,
    /// Whether its last packet was before the time asked about.
    pub doubtful: bool,
}

/// Why a target's flows may get no more packets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Block {
    /// Its failure domain is out.
    DomainOut,
    /// Its address now belongs to another target or serves another service.
    Replaced,
}

/// A target as the flows of one service use it.
#[derive(Clone, Debug)]
pub struct Seat {
    note: TargetDescriptor,
    service: ServiceId,
    ports: usize,
    live: u32,
    block: Option<Block>,
}

impl Seat {
    /// Returns the target.
    #[must_use]
    pub fn note(&self) -> &TargetDescriptor {
        &self.note
    }

    /// Returns the service whose flows go here.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.service
    }

    /// Returns why the flows may get no more packets, if they may not.
    #[must_use]
    pub fn block(&self) -> Option<Block> {
        self.block
    }

    /// A target that the set no longer names keeps its flows until they end: it was removed as planned. One whose
    /// address or group now serves others loses them, since their packets would reach a service not their own.
    fn find_block(&self, catalog: &Catalog) -> Option<Block> {
        if !catalog.domain_in_service(&self.note.failure_domain) {
            return Some(Block::DomainOut);
        }
        let owner = catalog.target_at(self.note.address)?;
        let group = catalog.target(owner).map(|target| target.group);
        let own = catalog.service(self.service).map(|service| service.group);
        let serves_others =
            catalog.services().any(|service| Some(service.group) == group && service.id != self.service);
        let replaced = owner != self.note.id || (own != group && serves_others);
        replaced.then_some(Block::Replaced)
    }
}

/// The channels in use towards one address.
///
/// They are counted by address and not by target, because a packet that comes back tells no more than the address.
#[derive(Clone, Debug, Default)]
struct Ports {
    slots: Vec<Option<SlotIndex>>,
    resting: VecDeque<(LocalPort, Timestamp)>,
}

impl Ports {
    fn take(&mut self, now: Timestamp, slot: SlotIndex) -> Option<LocalPort> {
        let rested = |(_, since): &mut (LocalPort, Timestamp)| now.saturating_sub(*since) >= CHANNEL_REST;
        if let Some((local_port, _)) = self.resting.pop_front_if(rested) {
            self.slots[usize::from(local_port)] = Some(slot);
            return Some(local_port);
        }
        if self.slots.len() >= MAX_CHANNELS {
            return None;
        }
        let local_port = LocalPort::try_from(self.slots.len()).ok()?;
        self.slots.push(Some(slot));
        Some(local_port)
    }

    fn rest(&mut self, now: Timestamp, local_port: LocalPort) {
        self.slots[usize::from(local_port)] = None;
        self.resting.push_back((local_port, now));
    }
}

/// The flows that one instance knows of.
#[derive(Clone, Debug)]
pub struct FlowTable {
    records: Vec<Record>,
    vacant: Vec<SlotIndex>,
    index: HashTable<SlotIndex>,
    seats: Vec<Seat>,
    by_pair: Map<(ServiceId, TargetId), SeatIndex>,
    by_target: Map<TargetId, Vec<SeatIndex>>,
    ports: Vec<Ports>,
    by_address: Map<SocketAddr, usize>,
    capacity: usize,
    held: usize,
    elsewhere: usize,
    cursor: usize,
}

impl FlowTable {
    /// Makes a table for at most `capacity` flows.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            records: Vec::new(),
            vacant: Vec::new(),
            index: HashTable::new(),
            seats: Vec::new(),
            by_pair: Map::default(),
            by_target: Map::default(),
            ports: Vec::new(),
            by_address: Map::default(),
            capacity,
            held: 0,
            elsewhere: 0,
            cursor: 0,
        }
    }

    /// Returns the flows held here.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the flows known to be held elsewhere.
    #[must_use]
    pub fn elsewhere(&self) -> usize {
        self.elsewhere
    }

    /// Returns the length of the slab, an upper bound for walks over it.
    #[must_use]
    pub fn span(&self) -> usize {
        self.records.len()
    }

    /// Returns a target.
    #[must_use]
    pub fn seat(&self, index: SeatIndex) -> &Seat {
        &self.seats[index as usize]
    }

    /// Returns the flows held here that go to a target.
    #[must_use]
    pub fn held_for(&self, target: TargetId) -> u32 {
        let seats = self.by_target.get(&target).into_iter().flatten();
        seats.map(|seat| self.seat(*seat).live).sum()
    }

    /// Looks at every target anew, since the set in force has changed.
    ///
    /// A block is for good. Were it lifted when a failure domain comes back, flows that their callers have long moved
    /// elsewhere would jump back to where they were. New flows to the same target get a new seat.
    pub fn revalidate(&mut self, catalog: &Catalog) {
        let Self { seats, by_pair, by_target, .. } = self;
        for (index, seat) in seats.iter_mut().enumerate().filter(|(_, seat)| seat.block.is_none()) {
            seat.block = seat.find_block(catalog);
            if seat.block.is_none() {
                continue;
            }
            by_pair.remove(&(seat.service, seat.note.id));
            if let Some(others) = by_target.get_mut(&seat.note.id) {
                others.retain(|other| *other as usize != index);
            }
        }
    }

    /// Returns the flow held here at a position of the slab.
    #[must_use]
    pub fn held_at(&self, now: Timestamp, position: usize) -> Option<Held> {
        let record = self.records.get(position)?;
        match record.state {
            State::Here { seat, .. } => Some(Held { service: record.key.service, seat, note: record.note(now) }),
            _ => None,
        }
    }

    /// Returns who holds a flow, and what is known of that record.
    #[must_use]
    pub fn note(&self, now: Timestamp, key: &FlowKey) -> Option<(Holder, FlowDescriptor)> {
        let record = self.records[self.find(key)? as usize];
        Some((holder(record.state)?, record.note(now)))
    }

    fn find(&self, key: &FlowKey) -> Option<SlotIndex> {
        self.index.find(key.hash64(), |slot| self.records[*slot as usize].key == *key).copied()
    }

    /// Returns who holds a flow and notes that it has a packet, unless its last one was before `doubted`.
    pub fn touch(&mut self, now: Timestamp, key: &FlowKey, doubted: Option<Timestamp>) -> Option<Found> {
        let slot = self.find(key)?;
        let record = &mut self.records[slot as usize];
        let holder = holder(record.state)?;
        let doubtful = record.is_doubtful(now, doubted);
        if !doubtful {
            record.touched = stamp(now);
        }
        Some(Found { holder, doubtful })
    }

    /// Adds a flow held here, started `age_ms` milliseconds ago; returns its channel, or none when the table or the
    /// target has no room.
    pub fn insert_here(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        target: &TargetDescriptor,
        age_ms: u32,
    ) -> Option<LocalPort> {
        // Someone else's hold, or the tail of a hold given away, ends here.
        self.remove(now, &key);
        let slot = self.take_slot(now, key)?;
        let seat = self.intern(key.service, target);
        let ports = self.seats[seat as usize].ports;
        let Some(local_port) = self.ports[ports].take(now, slot) else {
            self.vacant.push(slot);
            return None;
        };
        self.seats[seat as usize].live += 1;
        let record = &mut self.records[slot as usize];
        record.state = State::Here { seat, local_port };
        record.opened = stamp(now).wrapping_sub(age_ms);
        self.held += 1;
        self.link(&key, slot);
        Some(local_port)
    }

    /// Notes that another instance holds a flow; without room the note is dropped, and the chain still finds it.
    pub fn insert_elsewhere(&mut self, now: Timestamp, key: FlowKey, holder: InstanceId, note: &FlowDescriptor) {
        self.remove(now, &key);
        let Some(slot) = self.take_slot(now, key) else { return };
        let record = &mut self.records[slot as usize];
        record.state = State::Elsewhere { holder };
        record.opened = stamp(now).wrapping_sub(note.age_ms);
        record.touched = stamp(now).wrapping_sub(note.idle_ms);
        self.elsewhere += 1;
        self.link(&key, slot);
    }

    fn take_slot(&mut self, now: Timestamp, key: FlowKey) -> Option<SlotIndex> {
        let record = Record { key, state: State::Vacant, opened: stamp(now), touched: stamp(now) };
        if let Some(slot) = self.vacant.pop() {
            self.records[slot as usize] = record;
            return Some(slot);
        }
        if self.records.len() >= self.capacity {
            return None;
        }
        let slot = SlotIndex::try_from(self.records.len()).ok()?;
        self.records.push(record);
        Some(slot)
    }

    fn link(&mut self, key: &FlowKey, slot: SlotIndex) {
        let Self { records, index, .. } = self;
        index.insert_unique(key.hash64(), slot, |slot| records[*slot as usize].key.hash64());
    }

    fn unlink(&mut self, key: &FlowKey) -> Option<SlotIndex> {
        let Self { records, index, .. } = self;
        let entry = index.find_entry(key.hash64(), |slot| records[*slot as usize].key == *key).ok()?;
        Some(entry.remove().0)
    }

    fn intern(&mut self, service: ServiceId, note: &TargetDescriptor) -> SeatIndex {
        if let Some(seat) = self.by_pair.get(&(service, note.id)) {
            return *seat;
        }
        let index = SeatIndex::try_from(self.seats.len()).unwrap_or(SeatIndex::MAX);
        let ports = self.intern_ports(note.address);
        self.seats.push(Seat { note: note.clone(), service, ports, live: 0, block: None });
        self.by_pair.insert((service, note.id), index);
        self.by_target.entry(note.id).or_default().push(index);
        index
    }

    fn intern_ports(&mut self, address: SocketAddr) -> usize {
        let next = self.ports.len();
        let index = *self.by_address.entry(address).or_insert(next);
        if index == next {
            self.ports.push(Ports::default());
        }
        index
    }

    /// Forgets a flow at once; a channel it had rests.
    pub fn remove(&mut self, now: Timestamp, key: &FlowKey) {
        let Some(slot) = self.unlink(key) else { return };
        match self.records[slot as usize].state {
            State::Here { seat, local_port } => {
                self.seats[seat as usize].live -= 1;
                self.rest(now, seat, local_port);
                self.held -= 1;
            }
            State::GivenAway { seat, local_port } => self.rest(now, seat, local_port),
            State::Elsewhere { .. } => self.elsewhere -= 1,
            State::Vacant => {}
        }
        self.records[slot as usize].state = State::Vacant;
        self.vacant.push(slot);
    }

    fn rest(&mut self, now: Timestamp, seat: SeatIndex, local_port: LocalPort) {
        let ports = self.seats[seat as usize].ports;
        self.ports[ports].rest(now, local_port);
    }

    /// Stops holding a flow that another instance has taken over; answers to it still pass for a while.
    pub fn give_away(&mut self, now: Timestamp, key: &FlowKey) {
        let Some(slot) = self.find(key) else { return };
        let record = &mut self.records[slot as usize];
        if let State::Here { seat, local_port } = record.state {
            record.state = State::GivenAway { seat, local_port };
            record.touched = stamp(now);
            self.seats[seat as usize].live -= 1;
            self.held -= 1;
        }
    }

    /// Finds the flow of a packet that came from a target on a channel, and notes that it had a packet.
    ///
    /// A flow whose last packet was before `doubted` is not found: another instance may hold it by now.
    pub fn find_by_channel(
        &mut self,
        now: Timestamp,
        target: SocketAddr,
        local_port: LocalPort,
        doubted: Option<Timestamp>,
    ) -> Option<(FlowKey, &Seat)> {
        let ports = &self.ports[*self.by_address.get(&target)?];
        let slot = (*ports.slots.get(usize::from(local_port))?)?;
        let record = &mut self.records[slot as usize];
        let seat = match record.state {
            State::Here { seat, .. } => {
                if record.is_doubtful(now, doubted) {
                    return None;
                }
                record.touched = stamp(now);
                seat
            }
            State::GivenAway { seat, .. } => seat,
            State::Elsewhere { .. } | State::Vacant => return None,
        };
        Some((record.key, &self.seats[seat as usize]))
    }

    /// Walks a slice of the slab and forgets flows that have been silent for their service's idle time; returns how
    /// many of those were held here.
    pub fn expire(&mut self, now: Timestamp, idle: impl Fn(ServiceId) -> Option<Duration>) -> u64 {
        let step = self.records.len().div_ceil(EXPIRY_SLICES);
        let mut expired = 0;
        for _ in 0..step {
            self.cursor = if self.cursor + 1 >= self.records.len() { 0 } else { self.cursor + 1 };
            let record = self.records[self.cursor];
            let Record { key, state, .. } = record;
            let limit = match state {
                State::Vacant => continue,
                State::GivenAway { .. } => REPLY_TAIL,
                State::Here { .. } => idle(key.service).unwrap_or(ORPHAN_IDLE),
                // Its holder tells of it again and again for as long as the flow lasts.
                State::Elsewhere { .. } => idle(key.service).unwrap_or(ORPHAN_IDLE).max(TELL_PERIOD * 2),
            };
            if record.idle(now) >= limit {
                expired += u64::from(matches!(state, State::Here { .. }));
                self.remove(now, &key);
            }
        }
        expired
    }
}

fn holder(state: State) -> Option<Holder> {
    match state {
        State::Here { seat, local_port } => Some(Holder::Here { seat, local_port }),
        State::Elsewhere { holder } => Some(Holder::Instance(holder)),
        State::Vacant | State::GivenAway { .. } => None,
    }
}

/// Shortens a time to milliseconds that wrap.
fn stamp(now: Timestamp) -> u32 {
    u32::try_from(now.as_millis() & u128::from(u32::MAX)).unwrap_or(0)
}
