//! Telling homes which flows stay behind, and handing flows over.
//!
//! After each change of view every held flow is looked at once, a slice at a time. One whose home is another instance
//! is told there, or handed over when this instance no longer serves. One that stays is told to the home's standby too,
//! the instance that becomes its home when the home dies: else the word would die with the home, and the standby would
//! take the flow for a new one before its holder has even noticed. Batches are numbered and sent again until they
//! are confirmed; both ends take a repeated one without harm.

use std::collections::BTreeMap;

use super::FlowContext;
use super::table::FlowTable;
use super::table::Held;
use super::table::SeatIndex;
use super::table::TELL_PERIOD;
use crate::Timestamp;
use crate::message::FlowBatch;
use crate::message::FlowDescriptor;
use crate::message::Sequence;
use hawthornshift_model::FlowKey;
use hawthornshift_model::InstanceId;

/// Records looked at in one tick.
const SCAN_SLICE: usize = 20_000;
/// Flows in one batch.
const BATCH: usize = 64;
/// Batches under way at once; with the tick this bounds what telling sends a second.
const WINDOW: usize = 8;
/// Time after which an unconfirmed batch is sent again.
const RESEND: Timestamp = Timestamp::from_secs(1);
/// Tries after which an unconfirmed batch is dropped: its addressee is gone, and the next view names another.
const MAX_SENDS: u32 = 5;

#[derive(Clone, Debug)]
struct Pending {
    to: InstanceId,
    batch: FlowBatch,
    sent: Timestamp,
    sends: u32,
}

/// Flows that wait to be told, by addressee, target and whether they are handed over.
type Backlog = BTreeMap<(InstanceId, SeatIndex, bool), Vec<FlowDescriptor>>;

/// What is left to tell.
#[derive(Clone, Debug, Default)]
pub struct Advertiser {
    cursor: Option<usize>,
    backlog: Backlog,
    pending: BTreeMap<Sequence, Pending>,
    next_sequence: Sequence,
    /// Flows have come since the last walk that may belong elsewhere.
    dirty: bool,
    /// The last walk found flows that stay behind.
    has_strays: bool,
    next_round: Timestamp,
}

impl Advertiser {
    /// Starts over, since the view has changed.
    pub fn restart(&mut self) {
        self.cursor = Some(0);
        self.backlog.clear();
        self.pending.clear();
    }

    /// Notes that a flow has come whose home is another instance.
    pub fn note_stray(&mut self) {
        self.dirty = true;
    }

    /// Tells whether everything has been told.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.is_idle() && !self.dirty
    }

    fn is_idle(&self) -> bool {
        self.cursor.is_none() && self.backlog.is_empty() && self.pending.is_empty()
    }

    /// Notes a confirmation and returns the batch it is for.
    pub fn acknowledged(&mut self, sequence: Sequence) -> Option<FlowBatch> {
        self.pending.remove(&sequence).map(|pending| pending.batch)
    }

    /// Looks at a slice of the flows and returns what to send now.
    pub fn tick(
        &mut self,
        now: Timestamp,
        me: InstanceId,
        table: &FlowTable,
        cx: FlowContext<'_>,
    ) -> Vec<(InstanceId, FlowBatch)> {
        let due = self.dirty || (self.has_strays && now >= self.next_round);
        if due && self.is_idle() {
            self.cursor = Some(0);
        }
        self.scan(now, me, table, cx);
        let mut news = Vec::new();
        self.resend(now, &mut news);
        self.send(now, table, &mut news);
        news
    }

    fn scan(&mut self, now: Timestamp, me: InstanceId, table: &FlowTable, cx: FlowContext<'_>) {
        let Some(start) = self.cursor else { return };
        if start == 0 {
            self.dirty = false;
            self.has_strays = false;
            self.next_round = now + TELL_PERIOD;
        }
        let end = table.span().min(start + SCAN_SLICE);
        let handover = !cx.view.serves(me);
        for position in start..end {
            let Some(Held { service, seat, note }) = table.held_at(now, position) else { continue };
            let Some(service) = cx.view.catalog().service(service) else { continue };
            if !cx.view.catalog().domain_in_service(&table.seat(seat).note().failure_domain) {
                continue;
            }
            let key = FlowKey { service: service.id, caller: note.caller };
            let Some(home) = cx.view.home(key.hash64(), service).filter(|home| *home != me) else { continue };
            self.has_strays = true;
            self.backlog.entry((home, seat, handover)).or_default().push(note);
            let standby = cx.view.standby(key.hash64(), service, home).filter(|standby| *standby != me && !handover);
            if let Some(standby) = standby {
                self.backlog.entry((standby, seat, false)).or_default().push(note);
            }
        }
        self.cursor = (end < table.span()).then_some(end);
    }

    fn resend(&mut self, now: Timestamp, news: &mut Vec<(InstanceId, FlowBatch)>) {
        let before = self.pending.len();
        self.pending.retain(|_, pending| pending.sends < MAX_SENDS || now.saturating_sub(pending.sent) < RESEND);
        // What could not be told is looked at again: by then the view may name another home.
        self.dirty |= self.pending.len() < before;
        for pending in self.pending.values_mut().filter(|pending| now.saturating_sub(pending.sent) >= RESEND) {
            pending.sent = now;
            pending.sends += 1;
            news.push((pending.to, pending.batch.clone()));
        }
    }

    fn send(&mut self, now: Timestamp, table: &FlowTable, news: &mut Vec<(InstanceId, FlowBatch)>) {
        while self.pending.len() < WINDOW {
            let Some(mut entry) = self.backlog.first_entry() else { return };
            let (to, seat, handover) = *entry.key();
            let rest = entry.get().len().saturating_sub(BATCH);
            let flows = entry.get_mut().split_off(rest);
            if entry.get().is_empty() {
                entry.remove();
            }
            self.next_sequence += 1;
            let seat = table.seat(seat);
            let batch = FlowBatch {
                sequence: self.next_sequence,
                service: seat.service(),
                target: seat.note().clone(),
                handover,
                flows,
            };
            news.push((to, batch.clone()));
            self.pending.insert(self.next_sequence, Pending { to, batch, sent: now, sends: 1 });
        }
    }
}
