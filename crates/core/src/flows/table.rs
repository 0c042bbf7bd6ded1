//! The flow table: records in a slab, an index by flow key, and the local ports in use for each target address.
//!
//! Records are small and of fixed size, so that a table of several hundred thousand flows fits into an instance's
//! memory. Expiry scans the slab in slices, so that no packet waits for a full pass.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hashbrown::HashTable;

use crate::Timestamp;
use crate::catalog::Catalog;
use crate::event::LocalPort;
use crate::maps::FixedHashMap;
use crate::message::FlowDescriptor;
use crate::message::TargetDescriptor;
use hawthornshift_model::FlowKey;
use hawthornshift_model::InstanceId;
use hawthornshift_model::ServiceId;
use hawthornshift_model::TargetId;

/// Index of a target binding in the table.
pub type BindingIndex = u32;

/// Index of a record in the slab.
type SlotIndex = u32;

/// Time after which misplaced flows are advertised again, so that the receivers' records of them do not expire.
pub const ADVERTISE_PERIOD: Duration = Duration::from_mins(2);
/// Time for which a local port is not reused after its flow has ended. Otherwise a late packet from the target would
/// reach the caller of the next flow on that port.
const PORT_QUARANTINE: Duration = Duration::from_mins(1);
/// Time for which answers from the target to a flow that another instance now holds are still passed on.
const HANDED_OVER_REPLY_TIME: Duration = Duration::from_secs(30);
/// Number of expiry steps in which the whole slab is scanned once.
const EXPIRY_STEPS_PER_PASS: usize = 50;
/// Idle timeout of flows whose service is no longer in the set.
const UNKNOWN_SERVICE_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum number of local ports of this instance for one target address.
const MAX_PORTS_PER_ADDRESS: usize = 60_000;

/// The instance that holds a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holder {
    /// This instance.
    Local {
        /// The binding of the flow's target.
        binding: BindingIndex,
        /// The local port from which packets go to the target.
        local_port: LocalPort,
    },
    /// Another instance, which has advertised the flow.
    Instance(InstanceId),
}

#[derive(Clone, Copy, Debug)]
enum RecordState {
    Vacant,
    Local {
        binding: BindingIndex,
        local_port: LocalPort,
    },
    Elsewhere {
        holder: InstanceId,
    },
    /// Another instance holds the flow now; only answers from the target are still passed on.
    HandedOver {
        binding: BindingIndex,
        local_port: LocalPort,
    },
}

#[derive(Clone, Copy, Debug)]
struct Record {
    key: FlowKey,
    state: RecordState,
    /// Start of the flow, in milliseconds on the same clock as `last_packet_ms`.
    started_ms: u32,
    /// Time of the last packet, in milliseconds on the process's clock. The value wraps around after 49 days.
    last_packet_ms: u32,
}

impl Record {
    fn idle_time(&self, now: Timestamp) -> Duration {
        Duration::from_millis(wrapping_millis(now).wrapping_sub(self.last_packet_ms).into())
    }

    /// Returns whether the last packet was before `unconfirmed_before`.
    fn is_unconfirmed(&self, now: Timestamp, unconfirmed_before: Option<Timestamp>) -> bool {
        unconfirmed_before.is_some_and(|since| self.idle_time(now) > now.saturating_sub(since))
    }

    fn descriptor(&self, now: Timestamp) -> FlowDescriptor {
        let now = wrapping_millis(now);
        FlowDescriptor {
            caller: self.key.caller,
            age_ms: now.wrapping_sub(self.started_ms),
            idle_ms: now.wrapping_sub(self.last_packet_ms),
        }
    }
}

/// A flow held here, as returned by a scan of the slab.
#[derive(Clone, Copy, Debug)]
pub struct HeldFlow {
    /// Service of the flow.
    pub service: ServiceId,
    /// Binding of the flow's target.
    pub binding: BindingIndex,
    /// Descriptor of the flow for an advertisement or a handover.
    pub descriptor: FlowDescriptor,
}

/// Result of a look-up for a packet.
#[derive(Clone, Copy, Debug)]
pub struct LookupResult {
    /// Holder of the flow.
    pub holder: Holder,
    /// Whether the flow's last packet was before the time given to the look-up, so that another instance may hold it.
    pub unconfirmed: bool,
}

/// The reason why no more packets may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlockReason {
    /// The target's failure domain is out of service.
    DomainOut,
    /// The target's address now belongs to another target or serves another service.
    Replaced,
}

/// The use of a target by the flows of one service.
#[derive(Clone, Debug)]
pub struct TargetBinding {
    descriptor: TargetDescriptor,
    service: ServiceId,
    /// Index of the port allocator of the target's address.
    ports: usize,
    /// Number of flows held here that use this binding.
    held_flows: u32,
    block: Option<BlockReason>,
}

impl TargetBinding {
    /// Returns the descriptor of the target.
    #[must_use]
    pub fn descriptor(&self) -> &TargetDescriptor {
        &self.descriptor
    }

    /// Returns the service whose flows use this binding.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.service
    }

    /// Returns why no more packets of these flows may be sent to the target, or `None` if they may be sent.
    #[must_use]
    pub fn block(&self) -> Option<BlockReason> {
        self.block
    }

    /// Returns the reason to block the target under a new set, if there is one.
    ///
    /// A target that is no longer in the set keeps its flows until they end, because its removal was planned. A target
    /// whose address or group now serves other services is blocked, because the packets would reach the wrong service.
    fn find_block_reason(&self, catalog: &Catalog) -> Option<BlockReason> {
        if !catalog.domain_in_service(&self.descriptor.failure_domain) {
            return Some(BlockReason::DomainOut);
        }
        let owner = catalog.target_at(self.descriptor.address)?;
        let group = catalog.target(owner).map(|target| target.group);
        let own = catalog.service(self.service).map(|service| service.group);
        let serves_others =
            catalog.services().any(|service| Some(service.group) == group && service.id != self.service);
        let replaced = owner != self.descriptor.id || (own != group && serves_others);
        replaced.then_some(BlockReason::Replaced)
    }
}

/// The local ports in use for one target address.
///
/// Ports are allocated per address and not per target, because a returning packet identifies the target only by its
/// address.
#[derive(Clone, Debug, Default)]
struct PortAllocator {
    slots: Vec<Option<SlotIndex>>,
    quarantined: VecDeque<(LocalPort, Timestamp)>,
}

impl PortAllocator {
    fn allocate(&mut self, now: Timestamp, slot: SlotIndex) -> Option<LocalPort> {
        let quarantine_over = |(_, since): &mut (LocalPort, Timestamp)| now.saturating_sub(*since) >= PORT_QUARANTINE;
        if let Some((local_port, _)) = self.quarantined.pop_front_if(quarantine_over) {
            self.slots[usize::from(local_port)] = Some(slot);
            return Some(local_port);
        }
        if self.slots.len() >= MAX_PORTS_PER_ADDRESS {
            return None;
        }
        let local_port = LocalPort::try_from(self.slots.len()).ok()?;
        self.slots.push(Some(slot));
        Some(local_port)
    }

    fn release(&mut self, now: Timestamp, local_port: LocalPort) {
        self.slots[usize::from(local_port)] = None;
        self.quarantined.push_back((local_port, now));
    }
}

/// The flows that one instance holds or knows about.
#[derive(Clone, Debug)]
pub struct FlowTable {
    records: Vec<Record>,
    vacant: Vec<SlotIndex>,
    index: HashTable<SlotIndex>,
    bindings: Vec<TargetBinding>,
    by_service_and_target: FixedHashMap<(ServiceId, TargetId), BindingIndex>,
    by_target: FixedHashMap<TargetId, Vec<BindingIndex>>,
    ports: Vec<PortAllocator>,
    by_address: FixedHashMap<SocketAddr, usize>,
    capacity: usize,
    held: usize,
    elsewhere: usize,
    expiry_cursor: usize,
}

impl FlowTable {
    /// Creates a table for at most `capacity` flows.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            records: Vec::new(),
            vacant: Vec::new(),
            index: HashTable::new(),
            bindings: Vec::new(),
            by_service_and_target: FixedHashMap::default(),
            by_target: FixedHashMap::default(),
            ports: Vec::new(),
            by_address: FixedHashMap::default(),
            capacity,
            held: 0,
            elsewhere: 0,
            expiry_cursor: 0,
        }
    }

    /// Returns the number of flows held here.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of flows known to be held by other instances.
    #[must_use]
    pub fn elsewhere(&self) -> usize {
        self.elsewhere
    }

    /// Returns the number of records in the slab, vacant ones included; the end of a scan with [`FlowTable::held_at`].
    #[must_use]
    pub fn slab_len(&self) -> usize {
        self.records.len()
    }

    /// Returns a target binding.
    #[must_use]
    pub fn binding(&self, index: BindingIndex) -> &TargetBinding {
        &self.bindings[index as usize]
    }

    /// Returns the number of flows held here that go to a target.
    #[must_use]
    pub fn held_for(&self, target: TargetId) -> u32 {
        let bindings = self.by_target.get(&target).into_iter().flatten();
        bindings.map(|binding| self.binding(*binding).held_flows).sum()
    }

    /// Checks every target binding against a new set.
    ///
    /// A block is permanent. If it were lifted when a failure domain returns to service, flows that have moved to
    /// another target meanwhile would move back. New flows to the same target get a new binding.
    pub fn revalidate(&mut self, catalog: &Catalog) {
        let Self { bindings, by_service_and_target, by_target, .. } = self;
        for (index, binding) in bindings.iter_mut().enumerate().filter(|(_, binding)| binding.block.is_none()) {
            binding.block = binding.find_block_reason(catalog);
            if binding.block.is_none() {
                continue;
            }
            by_service_and_target.remove(&(binding.service, binding.descriptor.id));
            if let Some(others) = by_target.get_mut(&binding.descriptor.id) {
                others.retain(|other| *other as usize != index);
            }
        }
    }

    /// Returns the flow at an index of the slab, if it is held here.
    #[must_use]
    pub fn held_at(&self, now: Timestamp, position: usize) -> Option<HeldFlow> {
        let record = self.records.get(position)?;
        match record.state {
            RecordState::Local { binding, .. } => {
                Some(HeldFlow { service: record.key.service, binding, descriptor: record.descriptor(now) })
            }
            _ => None,
        }
    }

    /// Returns the holder and the descriptor of a flow.
    #[must_use]
    pub fn descriptor(&self, now: Timestamp, key: &FlowKey) -> Option<(Holder, FlowDescriptor)> {
        let record = self.records[self.find(key)? as usize];
        Some((holder(record.state)?, record.descriptor(now)))
    }

    fn find(&self, key: &FlowKey) -> Option<SlotIndex> {
        self.index.find(key.hash64(), |slot| self.records[*slot as usize].key == *key).copied()
    }

    /// Returns the holder of a flow and records that a packet arrived, unless the flow's last packet was before
    /// `unconfirmed_before`.
    pub fn touch(
        &mut self,
        now: Timestamp,
        key: &FlowKey,
        unconfirmed_before: Option<Timestamp>,
    ) -> Option<LookupResult> {
        let slot = self.find(key)?;
        let record = &mut self.records[slot as usize];
        let holder = holder(record.state)?;
        let unconfirmed = record.is_unconfirmed(now, unconfirmed_before);
        if !unconfirmed {
            record.last_packet_ms = wrapping_millis(now);
        }
        Some(LookupResult { holder, unconfirmed })
    }

    /// Adds a flow held here that started `age_ms` milliseconds ago, and returns its local port. Returns `None` if the
    /// table is full or no local port is free for the target's address.
    pub fn insert_local(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        target: &TargetDescriptor,
        age_ms: u32,
    ) -> Option<LocalPort> {
        // Replaces a record of another holder, or of a flow that was handed over earlier.
        self.remove(now, &key);
        let slot = self.allocate_record(now, key)?;
        let binding = self.intern_binding(key.service, target);
        let ports = self.bindings[binding as usize].ports;
        let Some(local_port) = self.ports[ports].allocate(now, slot) else {
            self.vacant.push(slot);
            return None;
        };
        self.bindings[binding as usize].held_flows += 1;
        let record = &mut self.records[slot as usize];
        record.state = RecordState::Local { binding, local_port };
        record.started_ms = wrapping_millis(now).wrapping_sub(age_ms);
        self.held += 1;
        self.insert_index(&key, slot);
        Some(local_port)
    }

    /// Records that another instance holds a flow. If the table is full nothing is recorded, and the flow can still be
    /// found through earlier views.
    pub fn insert_elsewhere(&mut self, now: Timestamp, key: FlowKey, holder: InstanceId, descriptor: &FlowDescriptor) {
        self.remove(now, &key);
        let Some(slot) = self.allocate_record(now, key) else { return };
        let record = &mut self.records[slot as usize];
        record.state = RecordState::Elsewhere { holder };
        record.started_ms = wrapping_millis(now).wrapping_sub(descriptor.age_ms);
        record.last_packet_ms = wrapping_millis(now).wrapping_sub(descriptor.idle_ms);
        self.elsewhere += 1;
        self.insert_index(&key, slot);
    }

    fn allocate_record(&mut self, now: Timestamp, key: FlowKey) -> Option<SlotIndex> {
        let record = Record {
            key,
            state: RecordState::Vacant,
            started_ms: wrapping_millis(now),
            last_packet_ms: wrapping_millis(now),
        };
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

    fn insert_index(&mut self, key: &FlowKey, slot: SlotIndex) {
        let Self { records, index, .. } = self;
        index.insert_unique(key.hash64(), slot, |slot| records[*slot as usize].key.hash64());
    }

    fn remove_index(&mut self, key: &FlowKey) -> Option<SlotIndex> {
        let Self { records, index, .. } = self;
        let entry = index.find_entry(key.hash64(), |slot| records[*slot as usize].key == *key).ok()?;
        Some(entry.remove().0)
    }

    fn intern_binding(&mut self, service: ServiceId, descriptor: &TargetDescriptor) -> BindingIndex {
        if let Some(binding) = self.by_service_and_target.get(&(service, descriptor.id)) {
            return *binding;
        }
        let index = BindingIndex::try_from(self.bindings.len()).unwrap_or(BindingIndex::MAX);
        let ports = self.intern_ports(descriptor.address);
        self.bindings.push(TargetBinding {
            descriptor: descriptor.clone(),
            service,
            ports,
            held_flows: 0,
            block: None,
        });
        self.by_service_and_target.insert((service, descriptor.id), index);
        self.by_target.entry(descriptor.id).or_default().push(index);
        index
    }

    fn intern_ports(&mut self, address: SocketAddr) -> usize {
        let next = self.ports.len();
        let index = *self.by_address.entry(address).or_insert(next);
        if index == next {
            self.ports.push(PortAllocator::default());
        }
        index
    }

    /// Removes a flow at once and quarantines its local port.
    pub fn remove(&mut self, now: Timestamp, key: &FlowKey) {
        let Some(slot) = self.remove_index(key) else { return };
        match self.records[slot as usize].state {
            RecordState::Local { binding, local_port } => {
                self.bindings[binding as usize].held_flows -= 1;
                self.release(now, binding, local_port);
                self.held -= 1;
            }
            RecordState::HandedOver { binding, local_port } => self.release(now, binding, local_port),
            RecordState::Elsewhere { .. } => self.elsewhere -= 1,
            RecordState::Vacant => {}
        }
        self.records[slot as usize].state = RecordState::Vacant;
        self.vacant.push(slot);
    }

    fn release(&mut self, now: Timestamp, binding: BindingIndex, local_port: LocalPort) {
        let ports = self.bindings[binding as usize].ports;
        self.ports[ports].release(now, local_port);
    }

    /// Marks a flow held here as held by another instance. Answers from the target are still passed on for a limited
    /// time.
    pub fn mark_handed_over(&mut self, now: Timestamp, key: &FlowKey) {
        let Some(slot) = self.find(key) else { return };
        let record = &mut self.records[slot as usize];
        if let RecordState::Local { binding, local_port } = record.state {
            record.state = RecordState::HandedOver { binding, local_port };
            record.last_packet_ms = wrapping_millis(now);
            self.bindings[binding as usize].held_flows -= 1;
            self.held -= 1;
        }
    }

    /// Returns the flow of a packet from a target that arrived on a local port, and records that a packet arrived.
    ///
    /// Does not return a flow whose last packet was before `unconfirmed_before`, because another instance may hold it
    /// by now.
    pub fn find_by_local_port(
        &mut self,
        now: Timestamp,
        target: SocketAddr,
        local_port: LocalPort,
        unconfirmed_before: Option<Timestamp>,
    ) -> Option<(FlowKey, &TargetBinding)> {
        let ports = &self.ports[*self.by_address.get(&target)?];
        let slot = (*ports.slots.get(usize::from(local_port))?)?;
        let record = &mut self.records[slot as usize];
        let binding = match record.state {
            RecordState::Local { binding, .. } => {
                if record.is_unconfirmed(now, unconfirmed_before) {
                    return None;
                }
                record.last_packet_ms = wrapping_millis(now);
                binding
            }
            RecordState::HandedOver { binding, .. } => binding,
            RecordState::Elsewhere { .. } | RecordState::Vacant => return None,
        };
        Some((record.key, &self.bindings[binding as usize]))
    }

    /// Scans a slice of the slab and removes the flows that have reached their idle timeout; `idle_timeout` returns
    /// the timeout of a service in the set. Returns the number of removed flows that were held here.
    pub fn expire(&mut self, now: Timestamp, idle_timeout: impl Fn(ServiceId) -> Option<Duration>) -> u64 {
        let step = self.records.len().div_ceil(EXPIRY_STEPS_PER_PASS);
        let mut expired = 0;
        for _ in 0..step {
            self.expiry_cursor = if self.expiry_cursor + 1 >= self.records.len() { 0 } else { self.expiry_cursor + 1 };
            let record = self.records[self.expiry_cursor];
            let Record { key, state, .. } = record;
            let limit = match state {
                RecordState::Vacant => continue,
                RecordState::HandedOver { .. } => HANDED_OVER_REPLY_TIME,
                RecordState::Local { .. } => idle_timeout(key.service).unwrap_or(UNKNOWN_SERVICE_IDLE_TIMEOUT),
                // The holder advertises the flow periodically for as long as the flow lasts.
                RecordState::Elsewhere { .. } => {
                    idle_timeout(key.service).unwrap_or(UNKNOWN_SERVICE_IDLE_TIMEOUT).max(ADVERTISE_PERIOD * 2)
                }
            };
            if record.idle_time(now) >= limit {
                expired += u64::from(matches!(state, RecordState::Local { .. }));
                self.remove(now, &key);
            }
        }
        expired
    }
}

fn holder(state: RecordState) -> Option<Holder> {
    match state {
        RecordState::Local { binding, local_port } => Some(Holder::Local { binding, local_port }),
        RecordState::Elsewhere { holder } => Some(Holder::Instance(holder)),
        RecordState::Vacant | RecordState::HandedOver { .. } => None,
    }
}

/// Converts a time to milliseconds that wrap around at 32 bits.
fn wrapping_millis(now: Timestamp) -> u32 {
    u32::try_from(now.as_millis() & u128::from(u32::MAX)).unwrap_or(0)
}
