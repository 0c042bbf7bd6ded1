//! Ends requests with an answer or a correct refusal, sent to every request that waits for the outcome.

use std::time::Duration;

use super::RequestContext;
use super::RequestEntry;
use super::Requests;
use super::Role;
use crate::catalog::GroupId;
use crate::event::AnswerId;
use crate::event::Notice;
use crate::event::Output;
use crate::event::Reply;
use crate::event::RequestId;
use crate::event::StoredAnswer;
use crate::invariants::Invariant;
use crate::message::Reason;
use crate::message::Refusal;
use crate::tickets::RunOutcome;
use hawthornshift_model::ServiceId;
use hawthornshift_model::Verdict;

/// Delay after which a caller should retry a request refused for a transient reason.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Requests {
    pub(super) fn remove(&mut self, request: RequestId) -> Option<RequestEntry> {
        let entry = self.entries.remove(&request)?;
        self.deadlines.remove(&(entry.deadline, request));
        Some(entry)
    }

    pub(super) fn discard_late_answer(&mut self, cx: &mut RequestContext<'_>, answer: Option<StoredAnswer>) {
        if let Some(answer) = answer {
            self.counts.late_answers += 1;
            cx.out.push(Output::ReleaseAnswer { answer: answer.id });
        }
    }

    /// Ends a request with an answer, together with all requests that wait for the same ticket.
    pub(super) fn finish_with_answer(&mut self, cx: &mut RequestContext<'_>, request: RequestId, answer: StoredAnswer) {
        let Some(entry) = self.remove(request) else { return };
        self.reply_answer(cx, request, &entry, answer.id);
        let Some(serial) = entry.serial else {
            cx.out.push(Output::ReleaseAnswer { answer: answer.id });
            return;
        };
        let finished_run = cx.tickets.finish_run(serial, RunOutcome::Answered(answer), cx.invariant_counters);
        for waiter in finished_run.waiting {
            self.reply_stored_answer(cx, waiter, answer.id);
        }
        cx.out.extend(finished_run.dropped.into_iter().map(|answer| Output::ReleaseAnswer { answer }));
    }

    /// Ends a request with an answer that is stored under its ticket.
    pub(super) fn reply_stored_answer(&mut self, cx: &mut RequestContext<'_>, request: RequestId, answer: AnswerId) {
        if let Some(entry) = self.remove(request) {
            self.reply_answer(cx, request, &entry, answer);
        }
    }

    pub(super) fn reply_answer(
        &mut self,
        cx: &mut RequestContext<'_>,
        request: RequestId,
        entry: &RequestEntry,
        answer: AnswerId,
    ) {
        self.counts.answered += 1;
        let ticket = next_ticket(cx, entry.role, entry.service, entry.idempotent);
        let free = free_slots_hint(cx, entry.role, entry.group);
        cx.out.push(Output::Reply { request, reply: Reply::Answer { answer, ticket, free } });
    }

    /// Ends a request without an answer, together with all requests that wait for the same ticket.
    pub(super) fn refuse(&mut self, cx: &mut RequestContext<'_>, request: RequestId, verdict: Verdict, reason: Reason) {
        let Some(entry) = self.remove(request) else { return };
        let verdict = verdict.max(entry.worst_verdict);
        if verdict == Verdict::NotRun {
            cx.invariant_counters.assert(!entry.may_be_running, Invariant::NotRunIsTrue);
        }
        let refusal = Refusal { verdict, reason };
        if verdict == Verdict::MayHaveRun && !entry.idempotent && entry.role != Role::Coordinator {
            cx.out.push(Output::Notice(Notice::OutcomeUnknown { service: entry.service, reason }));
        }
        self.reply_refusal_for(cx, request, &entry, refusal);
        let Some(serial) = entry.serial else { return };
        let end = if verdict == Verdict::NotRun { RunOutcome::NotRun } else { RunOutcome::Unknown(refusal) };
        let finished_run = cx.tickets.finish_run(serial, end, cx.invariant_counters);
        for waiter in finished_run.waiting {
            if let Some(entry) = self.remove(waiter) {
                self.reply_refusal_for(cx, waiter, &entry, refusal);
            }
        }
    }

    pub(super) fn reply_refusal_for(
        &mut self,
        cx: &mut RequestContext<'_>,
        request: RequestId,
        entry: &RequestEntry,
        refusal: Refusal,
    ) {
        self.reply_refusal(cx, request, entry.role, entry.service, refusal);
    }

    pub(super) fn reply_refusal(
        &mut self,
        cx: &mut RequestContext<'_>,
        request: RequestId,
        role: Role,
        service: ServiceId,
        refusal: Refusal,
    ) {
        match refusal.verdict {
            Verdict::NotRun => self.counts.not_run += 1,
            Verdict::MayHaveRun | Verdict::Answered => self.counts.may_have_run += 1,
        }
        let needs_ticket =
            matches!(refusal.reason, Reason::TicketRequired | Reason::TicketInvalid | Reason::TicketExpired);
        let ticket = if needs_ticket { next_ticket(cx, role, service, false) } else { None };
        let group = cx.view.catalog().service(service).map(|service| service.group_id);
        let free = group.and_then(|group| free_slots_hint(cx, role, group));
        let retry_after = is_transient(refusal.reason).then_some(RETRY_AFTER);
        let reply = Reply::Refuse { refusal, ticket, retry_after, free };
        cx.out.push(Output::Reply { request, reply });
    }
}

/// Issues a ticket for the caller's next non-idempotent request; only the instance that replies to the caller issues
/// one.
fn next_ticket(cx: &mut RequestContext<'_>, role: Role, service: ServiceId, idempotent: bool) -> Option<String> {
    let to_caller = matches!(role, Role::Owner | Role::Ingress);
    (to_caller && !idempotent && !cx.issuer_closed).then(|| cx.tickets.issue(cx.now, service))
}

/// Returns whether the reason of a refusal is likely to disappear soon.
fn is_transient(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Overloaded
            | Reason::NoTarget
            | Reason::Fenced
            | Reason::Stopping
            | Reason::RefusedByTarget
            | Reason::TableFull
    )
}

/// Returns the number of free slots that a coordinator reports to the owner of a request.
fn free_slots_hint(cx: &RequestContext<'_>, role: Role, group: GroupId) -> Option<u32> {
    (role == Role::Coordinator).then(|| cx.coordinator.spare_slots(cx.now, group, cx.lease_state))
}
