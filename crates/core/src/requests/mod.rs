//! Requests: from the caller over the ticket's issuer and a target's keeper to the target, and back.
//!
//! An instance can have any of three parts in one request, each at most once:
//!
//! - *entry*: it took the request from the caller. It passes one that carries a ticket to the ticket's issuer.
//! - *owner*: it decides how often the request is tried. For a ticket that is the issuer, else the entry.
//! - *keeper*: it keeps a target and runs the request there when a slot is free.
//!
//! # When "not run" may be said
//!
//! The verdict speaks of the request, not of one try: a retry with the same ticket is the same request. So of a
//! ticket only its issuer says "not run", which knows every redemption; an entry that cannot reach the issuer says
//! "may have run" even though it did nothing itself. Along a request's way verdicts only get worse ([`Verdict`] is
//! ordered); `worst_verdict` in each entry sees to that.

pub mod budget;
mod outcome;
pub mod routing;

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use serde::Serialize;

use self::budget::RetryBudget;
use self::routing::CoordinatorSelector;
use crate::Timestamp;
use crate::catalog::GroupId;
use crate::coordinator::Admission;
use crate::coordinator::AttemptOutcome;
use crate::coordinator::TargetCoordinator;
use crate::event::AttemptNumber;
use crate::event::Output;
use crate::event::RequestId;
use crate::event::StoredAnswer;
use crate::invariants::Invariant;
use crate::invariants::InvariantCounters;
use crate::maps::Map;
use crate::membership::Membership;
use crate::message::ForwardedRequestHeader;
use crate::message::ForwardedRequestPurpose;
use crate::message::Reason;
use crate::message::Refusal;
use crate::tickets::ClosedIssuerStatus;
use crate::tickets::PresentOutcome;
use crate::tickets::Serial;
use crate::tickets::Ticket;
use crate::tickets::Tickets;
use crate::view::LeaseState;
use crate::view::View;
use hawthornshift_model::Class;
use hawthornshift_model::InstanceId;
use hawthornshift_model::ServiceId;
use hawthornshift_model::TargetId;
use hawthornshift_model::Verdict;

/// Keepers that a request is offered to at most.
const MAX_COORDINATORS_TRIED: usize = 4;
/// Most requests that one instance handles at once.
const MAX_REQUESTS: usize = 20_000;
/// What each hop takes off the time left, so that the instance nearest the target gives up first and can say why.
const HOP_TIMEOUT_MARGIN: Duration = Duration::from_millis(20);

/// What the request decisions look at and act on besides their own state.
pub struct RequestContext<'a> {
    /// The present time.
    pub now: Timestamp,
    /// The view in force.
    pub view: &'a View,
    /// The other instances.
    pub members: &'a Membership,
    /// The targets kept here.
    pub coordinator: &'a mut TargetCoordinator,
    /// The tickets issued here.
    pub tickets: &'a mut Tickets,
    /// Breaches.
    pub invariant_counters: &'a mut InvariantCounters,
    /// Randomness.
    pub rng: &'a mut SmallRng,
    /// How far the view may be trusted.
    pub lease_state: LeaseState,
    /// Whether no more tickets are issued, since this instance has said its last word.
    pub issuer_closed: bool,
    /// Where actions go.
    pub out: &'a mut Vec<Output>,
}

/// Counts of requests by how they ended here.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestCounts {
    /// Requests taken from callers.
    pub arrived: u64,
    /// Requests taken from other instances.
    pub passed_in: u64,
    /// Answered whole.
    pub answered: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Ended as may have run.
    pub may_have_run: u64,
    /// Tries beyond the first.
    pub retries: u64,
    /// Answers that came after their try had been given up.
    pub late_answers: u64,
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    /// From a caller, without a ticket of another issuer: this instance is entry and owner.
    Owner,
    /// From a caller, with a ticket of another issuer: this instance is only the entry.
    Ingress,
    /// From the entry, with a ticket issued here: this instance is the owner.
    Issuer,
    /// From the owner: this instance is the keeper.
    Coordinator,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Not placed anywhere yet.
    New,
    /// Waits until the view is confirmed.
    Fenced {
        /// Whether it carries a ticket, of which nothing is known here yet.
        with_ticket: bool,
    },
    /// Waits for a run of the same ticket.
    AwaitingSameTicket,
    /// At the ticket's issuer.
    AtIssuer,
    /// At a keeper.
    AtCoordinator(InstanceId),
    /// Waits for a slot here.
    Queued,
    /// Runs at a target kept here.
    Running,
}

#[derive(Clone, Debug)]
struct RequestEntry {
    role: Role,
    service: ServiceId,
    group: GroupId,
    class: Class,
    idempotent: bool,
    deadline: Timestamp,
    stage: Stage,
    serial: Option<Serial>,
    tried_coordinators: Vec<InstanceId>,
    attempt: AttemptNumber,
    worst_verdict: Verdict,
    /// Whether a try is under way that a target may be running.
    may_be_running: bool,
}

/// All requests that this instance has a part in.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    entries: Map<RequestId, RequestEntry>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    /// Requests that wait until the view is confirmed, with their tickets.
    fenced: Vec<(RequestId, Option<String>)>,
    selector: CoordinatorSelector,
    budget: RetryBudget,
    counts: RequestCounts,
}

/// A request that has just come in.
#[derive(Clone, Copy)]
struct NewRequest {
    request: RequestId,
    role: Role,
    service: ServiceId,
    idempotent: bool,
    with_ticket: bool,
    time_left: Option<Duration>,
}

impl Requests {
    /// Returns the counts since start.
    #[must_use]
    pub fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// Returns the requests under way.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.entries.len()
    }

    /// Takes over the view.
    pub fn view_changed(&mut self, view: &View, own_domain: &str) {
        self.selector.view_changed(view, own_domain);
    }

    /// Takes a request from a caller.
    pub fn arrived(
        &mut self,
        cx: &mut RequestContext<'_>,
        request: RequestId,
        service: ServiceId,
        idempotent: bool,
        ticket: Option<&str>,
        timeout: Option<Duration>,
    ) {
        self.counts.arrived += 1;
        let role = match ticket {
            Some(text) if !idempotent && !is_issued_here(text, cx.members) => Role::Ingress,
            _ => Role::Owner,
        };
        let with_ticket = ticket.is_some() && !idempotent;
        let new_request = NewRequest { request, role, service, idempotent, with_ticket, time_left: timeout };
        if !self.register(cx, new_request) {
            return;
        }
        self.budget.deposit();
        self.start(cx, request, ticket);
    }

    /// Begins with a request, or has it wait until the view is confirmed.
    ///
    /// An instance behind its fence cannot tell whether a ticket has run, and a caller told "may have run" has lost
    /// what it came for; the fence lifts within a fraction of a second.
    fn start(&mut self, cx: &mut RequestContext<'_>, request: RequestId, ticket: Option<&str>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        if cx.lease_state == LeaseState::Fenced && entry.role != Role::Coordinator {
            entry.stage = Stage::Fenced { with_ticket: ticket.is_some() };
            self.fenced.push((request, ticket.map(str::to_owned)));
            return;
        }
        match (entry.role, ticket) {
            (Role::Coordinator, _) => self.admit_here(cx, request),
            (Role::Owner, _) if entry.idempotent => self.dispatch(cx, request),
            (_, None) => self.refuse(cx, request, Verdict::NotRun, Reason::TicketRequired),
            (Role::Ingress, Some(text)) => self.forward_to_issuer(cx, request, text),
            (Role::Owner | Role::Issuer, Some(text)) => self.redeem(cx, request, text),
        }
    }

    /// Begins with the requests that waited for the view to be confirmed.
    pub fn fence_lifted(&mut self, cx: &mut RequestContext<'_>) {
        for (request, ticket) in std::mem::take(&mut self.fenced) {
            self.start(cx, request, ticket.as_deref());
        }
        self.start_queued(cx);
    }

    /// Takes a request from another instance.
    pub fn forward_arrived(&mut self, cx: &mut RequestContext<'_>, request: RequestId, head: &ForwardedRequestHeader) {
        self.counts.passed_in += 1;
        let role = match head.purpose {
            ForwardedRequestPurpose::Redeem { .. } => Role::Issuer,
            ForwardedRequestPurpose::Execute => Role::Coordinator,
        };
        let new_request = NewRequest {
            request,
            role,
            service: head.service,
            idempotent: head.idempotent,
            with_ticket: role == Role::Issuer,
            time_left: Some(head.time_left),
        };
        if !self.register(cx, new_request) {
            return;
        }
        match &head.purpose {
            ForwardedRequestPurpose::Redeem { ticket } => self.start(cx, request, Some(ticket)),
            ForwardedRequestPurpose::Execute => self.start(cx, request, None),
        }
    }

    /// Makes an entry for a request, or refuses it at once.
    fn register(&mut self, cx: &mut RequestContext<'_>, new_request: NewRequest) -> bool {
        let NewRequest { request, role, service, idempotent, with_ticket, time_left } = new_request;
        // A refusal before the ticket has been looked at says nothing of earlier tries with it.
        let worst_verdict = if with_ticket { Verdict::MayHaveRun } else { Verdict::NotRun };
        let service_entry = cx.view.catalog().service(service);
        let Some(service_entry) = service_entry.filter(|_| self.entries.len() < MAX_REQUESTS) else {
            let reason = if service_entry.is_some() { Reason::TableFull } else { Reason::UnknownService };
            self.reply_refusal(cx, request, role, service, Refusal { verdict: worst_verdict, reason });
            return false;
        };
        let time_left = time_left.map_or(service_entry.timeout, |timeout| timeout.min(service_entry.timeout));
        let entry = RequestEntry {
            role,
            service,
            group: service_entry.group_id,
            class: service_entry.class,
            idempotent,
            deadline: cx.now + time_left,
            stage: Stage::New,
            serial: None,
            tried_coordinators: Vec::new(),
            attempt: 0,
            worst_verdict: Verdict::NotRun,
            may_be_running: false,
        };
        self.deadlines.insert((entry.deadline, request));
        self.entries.insert(request, entry);
        if cx.lease_state == LeaseState::Fenced && role == Role::Coordinator {
            self.refuse(cx, request, Verdict::NotRun, Reason::Fenced);
            return false;
        }
        true
    }

    /// Passes a request to the instance that issued its ticket.
    fn forward_to_issuer(&mut self, cx: &mut RequestContext<'_>, request: RequestId, text: &str) {
        let Ok(ticket) = Ticket::parse(text) else {
            return self.refuse(cx, request, Verdict::NotRun, Reason::TicketInvalid);
        };
        match cx.tickets.closed_issuer_status(&ticket) {
            ClosedIssuerStatus::NeverRedeemed => {
                return self.refuse(cx, request, Verdict::NotRun, Reason::TicketExpired);
            }
            ClosedIssuerStatus::Redeemed => return self.refuse(cx, request, Verdict::MayHaveRun, Reason::AnswerGone),
            ClosedIssuerStatus::Unknown => {}
        }
        let issuer = cx.members.member(ticket.issuer);
        let issuer = issuer.filter(|update| update.incarnation == ticket.incarnation && update.state.is_reachable());
        let Some(address) = issuer.map(|update| update.control) else {
            return self.refuse(cx, request, Verdict::MayHaveRun, Reason::IssuerGone);
        };
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.stage = Stage::AtIssuer;
        let purpose = ForwardedRequestPurpose::Redeem { ticket: text.to_owned() };
        let head = entry.forwarded_header(cx.now, purpose);
        cx.out.push(Output::ForwardRequest { request, to: ticket.issuer, address, head });
    }

    /// Redeems a ticket issued here.
    fn redeem(&mut self, cx: &mut RequestContext<'_>, request: RequestId, text: &str) {
        let Some(service) = self.entries.get(&request).map(|entry| entry.service) else { return };
        match cx.tickets.present(cx.now, text, service, request) {
            PresentOutcome::Run(serial) => {
                let Some(entry) = self.entries.get_mut(&request) else { return };
                entry.serial = Some(serial);
                self.dispatch(cx, request);
            }
            PresentOutcome::Wait => self.set_stage(request, Stage::AwaitingSameTicket),
            PresentOutcome::Closed => self.refuse(cx, request, Verdict::NotRun, Reason::Stopping),
            PresentOutcome::Answer(answer) => self.reply_stored_answer(cx, request, answer),
            PresentOutcome::AnswerGone => self.refuse(cx, request, Verdict::MayHaveRun, Reason::AnswerGone),
            PresentOutcome::Unknown(refusal) => self.refuse(cx, request, refusal.verdict, refusal.reason),
            PresentOutcome::Invalid => self.refuse(cx, request, Verdict::NotRun, Reason::TicketInvalid),
            PresentOutcome::Expired => self.refuse(cx, request, Verdict::NotRun, Reason::TicketExpired),
            PresentOutcome::Forgotten => self.refuse(cx, request, Verdict::MayHaveRun, Reason::TicketExpired),
            PresentOutcome::Full => self.refuse(cx, request, Verdict::NotRun, Reason::TableFull),
        }
    }

    fn set_stage(&mut self, request: RequestId, stage: Stage) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.stage = stage;
        }
    }

    /// Offers a request to the best keeper that has not refused it yet.
    fn dispatch(&mut self, cx: &mut RequestContext<'_>, request: RequestId) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let me = cx.members.me().id;
        let spare = cx.coordinator.spare_slots(cx.now, entry.group, cx.lease_state);
        let choice = if entry.tried_coordinators.len() < MAX_COORDINATORS_TRIED {
            self.selector.choose(cx.now, entry.group, &entry.tried_coordinators, me, spare, cx.rng)
        } else {
            None
        };
        let Some(coordinator) = choice else {
            let reason = if entry.tried_coordinators.is_empty() { Reason::NoTarget } else { Reason::Overloaded };
            return self.refuse(cx, request, Verdict::NotRun, reason);
        };
        entry.tried_coordinators.push(coordinator);
        if coordinator == me {
            return self.admit_here(cx, request);
        }
        let Some(address) = cx.members.member(coordinator).map(|update| update.control) else {
            return self.dispatch(cx, request);
        };
        entry.stage = Stage::AtCoordinator(coordinator);
        entry.may_be_running = true;
        let head = entry.forwarded_header(cx.now, ForwardedRequestPurpose::Execute);
        self.selector.request_forwarded(coordinator, entry.group);
        cx.out.push(Output::ForwardRequest { request, to: coordinator, address, head });
    }

    /// Gives a request a slot of a target kept here, or a place in the queue.
    fn admit_here(&mut self, cx: &mut RequestContext<'_>, request: RequestId) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let admission =
            cx.coordinator.admit(cx.now, request, entry.group, entry.class, cx.lease_state, cx.invariant_counters);
        match admission {
            Admission::Run(target) => self.execute(cx, request, target),
            Admission::Queued => entry.stage = Stage::Queued,
            Admission::QueuedInsteadOf(displaced) => {
                entry.stage = Stage::Queued;
                self.retry_elsewhere(cx, displaced, Reason::Overloaded);
            }
            Admission::Full => self.retry_elsewhere(cx, request, Reason::Overloaded),
            Admission::NoTarget => self.retry_elsewhere(cx, request, Reason::NoTarget),
        }
    }

    fn execute(&mut self, cx: &mut RequestContext<'_>, request: RequestId, target: TargetId) {
        let Some(entry) = self.entries.get_mut(&request) else {
            cx.coordinator.attempt_ended(cx.now, request, AttemptOutcome::Cancelled);
            return;
        };
        let Some(target) = cx.view.catalog().target(target) else {
            cx.coordinator.attempt_ended(cx.now, request, AttemptOutcome::Cancelled);
            return self.retry_elsewhere(cx, request, Reason::NoTarget);
        };
        cx.invariant_counters.assert(cx.view.catalog().domains()[target.domain].in_service, Invariant::OutDomainSilent);
        let own = cx.view.catalog().service(entry.service).map(|service| service.group_id);
        cx.invariant_counters.assert(own == Some(target.group_id), Invariant::PacketStaysWithService);
        entry.stage = Stage::Running;
        entry.may_be_running = true;
        entry.attempt += 1;
        let time_left = entry.deadline.saturating_sub(cx.now);
        let attempt = entry.attempt;
        cx.out.push(Output::Execute { request, attempt, address: target.address, time_left });
    }

    /// Goes on with a request that has not run where it was: the owner tries another keeper.
    fn retry_elsewhere(&mut self, cx: &mut RequestContext<'_>, request: RequestId, reason: Reason) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.may_be_running = false;
        if entry.role == Role::Coordinator {
            self.refuse(cx, request, Verdict::NotRun, reason);
        } else {
            self.counts.retries += 1;
            self.dispatch(cx, request);
        }
    }

    /// Goes on with a request of which a try may have run: only an idempotent one is tried again, within the budget.
    fn may_have_run(&mut self, cx: &mut RequestContext<'_>, request: RequestId, reason: Reason) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.worst_verdict = Verdict::MayHaveRun;
        entry.may_be_running = false;
        if entry.idempotent && entry.role != Role::Coordinator && self.budget.try_withdraw() {
            self.counts.retries += 1;
            return self.dispatch(cx, request);
        }
        self.refuse(cx, request, Verdict::MayHaveRun, reason);
    }

    /// Takes the word of an instance that a request was passed to.
    pub fn forward_ended(
        &mut self,
        cx: &mut RequestContext<'_>,
        request: RequestId,
        result: Result<StoredAnswer, Refusal>,
        free: Option<u32>,
    ) {
        let Some(entry) = self.entries.get(&request) else {
            return self.discard_late_answer(cx, result.ok());
        };
        match (entry.stage, result) {
            (Stage::AtIssuer, Ok(answer)) => self.answer(cx, request, answer),
            (Stage::AtIssuer, Err(refusal)) => self.refuse(cx, request, refusal.verdict, refusal.reason),
            (Stage::AtCoordinator(coordinator), result) => {
                self.selector.request_ended(cx.now, coordinator, entry.group, free);
                match result {
                    Ok(answer) => self.answer(cx, request, answer),
                    Err(refusal) if refusal.verdict == Verdict::NotRun => {
                        self.retry_elsewhere(cx, request, refusal.reason);
                    }
                    Err(refusal) => self.may_have_run(cx, request, refusal.reason),
                }
            }
            (_, result) => self.discard_late_answer(cx, result.ok()),
        }
    }

    /// Notes that the instance that a request was passed to said nothing.
    pub fn forward_failed(&mut self, cx: &mut RequestContext<'_>, request: RequestId, verdict: Verdict) {
        let Some(entry) = self.entries.get(&request) else { return };
        match entry.stage {
            // Earlier tries with the same ticket may have reached the issuer.
            Stage::AtIssuer => self.refuse(cx, request, Verdict::MayHaveRun, Reason::IssuerGone),
            Stage::AtCoordinator(coordinator) => {
                self.selector.request_ended(cx.now, coordinator, entry.group, Some(0));
                if verdict == Verdict::NotRun {
                    self.retry_elsewhere(cx, request, Reason::ConnectionBroken);
                } else {
                    self.may_have_run(cx, request, Reason::ConnectionBroken);
                }
            }
            _ => {}
        }
    }

    fn is_current(&self, request: RequestId, attempt: AttemptNumber) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.stage == Stage::Running && entry.attempt == attempt)
    }

    /// Takes a target's whole answer.
    pub fn target_answered(
        &mut self,
        cx: &mut RequestContext<'_>,
        request: RequestId,
        attempt: AttemptNumber,
        answer: StoredAnswer,
    ) {
        if !self.is_current(request, attempt) {
            return self.discard_late_answer(cx, Some(answer));
        }
        cx.coordinator.attempt_ended(cx.now, request, AttemptOutcome::Success);
        self.answer(cx, request, answer);
        self.start_queued(cx);
    }

    /// Takes the failure of a try at a target.
    pub fn target_failed(
        &mut self,
        cx: &mut RequestContext<'_>,
        request: RequestId,
        attempt: AttemptNumber,
        refusal: Refusal,
    ) {
        if !self.is_current(request, attempt) {
            return;
        }
        let outcome =
            if refusal.reason == Reason::RefusedByTarget { AttemptOutcome::Shed } else { AttemptOutcome::Failed };
        cx.coordinator.attempt_ended(cx.now, request, outcome);
        if refusal.verdict == Verdict::NotRun {
            self.retry_elsewhere(cx, request, refusal.reason);
        } else {
            self.may_have_run(cx, request, refusal.reason);
        }
        self.start_queued(cx);
    }

    /// Runs requests that wait, as far as slots are free.
    pub fn start_queued(&mut self, cx: &mut RequestContext<'_>) {
        for (request, target) in cx.coordinator.start_queued(cx.now, cx.lease_state, cx.invariant_counters) {
            self.execute(cx, request, target);
        }
    }

    /// Goes on with requests that waited for targets which this instance no longer keeps.
    pub fn retry_after_target_move(&mut self, cx: &mut RequestContext<'_>, requests: Vec<RequestId>) {
        for request in requests {
            self.retry_elsewhere(cx, request, Reason::NoTarget);
        }
    }

    /// Notes that a caller has gone. An idempotent request is given up; one with a ticket goes on, since the caller
    /// may come back for its answer.
    ///
    /// A request given up still gets its reply, although nobody waits for it: whoever holds the request lets it go then,
    /// and would keep it for ever otherwise.
    pub fn caller_gone(&mut self, cx: &mut RequestContext<'_>, request: RequestId) {
        if !self.entries.get(&request).is_some_and(|entry| entry.idempotent) {
            return;
        }
        let verdict = self.abandon(cx, request);
        self.refuse(cx, request, verdict, Reason::CallerGone);
        self.start_queued(cx);
    }

    /// Ends requests whose deadline is over.
    pub fn expire(&mut self, cx: &mut RequestContext<'_>) {
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if deadline > cx.now {
                break;
            }
            let verdict = self.abandon(cx, request);
            self.refuse(cx, request, verdict, Reason::DeadlineExceeded);
        }
        self.start_queued(cx);
    }

    /// Takes a request away from wherever it is; returns whether it may have run there.
    fn abandon(&mut self, cx: &mut RequestContext<'_>, request: RequestId) -> Verdict {
        let Some(entry) = self.entries.get(&request) else { return Verdict::NotRun };
        match entry.stage {
            Stage::New | Stage::Fenced { with_ticket: false } => Verdict::NotRun,
            Stage::Fenced { with_ticket: true } => Verdict::MayHaveRun,
            Stage::Queued => {
                cx.coordinator.remove_queued(request);
                Verdict::NotRun
            }
            Stage::AwaitingSameTicket => {
                cx.tickets.remove_waiter(request);
                Verdict::MayHaveRun
            }
            Stage::AtIssuer => {
                cx.out.push(Output::Cancel { request });
                Verdict::MayHaveRun
            }
            Stage::AtCoordinator(coordinator) => {
                self.selector.request_ended(cx.now, coordinator, entry.group, None);
                cx.out.push(Output::Cancel { request });
                Verdict::MayHaveRun
            }
            Stage::Running => {
                cx.coordinator.attempt_ended(cx.now, request, AttemptOutcome::Cancelled);
                cx.out.push(Output::Cancel { request });
                Verdict::MayHaveRun
            }
        }
    }
}

impl RequestEntry {
    fn forwarded_header(&self, now: Timestamp, purpose: ForwardedRequestPurpose) -> ForwardedRequestHeader {
        let time_left = self.deadline.saturating_sub(now).saturating_sub(HOP_TIMEOUT_MARGIN);
        ForwardedRequestHeader { service: self.service, purpose, idempotent: self.idempotent, time_left }
    }
}

/// Tells whether a ticket names this life of this instance.
fn is_issued_here(text: &str, members: &Membership) -> bool {
    let me = members.me();
    Ticket::parse(text).is_ok_and(|ticket| ticket.issuer == me.id && ticket.incarnation == me.incarnation)
}
