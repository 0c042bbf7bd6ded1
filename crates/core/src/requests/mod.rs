//! Requests: from the caller through the ticket's issuer and a target's coordinator to the target, and back.
//!
//! An instance can have any of three roles in one request, each at most once:
//!
//! - *ingress*: it received the request from the caller. It forwards a request that carries a ticket to the ticket's
//!   issuer.
//! - *owner*: it decides about retries. The owner of a request with a ticket is the ticket's issuer; otherwise it is
//!   the ingress.
//! - *coordinator*: it coordinates a target and runs the request there when a slot is free.
//!
//! # When "not run" may be returned
//!
//! The verdict applies to the request, not to one attempt: a retry with the same ticket is the same request. Only the
//! issuer of a ticket returns "not run" for it, because only the issuer knows every redemption; an ingress that cannot
//! reach the issuer returns "may have run" although it did nothing with the request itself. Along the path of a request
//! verdicts only get worse ([`Verdict`] is ordered); the field `worst_verdict` of each entry ensures that.

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
use crate::maps::FixedHashMap;
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

/// Maximum number of coordinators to which one request is offered.
const MAX_COORDINATORS_TRIED: usize = 4;
/// Maximum number of requests that one instance handles at the same time.
const MAX_REQUESTS: usize = 20_000;
/// Each hop subtracts this from the remaining time, so that the instance nearest the target times out first and can
/// report the reason.
const HOP_TIMEOUT_MARGIN: Duration = Duration::from_millis(20);

/// State that request handling reads and changes besides its own.
pub struct RequestContext<'a> {
    /// Current time.
    pub now: Timestamp,
    /// The current view.
    pub view: &'a View,
    /// The known instances.
    pub members: &'a Membership,
    /// The targets that this instance coordinates.
    pub coordinator: &'a mut TargetCoordinator,
    /// The tickets that this instance has issued.
    pub tickets: &'a mut Tickets,
    /// Counters of invariant violations.
    pub invariant_counters: &'a mut InvariantCounters,
    /// Random number generator.
    pub rng: &'a mut SmallRng,
    /// Whether the lease on the view is valid, or the instance is fenced.
    pub lease_state: LeaseState,
    /// Whether no more tickets may be issued because this instance has sent its final report.
    pub issuer_closed: bool,
    /// Receives the outputs.
    pub out: &'a mut Vec<Output>,
}

/// Counts of requests by outcome at this instance.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestCounts {
    /// Requests received from callers.
    pub arrived: u64,
    /// Requests received from other instances.
    pub passed_in: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests refused as "not run".
    pub not_run: u64,
    /// Requests that ended as "may have run".
    pub may_have_run: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Answers received after their attempt had been abandoned.
    pub late_answers: u64,
}

/// Role of this instance in a request, determined by where the request came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    /// From a caller, without a ticket of another issuer: this instance is ingress and owner.
    Owner,
    /// From a caller, with a ticket of another issuer: this instance is only the ingress.
    Ingress,
    /// From the ingress, with a ticket issued here: this instance is the owner.
    Issuer,
    /// From the owner: this instance is the coordinator.
    Coordinator,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Not yet dispatched.
    New,
    /// Waits until the view is confirmed.
    Fenced {
        /// Whether the request carries a ticket whose redemptions are not yet known.
        with_ticket: bool,
    },
    /// Waits for another request with the same ticket, which is running.
    AwaitingSameTicket,
    /// Forwarded to the ticket's issuer.
    AtIssuer,
    /// Forwarded to a coordinator.
    AtCoordinator(InstanceId),
    /// Waits for a free slot of a target that this instance coordinates.
    Queued,
    /// Runs at a target that this instance coordinates.
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
    /// Whether a target may be running the current attempt.
    may_be_running: bool,
}

/// All requests that this instance is handling, in any role.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    entries: FixedHashMap<RequestId, RequestEntry>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    /// Requests that wait until the view is confirmed, with their tickets.
    fenced: Vec<(RequestId, Option<String>)>,
    selector: CoordinatorSelector,
    budget: RetryBudget,
    counts: RequestCounts,
}

/// A request that has just been received.
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

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.entries.len()
    }

    /// Updates the candidate coordinators to a new view.
    pub fn view_changed(&mut self, view: &View, own_domain: &str) {
        self.selector.view_changed(view, own_domain);
    }

    /// Handles a request from a caller.
    pub fn request_arrived(
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

    /// Starts a request, or makes it wait until the view is confirmed.
    ///
    /// A fenced instance cannot know whether a ticket has been redeemed, and a caller that receives "may have run" cannot
    /// safely retry; the fence is normally lifted within a fraction of a second.
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

    /// Starts the requests that waited until the view was confirmed.
    pub fn fence_lifted(&mut self, cx: &mut RequestContext<'_>) {
        for (request, ticket) in std::mem::take(&mut self.fenced) {
            self.start(cx, request, ticket.as_deref());
        }
        self.start_queued(cx);
    }

    /// Handles a request from another instance.
    pub fn forward_arrived(
        &mut self,
        cx: &mut RequestContext<'_>,
        request: RequestId,
        header: &ForwardedRequestHeader,
    ) {
        self.counts.passed_in += 1;
        let role = match header.purpose {
            ForwardedRequestPurpose::Redeem { .. } => Role::Issuer,
            ForwardedRequestPurpose::Execute => Role::Coordinator,
        };
        let new_request = NewRequest {
            request,
            role,
            service: header.service,
            idempotent: header.idempotent,
            with_ticket: role == Role::Issuer,
            time_left: Some(header.time_left),
        };
        if !self.register(cx, new_request) {
            return;
        }
        match &header.purpose {
            ForwardedRequestPurpose::Redeem { ticket } => self.start(cx, request, Some(ticket)),
            ForwardedRequestPurpose::Execute => self.start(cx, request, None),
        }
    }

    /// Adds an entry for a request, or refuses the request; returns whether the entry remains.
    fn register(&mut self, cx: &mut RequestContext<'_>, new_request: NewRequest) -> bool {
        let NewRequest { request, role, service, idempotent, with_ticket, time_left } = new_request;
        // A refusal before the ticket has been examined makes no statement about earlier attempts with it.
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

    /// Forwards a request to the issuer of its ticket.
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

    /// Redeems a ticket issued by this instance.
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

    /// Offers a request to the best coordinator that has not been tried yet.
    fn dispatch(&mut self, cx: &mut RequestContext<'_>, request: RequestId) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let me = cx.members.me().id;
        let spare = cx.coordinator.spare_slots(cx.now, entry.group, cx.lease_state);
        let selected = if entry.tried_coordinators.len() < MAX_COORDINATORS_TRIED {
            self.selector.choose(cx.now, entry.group, &entry.tried_coordinators, me, spare, cx.rng)
        } else {
            None
        };
        let Some(coordinator) = selected else {
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

    /// Gives a request a slot of a target that this instance coordinates, or a place in the queue.
    fn admit_here(&mut self, cx: &mut RequestContext<'_>, request: RequestId) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let admission =
            cx.coordinator.admit(cx.now, request, entry.group, entry.class, cx.lease_state, cx.invariant_counters);
        match admission {
            Admission::Run(target) => self.execute(cx, request, target),
            Admission::Queued => entry.stage = Stage::Queued,
            Admission::QueuedDisplacing(displaced) => {
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

    /// Continues with a request that has not run where it was: the owner tries another coordinator.
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

    /// Continues with a request that may have run: only an idempotent one is retried, within the retry budget.
    fn handle_unknown_outcome(&mut self, cx: &mut RequestContext<'_>, request: RequestId, reason: Reason) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.worst_verdict = Verdict::MayHaveRun;
        entry.may_be_running = false;
        if entry.idempotent && entry.role != Role::Coordinator && self.budget.try_withdraw() {
            self.counts.retries += 1;
            return self.dispatch(cx, request);
        }
        self.refuse(cx, request, Verdict::MayHaveRun, reason);
    }

    /// Handles the reply of an instance to which a request was forwarded.
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
            (Stage::AtIssuer, Ok(answer)) => self.finish_with_answer(cx, request, answer),
            (Stage::AtIssuer, Err(refusal)) => self.refuse(cx, request, refusal.verdict, refusal.reason),
            (Stage::AtCoordinator(coordinator), result) => {
                self.selector.request_ended(cx.now, coordinator, entry.group, free);
                match result {
                    Ok(answer) => self.finish_with_answer(cx, request, answer),
                    Err(refusal) if refusal.verdict == Verdict::NotRun => {
                        self.retry_elsewhere(cx, request, refusal.reason);
                    }
                    Err(refusal) => self.handle_unknown_outcome(cx, request, refusal.reason),
                }
            }
            (_, result) => self.discard_late_answer(cx, result.ok()),
        }
    }

    /// Handles the failure of an instance to reply to a forwarded request.
    pub fn forward_failed(&mut self, cx: &mut RequestContext<'_>, request: RequestId, verdict: Verdict) {
        let Some(entry) = self.entries.get(&request) else { return };
        match entry.stage {
            // Earlier attempts with the same ticket may have reached the issuer.
            Stage::AtIssuer => self.refuse(cx, request, Verdict::MayHaveRun, Reason::IssuerGone),
            Stage::AtCoordinator(coordinator) => {
                self.selector.request_ended(cx.now, coordinator, entry.group, Some(0));
                if verdict == Verdict::NotRun {
                    self.retry_elsewhere(cx, request, Reason::ConnectionBroken);
                } else {
                    self.handle_unknown_outcome(cx, request, Reason::ConnectionBroken);
                }
            }
            _ => {}
        }
    }

    fn is_current(&self, request: RequestId, attempt: AttemptNumber) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.stage == Stage::Running && entry.attempt == attempt)
    }

    /// Handles a target's complete answer.
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
        self.finish_with_answer(cx, request, answer);
        self.start_queued(cx);
    }

    /// Handles the failure of an attempt at a target.
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
            self.handle_unknown_outcome(cx, request, refusal.reason);
        }
        self.start_queued(cx);
    }

    /// Starts queued requests as far as slots are free.
    pub fn start_queued(&mut self, cx: &mut RequestContext<'_>) {
        for (request, target) in cx.coordinator.start_queued(cx.now, cx.lease_state, cx.invariant_counters) {
            self.execute(cx, request, target);
        }
    }

    /// Continues with requests that were queued for targets which this instance no longer coordinates.
    pub fn retry_after_target_move(&mut self, cx: &mut RequestContext<'_>, requests: Vec<RequestId>) {
        for request in requests {
            self.retry_elsewhere(cx, request, Reason::NoTarget);
        }
    }

    /// Handles the disconnection of a caller. An idempotent request is abandoned; a request with a ticket continues,
    /// since the caller may retry to fetch its answer.
    ///
    /// An abandoned request still gets a reply although no caller waits for it: whoever holds the request releases it
    /// on the reply, and would otherwise hold it for ever.
    pub fn caller_gone(&mut self, cx: &mut RequestContext<'_>, request: RequestId) {
        if !self.entries.get(&request).is_some_and(|entry| entry.idempotent) {
            return;
        }
        let verdict = self.abandon(cx, request);
        self.refuse(cx, request, verdict, Reason::CallerGone);
        self.start_queued(cx);
    }

    /// Ends requests whose deadline has passed.
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

    /// Removes a request from the stage it is in; returns whether it may have run.
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

/// Returns whether a ticket names this incarnation of this instance.
fn is_issued_here(text: &str, members: &Membership) -> bool {
    let me = members.me();
    Ticket::parse(text).is_ok_and(|ticket| ticket.issuer == me.id && ticket.incarnation == me.incarnation)
}
