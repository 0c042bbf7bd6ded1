//! Advertises flows to their homes, and hands flows over.
//!
//! After each view change, all held flows are scanned once, a slice per tick. A flow whose home is another instance is
//! called misplaced here. It is advertised to its home, or handed over to it if this instance no longer serves.
//!
//! A flow that stays is also advertised to the home's standby, the instance that becomes the flow's home if the home
//! fails. Otherwise the advertisement would be lost with the home, and the standby would open the flow as a new one
//! before the holder detects the failure. Batches are numbered and resent until they are confirmed; sender and receiver
//! handle repeated batches and confirmations idempotently.

use std::collections::BTreeMap;

use super::FlowContext;
use super::table::ADVERTISE_PERIOD;
use super::table::BindingIndex;
use super::table::FlowTable;
use super::table::HeldFlow;
use crate::Timestamp;
use crate::message::FlowBatch;
use crate::message::FlowDescriptor;
use crate::message::Sequence;
use hawthornshift_model::FlowKey;
use hawthornshift_model::InstanceId;

/// Maximum number of flow records scanned per tick.
const SCAN_RECORDS_PER_TICK: usize = 20_000;
/// Maximum number of flows in one batch.
const MAX_BATCH_FLOWS: usize = 64;
/// Maximum number of unconfirmed batches. Together with the tick period this limits the batches sent per second.
const MAX_PENDING_BATCHES: usize = 8;
/// Time after which an unconfirmed batch is resent.
const RESEND_PERIOD: Timestamp = Timestamp::from_secs(1);
/// Number of sends after which an unconfirmed batch is dropped. Its receiver is probably gone, and the next view then
/// names another home.
const MAX_SENDS: u32 = 5;

#[derive(Clone, Debug)]
struct PendingBatch {
    to: InstanceId,
    batch: FlowBatch,
    last_sent_at: Timestamp,
    send_count: u32,
}

/// Flows still to be sent, by receiver, target and whether they are handed over.
type Backlog = BTreeMap<(InstanceId, BindingIndex, bool), Vec<FlowDescriptor>>;

/// Advertises the flows of one instance and hands them over.
#[derive(Clone, Debug, Default)]
pub struct Advertiser {
    /// Index of the next flow record to scan; `None` when no scan is in progress.
    cursor: Option<usize>,
    backlog: Backlog,
    pending: BTreeMap<Sequence, PendingBatch>,
    next_sequence: Sequence,
    /// Whether a misplaced flow was added, or a batch was dropped, since the last scan started.
    needs_scan: bool,
    /// Whether the last scan found misplaced flows.
    has_misplaced: bool,
    next_advertisement_at: Timestamp,
}

impl Advertiser {
    /// Discards everything pending and starts a new scan; called after a view change.
    pub fn restart(&mut self) {
        self.cursor = Some(0);
        self.backlog.clear();
        self.pending.clear();
    }

    /// Schedules a scan, because a flow was added whose home is another instance.
    pub fn mark_misplaced(&mut self) {
        self.needs_scan = true;
    }

    /// Returns whether all flows are advertised or handed over, and all batches confirmed or dropped.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.is_idle() && !self.needs_scan
    }

    fn is_idle(&self) -> bool {
        self.cursor.is_none() && self.backlog.is_empty() && self.pending.is_empty()
    }

    /// Handles a confirmation; returns the batch that it confirms, if that is still pending.
    pub fn acknowledged(&mut self, sequence: Sequence) -> Option<FlowBatch> {
        self.pending.remove(&sequence).map(|pending| pending.batch)
    }

    /// Scans a slice of the flows and returns the batches to send now, each with its receiver.
    pub fn tick(
        &mut self,
        now: Timestamp,
        me: InstanceId,
        table: &FlowTable,
        cx: FlowContext<'_>,
    ) -> Vec<(InstanceId, FlowBatch)> {
        let due = self.needs_scan || (self.has_misplaced && now >= self.next_advertisement_at);
        if due && self.is_idle() {
            self.cursor = Some(0);
        }
        self.scan(now, me, table, cx);
        let mut messages = Vec::new();
        self.resend(now, &mut messages);
        self.send(now, table, &mut messages);
        messages
    }

    fn scan(&mut self, now: Timestamp, me: InstanceId, table: &FlowTable, cx: FlowContext<'_>) {
        let Some(start) = self.cursor else { return };
        if start == 0 {
            self.needs_scan = false;
            self.has_misplaced = false;
            self.next_advertisement_at = now + ADVERTISE_PERIOD;
        }
        let end = table.slab_len().min(start + SCAN_RECORDS_PER_TICK);
        let handover = !cx.view.serves(me);
        for position in start..end {
            let Some(HeldFlow { service, binding, descriptor }) = table.held_at(now, position) else { continue };
            let Some(service) = cx.view.catalog().service(service) else { continue };
            if !cx.view.catalog().domain_in_service(&table.binding(binding).descriptor().failure_domain) {
                continue;
            }
            let key = FlowKey { service: service.id, caller: descriptor.caller };
            let Some(home) = cx.view.home(key.hash64(), service).filter(|home| *home != me) else { continue };
            self.has_misplaced = true;
            self.backlog.entry((home, binding, handover)).or_default().push(descriptor);
            let standby = cx.view.standby(key.hash64(), service, home).filter(|standby| *standby != me && !handover);
            if let Some(standby) = standby {
                self.backlog.entry((standby, binding, false)).or_default().push(descriptor);
            }
        }
        self.cursor = (end < table.slab_len()).then_some(end);
    }

    fn resend(&mut self, now: Timestamp, messages: &mut Vec<(InstanceId, FlowBatch)>) {
        let before = self.pending.len();
        self.pending.retain(|_, pending| {
            pending.send_count < MAX_SENDS || now.saturating_sub(pending.last_sent_at) < RESEND_PERIOD
        });
        // Flows of dropped batches are scanned again; by then the view may name another home.
        self.needs_scan |= self.pending.len() < before;
        for pending in
            self.pending.values_mut().filter(|pending| now.saturating_sub(pending.last_sent_at) >= RESEND_PERIOD)
        {
            pending.last_sent_at = now;
            pending.send_count += 1;
            messages.push((pending.to, pending.batch.clone()));
        }
    }

    fn send(&mut self, now: Timestamp, table: &FlowTable, messages: &mut Vec<(InstanceId, FlowBatch)>) {
        while self.pending.len() < MAX_PENDING_BATCHES {
            let Some(mut entry) = self.backlog.first_entry() else { return };
            let (to, binding, handover) = *entry.key();
            let split_at = entry.get().len().saturating_sub(MAX_BATCH_FLOWS);
            let flows = entry.get_mut().split_off(split_at);
            if entry.get().is_empty() {
                entry.remove();
            }
            self.next_sequence += 1;
            let binding = table.binding(binding);
            let batch = FlowBatch {
                sequence: self.next_sequence,
                service: binding.service(),
                target: binding.descriptor().clone(),
                handover,
                flows,
            };
            messages.push((to, batch.clone()));
            self.pending.insert(self.next_sequence, PendingBatch { to, batch, last_sent_at: now, send_count: 1 });
        }
    }
}
