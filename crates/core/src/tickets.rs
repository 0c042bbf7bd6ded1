//! Tickets: how a non-idempotent request runs at most once without any agreement between instances.
//!
//! A ticket names the one life of the one instance that issued it. That instance alone may redeem it, and its own
//! memory says whether it has. Whoever else gets the ticket passes it to the issuer. When the issuer is gone nobody
//! can know, and the honest answer is "may have run". An issuer that stops as planned leaves word of which tickets it
//! redeemed, so that for all others "not run" stays true.
//!
//! # What is remembered, and for how long
//!
//! Nothing is stored for a ticket that was issued but not redeemed: its issue time and service are in it, under a
//! keyed hash that only the issuer can make. A redemption is remembered for as long as its ticket could come back
//! (its life) and as long again, so that an expired ticket without a redemption is known not to have run. Answers are
//! kept within a budget of bytes, the oldest dropped first; a retry then learns that the request ran and that the
//! answer is gone.

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
use crate::maps::Map;
use crate::maps::Set;
use crate::message::PeerMessage;
use crate::message::Refusal;
use hawthornshift_model::Incarnation;
use hawthornshift_model::InstanceId;
use hawthornshift_model::ServiceId;

/// Number of a ticket within its issuer's life.
pub type Serial = u64;

/// Length of the key that signs tickets, in bytes.
pub const KEY_BYTES: usize = 32;
/// Most redemptions remembered; beyond it new ones are refused as "not run".
const MAX_REDEMPTIONS: usize = 200_000;
/// Issuers whose last word is remembered.
const MAX_FINAL_REPORTS: usize = 1_024;
/// Hexadecimal digits of the keyed hash in a ticket.
const SIGNATURE_HEX_DIGITS: usize = 32;
/// Longest ticket in bytes that is looked at.
const MAX_TICKET_BYTES: usize = 160;

/// What a ticket says in plain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Who issued it.
    pub issuer: InstanceId,
    /// In which life.
    pub incarnation: Incarnation,
    /// When, in milliseconds of the issuer's clock.
    issued_ms: u64,
    /// Its number.
    pub serial: Serial,
}

/// A text that is not a ticket.
#[derive(Debug, Error, Eq, PartialEq)]
#[error("malformed ticket")]
pub struct MalformedTicket;

impl Ticket {
    /// Reads what a ticket says in plain; only the issuer can tell whether it is genuine.
    ///
    /// # Errors
    ///
    /// Fails on a text of another shape.
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

/// How a redemption stands.
#[derive(Clone, Debug)]
enum RedemptionState {
    /// The request runs; these others wait for the same answer.
    Running { waiting: Vec<RequestId> },
    /// The answer is kept.
    Answered(StoredAnswer),
    /// It ran, and the answer is no longer kept.
    AnswerDropped,
    /// It may have run, and nothing more will be known.
    Unknown(Refusal),
}

#[derive(Clone, Debug)]
struct Redemption {
    state: RedemptionState,
    remove_at: Timestamp,
}

/// What becomes of a ticket that is presented to its issuer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PresentOutcome {
    /// It is redeemed now: run the request.
    Run(Serial),
    /// The request runs already: wait for its answer.
    Wait,
    /// It was never redeemed, and no ticket is any more.
    Closed,
    /// It has run: here is its answer.
    Answer(AnswerId),
    /// It has run, and the answer is gone.
    AnswerGone,
    /// It was tried before, and may have run.
    Unknown(Refusal),
    /// The ticket was never given for this service by this life of this instance.
    Invalid,
    /// Its time is over and it never ran.
    Expired,
    /// Its time has been over for so long that nobody knows whether it ran.
    Forgotten,
    /// Too many redemptions are remembered to take another.
    Full,
}

/// What is known of a ticket whose issuer has stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosedIssuerStatus {
    /// The issuer said that it never redeemed it.
    NeverRedeemed,
    /// The issuer said that it redeemed it.
    Redeemed,
    /// The issuer left no word.
    Unknown,
}

/// How an answered or failed run leaves its redemption.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FinishedRun {
    /// Requests that waited for the same outcome.
    pub waiting: Vec<RequestId>,
    /// Answers dropped to stay within the budget.
    pub dropped: Vec<AnswerId>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// With an answer.
    Answered(StoredAnswer),
    /// Without running: the ticket may be presented again.
    NotRun,
    /// Nobody knows.
    Unknown(Refusal),
}

/// The last word of an issuer that has stopped.
#[derive(Clone, Debug)]
struct FinalReport {
    known_since_ms: u64,
    redeemed: Set<Serial>,
}

/// The tickets that this life of this instance has issued.
#[derive(Clone, Debug)]
pub struct Tickets {
    me: InstanceId,
    incarnation: Incarnation,
    key: [u8; KEY_BYTES],
    lifetime: Duration,
    max_answer_bytes: usize,
    next_serial: Serial,
    redemptions: Map<Serial, Redemption>,
    /// Answers kept, the oldest first.
    answers: VecDeque<(Serial, usize)>,
    answer_bytes: usize,
    expiry: VecDeque<(Timestamp, Serial)>,
    final_reports: BTreeMap<(InstanceId, Incarnation), FinalReport>,
    is_closed: bool,
}

impl Tickets {
    /// Starts without a ticket; `key` must be random, and unknown to anyone else.
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
            redemptions: Map::default(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            expiry: VecDeque::new(),
            final_reports: BTreeMap::new(),
            is_closed: false,
        }
    }

    /// Returns the redemptions remembered.
    #[must_use]
    pub fn redemption_count(&self) -> usize {
        self.redemptions.len()
    }

    /// Returns the bytes of the answers kept.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Issues a ticket for a request to `service`.
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

    /// Takes a ticket that names this life of this instance, and says what to do.
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
        let ours = ticket.issuer == self.me && ticket.incarnation == self.incarnation;
        let expected = self.sign(&ticket.payload(), service).to_hex();
        // Hashes are compared in constant time, so that a signature cannot be guessed digit by digit.
        let digest = |text: &str| blake3::hash(text.as_bytes());
        ours && ticket.serial < self.next_serial && digest(signature) == digest(&expected[..SIGNATURE_HEX_DIGITS])
    }

    fn record_redemption(&mut self, now: Timestamp, serial: Serial) {
        // Kept for twice the life from now, which is later than twice the life from issue.
        let remove_at = now + self.lifetime * 2;
        let redemption = Redemption { state: RedemptionState::Running { waiting: Vec::new() }, remove_at };
        self.redemptions.insert(serial, redemption);
        self.expiry.push_back((remove_at, serial));
    }

    /// Notes how the run of a redeemed ticket ended.
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
            // A second end of one ticket means that it ran twice.
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

    /// Drops the oldest answers until the rest fit the budget.
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

    /// Takes a request off the list of those that wait for an answer.
    pub fn remove_waiter(&mut self, request: RequestId) {
        for redemption in self.redemptions.values_mut() {
            if let RedemptionState::Running { waiting } = &mut redemption.state {
                waiting.retain(|waiter| *waiter != request);
            }
        }
    }

    /// Forgets redemptions whose tickets are long over; returns the answers to drop.
    pub fn expire(&mut self, now: Timestamp) -> Vec<AnswerId> {
        let mut dropped = Vec::new();
        while let Some((_, serial)) = self.expiry.pop_front_if(|(at, _)| *at <= now) {
            let is_due = self.redemptions.get(&serial).is_some_and(|redemption| redemption.remove_at <= now);
            let is_running = matches!(
                self.redemptions.get(&serial).map(|redemption| &redemption.state),
                Some(RedemptionState::Running { .. })
            );
            if is_running {
                self.expiry.push_back((now + self.lifetime, serial));
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

    /// Redeems no ticket from here on, so that the last word stays true.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns the last words of other issuers, as the messages that pass them on.
    pub fn final_reports(&self) -> impl Iterator<Item = PeerMessage> {
        self.final_reports.iter().map(|((issuer, incarnation), report)| {
            let mut redeemed: Vec<Serial> = report.redeemed.iter().copied().collect();
            redeemed.sort_unstable();
            let (issuer, incarnation, known_since_ms) = (*issuer, *incarnation, report.known_since_ms);
            PeerMessage::IssuerClosed { issuer, incarnation, known_since_ms, redeemed }
        })
    }

    /// Returns the serials of all redeemed tickets that could still come back.
    #[must_use]
    pub fn redeemed(&self) -> Vec<Serial> {
        let mut serials: Vec<Serial> = self.redemptions.keys().copied().collect();
        serials.sort_unstable();
        serials
    }

    /// Returns the issue time, in milliseconds of this instance's clock, from which on every redemption is remembered.
    #[must_use]
    pub fn known_since_ms(&self, now: Timestamp) -> u64 {
        u64::try_from(now.saturating_sub(self.lifetime * 2).as_millis()).unwrap_or(u64::MAX)
    }

    /// Notes the last word of an issuer that has stopped.
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

    /// Returns what is known of a ticket whose issuer has stopped.
    #[must_use]
    pub fn closed_issuer_status(&self, ticket: &Ticket) -> ClosedIssuerStatus {
        match self.final_reports.get(&(ticket.issuer, ticket.incarnation)) {
            None => ClosedIssuerStatus::Unknown,
            Some(report) if report.redeemed.contains(&ticket.serial) => ClosedIssuerStatus::Redeemed,
            // So old that its redemption, if there was one, had been forgotten when the issuer stopped.
            Some(report) if ticket.issued_ms < report.known_since_ms => ClosedIssuerStatus::Unknown,
            Some(_) => ClosedIssuerStatus::NeverRedeemed,
        }
    }
}
