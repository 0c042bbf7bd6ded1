//! Single-use tickets: a non-idempotent request runs at most once, without agreement between instances.
//!
//! A ticket names the instance that issued it and that instance's incarnation. Only the issuer may redeem the ticket,
//! and its memory records whether it was redeemed. An instance that receives a ticket of another issuer forwards the
//! request to the issuer. If the issuer has failed, nobody can know whether the ticket was redeemed, and the verdict is
//! "may have run". An issuer that stops as planned sends its peers a final report of the tickets it redeemed, so that
//! "not run" stays correct for all others.
//!
//! # What is stored, and for how long
//!
//! Nothing is stored for a ticket that was issued but not redeemed: the ticket itself carries its issue time, protected
//! together with the service by a keyed hash that only the issuer can compute. A redemption is stored for twice the
//! ticket lifetime: while the ticket can be presented, and as long again, so that an expired ticket without a
//! redemption is known not to have run. Answers are stored up to a limit in bytes and evicted oldest first; a retry is
//! then refused with the reason that the request ran and its answer is gone.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use thiserror::Error;

use crate::Timestamp;
use crate::event::AnswerId;
use crate::event::RequestId;
use crate::event::StoredAnswer;
use crate::invariants::Invariant;
use crate::invariants::InvariantCounters;
use crate::maps::FixedHashMap;
use crate::maps::FixedHashSet;
use crate::message::PeerMessage;
use crate::message::Refusal;
use hawthornshift_model::Incarnation;
use hawthornshift_model::InstanceId;
use hawthornshift_model::ServiceId;

/// Number of a ticket, unique within one incarnation of its issuer.
pub type Serial = u64;

/// Length of the key that signs tickets, in bytes.
pub const KEY_BYTES: usize = 32;
/// Maximum number of stored redemptions; beyond it, tickets are refused as "not run".
const MAX_REDEMPTIONS: usize = 200_000;
/// Maximum number of stopped issuers whose final report is stored.
const MAX_FINAL_REPORTS: usize = 1_024;
/// Length of the keyed hash in a ticket, in hexadecimal digits.
const SIGNATURE_HEX_DIGITS: usize = 32;
/// Maximum length of a ticket, in bytes; longer texts are rejected unparsed.
const MAX_TICKET_BYTES: usize = 160;

/// The unsigned fields of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Instance that issued the ticket.
    pub issuer: InstanceId,
    /// Incarnation of the issuer.
    pub incarnation: Incarnation,
    /// Issue time, in milliseconds of the issuer's clock.
    issued_ms: u64,
    /// Number of the ticket.
    pub serial: Serial,
}

/// Error for a text that does not have the format of a ticket.
#[derive(Debug, Error, Eq, PartialEq)]
#[error("malformed ticket")]
pub struct MalformedTicket;

impl Ticket {
    /// Parses the fields of a ticket without verifying the signature, which only the issuer can do.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedTicket`] if the text is longer than 160 bytes, does not have five fields separated by dots,
    /// or a field other than the signature is not a hexadecimal number.
    pub fn parse(text: &str) -> Result<Self, MalformedTicket> {
        let (ticket, _) = Self::parse_parts(text)?;
        Ok(ticket)
    }

    fn parse_parts(text: &str) -> Result<(Self, &str), MalformedTicket> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(MalformedTicket);
        }
        let fields: Vec<&str> = text.split('.').collect();
        let [issuer, incarnation, issued_ms, serial, signature] = fields[..] else {
            return Err(MalformedTicket);
        };
        let ticket = Self {
            issuer: InstanceId::from_str_radix(issuer, 16).map_err(|_| MalformedTicket)?,
            incarnation: parse_hex(incarnation)?,
            issued_ms: parse_hex(issued_ms)?,
            serial: parse_hex(serial)?,
        };
        Ok((ticket, signature))
    }

    fn payload(&self) -> String {
        format!("{:x}.{:x}.{:x}.{:x}", self.issuer, self.incarnation, self.issued_ms, self.serial)
    }
}

fn parse_hex(text: &str) -> Result<u64, MalformedTicket> {
    u64::from_str_radix(text, 16).map_err(|_| MalformedTicket)
}

/// State of a redemption.
#[derive(Clone, Debug)]
enum RedemptionState {
    /// The request is running; the requests in `waiting` wait for the same answer.
    Running { waiting: Vec<RequestId> },
    /// The answer is stored.
    Answered(StoredAnswer),
    /// The request ran, and its answer has been evicted.
    AnswerDropped,
    /// The request may have run, and its outcome will never be known.
    Unknown(Refusal),
}

#[derive(Clone, Debug)]
struct Redemption {
    state: RedemptionState,
    remove_at: Timestamp,
}

/// What the issuer does with a presented ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PresentOutcome {
    /// The ticket has now been redeemed: run the request.
    Run(Serial),
    /// A request with the same ticket is running: wait for its answer.
    Wait,
    /// The ticket was never redeemed, and this issuer no longer redeems tickets.
    Closed,
    /// The request has run: reply with this stored answer.
    Answer(AnswerId),
    /// The request has run, and its answer is no longer stored.
    AnswerGone,
    /// The ticket was redeemed before, and the request may have run.
    Unknown(Refusal),
    /// This incarnation of this instance did not issue the ticket for this service, or the text is malformed.
    Invalid,
    /// The ticket has expired and was never redeemed.
    Expired,
    /// The ticket expired so long ago that a redemption would have been removed.
    Forgotten,
    /// The table of redemptions is full.
    Full,
}

/// What a stopped issuer reported about a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosedIssuerStatus {
    /// The final report shows that the ticket was never redeemed.
    NeverRedeemed,
    /// The final report lists the ticket as redeemed.
    Redeemed,
    /// There is no final report, or it does not cover the ticket.
    Unknown,
}

/// Result of recording the end of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FinishedRun {
    /// Requests that were waiting for the outcome of the same ticket.
    pub waiting: Vec<RequestId>,
    /// Answers evicted to stay within the limit.
    pub dropped: Vec<AnswerId>,
}

/// How the run of a redeemed ticket ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// With an answer.
    Answered(StoredAnswer),
    /// The request did not run; the ticket may be presented again.
    NotRun,
    /// The request may have run, and its outcome is unknown.
    Unknown(Refusal),
}

/// Final report of an issuer that has stopped.
#[derive(Clone, Debug)]
struct FinalReport {
    known_since_ms: u64,
    redeemed: FixedHashSet<Serial>,
}

/// The tickets issued by this incarnation of this instance, and the final reports of other issuers.
#[derive(Clone, Debug)]
pub struct Tickets {
    me: InstanceId,
    incarnation: Incarnation,
    key: [u8; KEY_BYTES],
    lifetime: Duration,
    max_answer_bytes: usize,
    next_serial: Serial,
    redemptions: FixedHashMap<Serial, Redemption>,
    /// Stored answers with their sizes in bytes, oldest first.
    answers: VecDeque<(Serial, usize)>,
    answer_bytes: usize,
    expiry_queue: VecDeque<(Timestamp, Serial)>,
    final_reports: BTreeMap<(InstanceId, Incarnation), FinalReport>,
    is_closed: bool,
}

impl Tickets {
    /// Creates an issuer that has not issued any ticket.
    ///
    /// `key` must be random and secret. `lifetime` is the time during which a ticket can be redeemed, and
    /// `max_answer_bytes` the limit on stored answers.
    #[must_use]
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        key: [u8; KEY_BYTES],
        lifetime: Duration,
        max_answer_bytes: usize,
    ) -> Self {
        Self {
            me,
            incarnation,
            key,
            lifetime,
            max_answer_bytes,
            next_serial: 1,
            redemptions: FixedHashMap::default(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            expiry_queue: VecDeque::new(),
            final_reports: BTreeMap::new(),
            is_closed: false,
        }
    }

    /// Returns the number of stored redemptions.
    #[must_use]
    pub fn redemption_count(&self) -> usize {
        self.redemptions.len()
    }

    /// Returns the total size of the stored answers, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Issues a ticket for one request to `service`.
    pub fn issue(&mut self, now: Timestamp, service: ServiceId) -> String {
        let ticket = Ticket {
            issuer: self.me,
            incarnation: self.incarnation,
            issued_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            serial: self.next_serial,
        };
        self.next_serial += 1;
        let payload = ticket.payload();
        let signature = self.sign(&payload, service);
        format!("{payload}.{}", &signature.to_hex()[..SIGNATURE_HEX_DIGITS])
    }

    fn sign(&self, payload: &str, service: ServiceId) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&service.to_le_bytes());
        hasher.update(payload.as_bytes());
        hasher.finalize()
    }

    /// Presents a ticket that names this incarnation of this instance, and returns what to do with the request.
    ///
    /// If a request with the same ticket is running, `waiter` is added to the requests that wait for its answer.
    pub fn present(&mut self, now: Timestamp, text: &str, service: ServiceId, waiter: RequestId) -> PresentOutcome {
        let Ok((ticket, signature)) = Ticket::parse_parts(text) else { return PresentOutcome::Invalid };
        if !self.is_genuine(&ticket, signature, service) {
            return PresentOutcome::Invalid;
        }
        if let Some(redemption) = self.redemptions.get_mut(&ticket.serial) {
            return match &mut redemption.state {
                RedemptionState::Running { waiting } => {
                    waiting.push(waiter);
                    PresentOutcome::Wait
                }
                RedemptionState::Answered(answer) => PresentOutcome::Answer(answer.id),
                RedemptionState::AnswerDropped => PresentOutcome::AnswerGone,
                RedemptionState::Unknown(refusal) => PresentOutcome::Unknown(*refusal),
            };
        }
        let age = now.saturating_sub(Duration::from_millis(ticket.issued_ms));
        if age >= self.lifetime * 2 {
            return PresentOutcome::Forgotten;
        }
        if age >= self.lifetime {
            return PresentOutcome::Expired;
        }
        if self.is_closed {
            return PresentOutcome::Closed;
        }
        if self.redemptions.len() >= MAX_REDEMPTIONS {
            return PresentOutcome::Full;
        }
        self.record_redemption(now, ticket.serial);
        PresentOutcome::Run(ticket.serial)
    }

    fn is_genuine(&self, ticket: &Ticket, signature: &str, service: ServiceId) -> bool {
        let is_own = ticket.issuer == self.me && ticket.incarnation == self.incarnation;
        let expected = self.sign(&ticket.payload(), service).to_hex();
        // Hashes of the signatures are compared in constant time, so that a signature cannot be guessed digit by digit.
        let digest = |text: &str| blake3::hash(text.as_bytes());
        is_own && ticket.serial < self.next_serial && digest(signature) == digest(&expected[..SIGNATURE_HEX_DIGITS])
    }

    fn record_redemption(&mut self, now: Timestamp, serial: Serial) {
        // Two lifetimes from now end later than two lifetimes from the issue of the ticket.
        let remove_at = now + self.lifetime * 2;
        let redemption = Redemption { state: RedemptionState::Running { waiting: Vec::new() }, remove_at };
        self.redemptions.insert(serial, redemption);
        self.expiry_queue.push_back((remove_at, serial));
    }

    /// Records how the run of a redeemed ticket ended.
    pub fn finish_run(
        &mut self,
        serial: Serial,
        outcome: RunOutcome,
        invariant_counters: &mut InvariantCounters,
    ) -> FinishedRun {
        let Some(redemption) = self.redemptions.get_mut(&serial) else { return FinishedRun::default() };
        let state = match outcome {
            RunOutcome::Answered(answer) => RedemptionState::Answered(answer),
            RunOutcome::Unknown(refusal) => RedemptionState::Unknown(refusal),
            RunOutcome::NotRun => RedemptionState::Running { waiting: Vec::new() },
        };
        let former = std::mem::replace(&mut redemption.state, state);
        let RedemptionState::Running { waiting } = former else {
            // A second end of the same ticket means that the request ran twice.
            invariant_counters.assert(false, Invariant::TicketRunsOnce);
            return FinishedRun::default();
        };
        if outcome == RunOutcome::NotRun {
            self.redemptions.remove(&serial);
        }
        if let RunOutcome::Answered(answer) = outcome {
            self.answers.push_back((serial, answer.size));
            self.answer_bytes += answer.size;
        }
        FinishedRun { waiting, dropped: self.evict_answers() }
    }

    /// Evicts the oldest answers until the rest fit the limit.
    fn evict_answers(&mut self) -> Vec<AnswerId> {
        let mut dropped = Vec::new();
        while self.answer_bytes > self.max_answer_bytes {
            let Some((serial, size)) = self.answers.pop_front() else { break };
            self.answer_bytes -= size;
            let Some(redemption) = self.redemptions.get_mut(&serial) else { continue };
            if let RedemptionState::Answered(answer) = redemption.state {
                dropped.push(answer.id);
                redemption.state = RedemptionState::AnswerDropped;
            }
        }
        dropped
    }

    /// Removes a request from those that wait for the answer of a running request.
    pub fn remove_waiter(&mut self, request: RequestId) {
        for redemption in self.redemptions.values_mut() {
            if let RedemptionState::Running { waiting } = &mut redemption.state {
                waiting.retain(|waiter| *waiter != request);
            }
        }
    }

    /// Removes redemptions two lifetimes after they were made; returns the answers to release.
    pub fn expire(&mut self, now: Timestamp) -> Vec<AnswerId> {
        let mut dropped = Vec::new();
        while let Some((_, serial)) = self.expiry_queue.pop_front_if(|(at, _)| *at <= now) {
            let is_due = self.redemptions.get(&serial).is_some_and(|redemption| redemption.remove_at <= now);
            let is_running = matches!(
                self.redemptions.get(&serial).map(|redemption| &redemption.state),
                Some(RedemptionState::Running { .. })
            );
            if is_running {
                self.expiry_queue.push_back((now + self.lifetime, serial));
                break;
            }
            if !is_due {
                continue;
            }
            if let Some(Redemption { state: RedemptionState::Answered(answer), .. }) = self.redemptions.remove(&serial)
            {
                dropped.push(answer.id);
                self.answer_bytes = self.answer_bytes.saturating_sub(answer.size);
                self.answers.retain(|(kept, _)| *kept != serial);
            }
        }
        dropped
    }

    /// Stops redeeming tickets, so that the final report stays correct.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns the final reports of other issuers as messages for a peer.
    pub fn final_reports(&self) -> impl Iterator<Item = PeerMessage> {
        self.final_reports.iter().map(|((issuer, incarnation), report)| {
            let mut redeemed: Vec<Serial> = report.redeemed.iter().copied().collect();
            redeemed.sort_unstable();
            let (issuer, incarnation, known_since_ms) = (*issuer, *incarnation, report.known_since_ms);
            PeerMessage::IssuerClosed { issuer, incarnation, known_since_ms, redeemed }
        })
    }

    /// Returns the serial numbers of all stored redemptions, in ascending order.
    #[must_use]
    pub fn redeemed(&self) -> Vec<Serial> {
        let mut serials: Vec<Serial> = self.redemptions.keys().copied().collect();
        serials.sort_unstable();
        serials
    }

    /// Returns the earliest issue time, in milliseconds of this instance's clock, from which every redemption is
    /// stored.
    #[must_use]
    pub fn known_since_ms(&self, now: Timestamp) -> u64 {
        u64::try_from(now.saturating_sub(self.lifetime * 2).as_millis()).unwrap_or(u64::MAX)
    }

    /// Stores the final report of an issuer that has stopped.
    pub fn issuer_closed(
        &mut self,
        issuer: InstanceId,
        incarnation: Incarnation,
        known_since_ms: u64,
        redeemed: &[Serial],
    ) {
        while self.final_reports.len() >= MAX_FINAL_REPORTS {
            self.final_reports.pop_first();
        }
        let report = FinalReport { known_since_ms, redeemed: redeemed.iter().copied().collect() };
        self.final_reports.insert((issuer, incarnation), report);
    }

    /// Returns what a stopped issuer reported about a ticket.
    #[must_use]
    pub fn closed_issuer_status(&self, ticket: &Ticket) -> ClosedIssuerStatus {
        match self.final_reports.get(&(ticket.issuer, ticket.incarnation)) {
            None => ClosedIssuerStatus::Unknown,
            Some(report) if report.redeemed.contains(&ticket.serial) => ClosedIssuerStatus::Redeemed,
            // The ticket is so old that the issuer would have removed its redemption before it stopped.
            Some(report) if ticket.issued_ms < report.known_since_ms => ClosedIssuerStatus::Unknown,
            Some(_) => ClosedIssuerStatus::NeverRedeemed,
        }
    }
}
