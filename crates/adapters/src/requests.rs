//! HTTP requests from callers.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Serialize;

use crate::engine::Engine;
use crate::engine::RequestOutcome;
use crate::payload::MAX_BODY_BYTES;
use crate::payload::NEXT_TICKET_HEADER;
use crate::payload::REASON_HEADER;
use crate::payload::Request;
use crate::payload::TICKET_HEADER;
use crate::payload::TIMEOUT_HEADER;
use crate::payload::VERDICT_HEADER;
use crate::web::Handler;
use crate::web::WebAnswer;
use crate::web::WebRequest;
use hawthornshift_core::Input;
use hawthornshift_core::event::Reply;
use hawthornshift_core::event::RequestId;
use hawthornshift_core::message::Reason;
use hawthornshift_core::message::Refusal;
use hawthornshift_model::ServiceId;
use hawthornshift_model::Verdict;

/// The JSON body of an answer that an instance generates itself.
#[derive(Debug, Serialize)]
#[serde(deny_unknown_fields)]
struct FailureBody<'a> {
    verdict: Verdict,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

/// Handles the requests of one service's callers.
pub(crate) struct RequestHandler {
    engine: Arc<Engine>,
    service: ServiceId,
}

impl RequestHandler {
    pub(crate) fn new(engine: Arc<Engine>, service: ServiceId) -> Self {
        Self { engine, service }
    }
}

/// Reports to the core, on drop, that the caller disconnected before its request was answered.
struct CallerGuard {
    engine: Arc<Engine>,
    request: RequestId,
    answered: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.engine.caller_gone(self.request);
        }
    }
}

impl Handler for RequestHandler {
    const MAX_BODY_BYTES: usize = MAX_BODY_BYTES;

    async fn answer(&self, request: WebRequest) -> WebAnswer {
        let timeout = match parse_timeout_header(&request.headers) {
            Ok(timeout) => timeout,
            Err(reason) => return self.reject_unreadable(StatusCode::BAD_REQUEST, reason),
        };
        let ticket = request.headers.get(TICKET_HEADER).map(|value| value.to_str().unwrap_or_default().to_owned());
        let http_request = Request::new(&request.method, &request.path, &request.headers, request.body);
        let (service, idempotent) = (self.service, http_request.is_idempotent());
        let (request, outcome) = self.engine.submit_request(http_request, |request| Input::RequestArrived {
            request,
            service,
            idempotent,
            ticket,
            timeout,
        });
        let mut guard = CallerGuard { engine: Arc::clone(&self.engine), request, answered: false };
        let outcome = outcome.await;
        guard.answered = true;
        let mut answer = match outcome {
            Ok(outcome) => outcome_answer(&outcome),
            // The engine shut down before it replied; a planned stop replies to all requests first.
            Err(_) => refusal_answer(Refusal { verdict: Verdict::MayHaveRun, reason: Reason::Stopping }, None, None),
        };
        if !self.engine.with_node(hawthornshift_core::Node::is_ready) {
            // Makes the caller reconnect, so that its next request can reach an instance that is ready.
            answer.headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    fn reject_unreadable(&self, status: StatusCode, reason: &str) -> WebAnswer {
        failure_answer(status, Verdict::NotRun, reason, None, None)
    }
}

fn parse_timeout_header(headers: &HeaderMap) -> Result<Option<Duration>, &'static str> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    millis.map(|millis| Some(Duration::from_millis(millis))).ok_or("the timeout is not a number of milliseconds")
}

fn outcome_answer(outcome: &RequestOutcome) -> WebAnswer {
    match (&outcome.reply, &outcome.answer) {
        (Reply::Answer { ticket, .. }, Some(answer)) => {
            let mut headers = answer.headers();
            insert_header(&mut headers, VERDICT_HEADER, Some(Verdict::Answered.into()));
            insert_header(&mut headers, NEXT_TICKET_HEADER, ticket.as_deref());
            WebAnswer { status: answer.status(), headers, body: answer.body().clone() }
        }
        (Reply::Answer { .. }, None) => {
            refusal_answer(Refusal { verdict: Verdict::MayHaveRun, reason: Reason::AnswerGone }, None, None)
        }
        (Reply::Refuse { refusal, ticket, retry_after, .. }, _) => {
            refusal_answer(*refusal, ticket.as_deref(), *retry_after)
        }
    }
}

fn refusal_answer(refusal: Refusal, ticket: Option<&str>, retry_after: Option<Duration>) -> WebAnswer {
    let Refusal { verdict, reason } = refusal;
    failure_answer(status_of_refusal(refusal), verdict, reason.into(), ticket, retry_after)
}

fn failure_answer(
    status: StatusCode,
    verdict: Verdict,
    reason: &str,
    ticket: Option<&str>,
    retry_after: Option<Duration>,
) -> WebAnswer {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    insert_header(&mut headers, VERDICT_HEADER, Some(verdict.into()));
    insert_header(&mut headers, REASON_HEADER, Some(reason));
    insert_header(&mut headers, NEXT_TICKET_HEADER, ticket);
    if let Some(retry_after) = retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after.as_secs().max(1)));
    }
    let body = serde_json::to_vec(&FailureBody { verdict, reason, ticket }).unwrap_or_default();
    WebAnswer { status, headers, body: body.into() }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: Option<&str>) {
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name, value);
    }
}

/// Returns the HTTP status for a refusal.
fn status_of_refusal(refusal: Refusal) -> StatusCode {
    match refusal.reason {
        Reason::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
        Reason::TicketInvalid => StatusCode::BAD_REQUEST,
        Reason::TicketExpired => StatusCode::CONFLICT,
        Reason::UnknownService => StatusCode::MISDIRECTED_REQUEST,
        Reason::AnswerGone => StatusCode::GONE,
        Reason::DeadlineExceeded | Reason::CallerGone => StatusCode::GATEWAY_TIMEOUT,
        Reason::ConnectionBroken | Reason::AnswerIncomplete | Reason::IssuerGone => StatusCode::BAD_GATEWAY,
        Reason::Overloaded
        | Reason::NoTarget
        | Reason::Fenced
        | Reason::Stopping
        | Reason::RefusedByTarget
        | Reason::TableFull => StatusCode::SERVICE_UNAVAILABLE,
    }
}
