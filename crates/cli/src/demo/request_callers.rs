//! Callers of HTTP services. They send reads, which are idempotent, and orders, which must run at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::HeaderValue;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::cluster::Fabric;
use super::counts::OrderOutcome;
use super::counts::SharedCounts;
use hawthornshift_adapters::http_client::Call;
use hawthornshift_adapters::http_client::Response;
use hawthornshift_standins::target::ORDER_HEADER;

/// Maximum pause between two requests of a caller in milliseconds, excluded.
const MAX_PAUSE_MS: u64 = 60;
/// Timeout of one HTTP exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts for one order; after that the caller abandons it with its last known outcome.
const MAX_ATTEMPTS: u32 = 12;
/// Delay before an order is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 16;

/// Context shared by all callers of one service.
#[derive(Clone)]
pub(super) struct RequestCaller {
    pub(super) fabric: Arc<Fabric>,
    pub(super) counts: Arc<SharedCounts>,
    pub(super) service: &'static str,
    pub(super) port: u16,
    pub(super) stop: CancellationToken,
}

/// Outcome of one exchange.
enum ExchangeOutcome {
    /// A target answered.
    Answer(Response),
    /// The request has not run; holds the ticket if one was issued.
    NotRun(Option<String>),
    /// The request may have run, or no response was received.
    Unknown,
}

impl RequestCaller {
    /// Sends one request after another until the demo ends.
    pub(super) async fn run(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ticket = None;
        let mut number = 0_u64;
        while !self.stop.is_cancelled() {
            number += 1;
            let order_id = format!("{}-{seed}-{number}", self.service);
            if rng.random_bool(0.5) {
                self.send_read(&order_id, &mut rng).await;
            } else {
                ticket = self.send_order(&order_id, ticket, &mut rng).await;
            }
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        }
    }

    async fn send_read(&self, order_id: &str, rng: &mut SmallRng) {
        self.counts.lock().requests_sent += 1;
        let start = Instant::now();
        match self.exchange(Method::GET, order_id, None, rng).await {
            ExchangeOutcome::Answer(response) => self.record_answer(&response, order_id, 0, start),
            ExchangeOutcome::NotRun(_) => self.counts.lock().refused_not_run += 1,
            ExchangeOutcome::Unknown => self.counts.lock().may_have_run += 1,
        }
    }

    /// Sends one order, with retries until its outcome is known or [`MAX_ATTEMPTS`] is reached. Returns a ticket for
    /// the next order if the answer carries one.
    async fn send_order(&self, order_id: &str, mut ticket: Option<String>, rng: &mut SmallRng) -> Option<String> {
        self.counts.lock().requests_sent += 1;
        let start = Instant::now();
        let mut outcome = OrderOutcome::NotRun;
        let mut next_ticket = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.exchange(Method::POST, order_id, ticket.as_deref(), rng).await {
                ExchangeOutcome::Answer(response) => {
                    self.record_answer(&response, order_id, order_id.len(), start);
                    next_ticket = header(&response, "hawthornshift-ticket");
                    outcome = OrderOutcome::Answered;
                    break;
                }
                // A new ticket replaces one whose request has not run and never will.
                ExchangeOutcome::NotRun(new_ticket) => {
                    outcome = OrderOutcome::NotRun;
                    let had_ticket = ticket.is_some();
                    ticket = new_ticket.or(ticket);
                    if !had_ticket {
                        continue;
                    }
                }
                ExchangeOutcome::Unknown => outcome = OrderOutcome::Unknown,
            }
            sleep(RETRY_DELAY).await;
        }
        let mut counts = self.counts.lock();
        match outcome {
            OrderOutcome::Answered => {}
            OrderOutcome::NotRun => counts.refused_not_run += 1,
            OrderOutcome::Unknown => counts.may_have_run += 1,
        }
        counts.orders.insert(order_id.to_owned(), outcome);
        next_ticket
    }

    async fn exchange(
        &self,
        method: Method,
        order_id: &str,
        ticket: Option<&str>,
        rng: &mut SmallRng,
    ) -> ExchangeOutcome {
        self.counts.lock().attempts += 1;
        let address = SocketAddr::new(self.fabric.pick(rng), self.port);
        let body = if method == Method::POST { Bytes::copy_from_slice(order_id.as_bytes()) } else { Bytes::new() };
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(order_id) {
            headers.insert(ORDER_HEADER, value);
        }
        if let Some(value) = ticket.and_then(|ticket| HeaderValue::from_str(ticket).ok()) {
            headers.insert("idempotency-key", value);
        }
        let path = format!("/{}", self.service);
        let call = Call {
            address,
            method,
            path,
            headers,
            body,
            timeout: EXCHANGE_TIMEOUT,
            max_answer_bytes: MAX_ANSWER_BYTES,
        };
        let Ok(response) = call.send().await else { return ExchangeOutcome::Unknown };
        match header(&response, "hawthornshift-verdict").as_deref() {
            Some("answered") => ExchangeOutcome::Answer(response),
            Some("not-run") => ExchangeOutcome::NotRun(header(&response, "hawthornshift-ticket")),
            _ => ExchangeOutcome::Unknown,
        }
    }

    /// Counts an answer, and checks that it is complete and belongs to this request.
    fn record_answer(&self, response: &Response, order_id: &str, sent: usize, start: Instant) {
        let text = String::from_utf8_lossy(&response.body);
        let fields: Vec<&str> = text.split(' ').collect();
        let is_valid = matches!(fields[..], [target, answered, len]
            if target.starts_with(self.service) && answered == order_id && len == sent.to_string());
        let mut counts = self.counts.lock();
        counts.answered += 1;
        counts.latencies_ms.push(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        if !is_valid {
            counts.wrong_or_partial_answers += 1;
        }
    }
}

fn header(response: &Response, name: &str) -> Option<String> {
    response.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}
