//! Callers of HTTP services: reads, and orders that must run once.

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

use super::tally::OrderEnd;
use super::tally::Tally;
use super::world::Fabric;
use hawthornshift_adapters::http_client::Call;
use hawthornshift_adapters::http_client::Response;
use hawthornshift_standins::target::ORDER_HEADER;

/// Longest pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 60;
/// Longest time of one exchange.
const PATIENCE: Duration = Duration::from_secs(5);
/// Tries of one order; a caller who cannot learn more gives up.
const MAX_TRIES: u32 = 12;
/// Pause before an order is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Most bytes of an answer.
const LIMIT: usize = 1 << 16;

/// What the callers of one service need to know.
#[derive(Clone)]
pub(super) struct RequestCalls {
    pub(super) fabric: Arc<Fabric>,
    pub(super) tally: Arc<Tally>,
    pub(super) service: &'static str,
    pub(super) port: u16,
    pub(super) stop: CancellationToken,
}

/// What one exchange brought.
enum Seen {
    /// The answer of a target.
    Answer(Response),
    /// Not run, with a ticket if one was given.
    NotRun(Option<String>),
    /// May have run, or nothing was heard.
    Unknown,
}

impl RequestCalls {
    /// Sends one request after another until the demo ends.
    pub(super) async fn run(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ticket = None;
        let mut number = 0_u64;
        while !self.stop.is_cancelled() {
            number += 1;
            let order = format!("{}-{seed}-{number}", self.service);
            if rng.random_bool(0.5) {
                self.read(&order, &mut rng).await;
            } else {
                ticket = self.order(&order, ticket, &mut rng).await;
            }
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        }
    }

    async fn read(&self, order: &str, rng: &mut SmallRng) {
        self.tally.lock().requests_sent += 1;
        let start = Instant::now();
        match self.exchange(Method::GET, order, None, rng).await {
            Seen::Answer(response) => self.note_answer(&response, order, 0, start),
            Seen::NotRun(_) => self.tally.lock().refused_not_run += 1,
            Seen::Unknown => self.tally.lock().may_have_run += 1,
        }
    }

    /// Sends one order until its end is known or patience ends; returns a ticket for the next.
    async fn order(&self, order: &str, mut ticket: Option<String>, rng: &mut SmallRng) -> Option<String> {
        self.tally.lock().requests_sent += 1;
        let start = Instant::now();
        let mut end = OrderEnd::NotRun;
        let mut next = None;
        for _ in 0..MAX_TRIES {
            match self.exchange(Method::POST, order, ticket.as_deref(), rng).await {
                Seen::Answer(response) => {
                    self.note_answer(&response, order, order.len(), start);
                    next = header(&response, "hawthornshift-ticket");
                    end = OrderEnd::Answered;
                    break;
                }
                // A fresh ticket replaces one that has not run and never will.
                Seen::NotRun(fresh) => {
                    end = OrderEnd::NotRun;
                    let had_ticket = ticket.is_some();
                    ticket = fresh.or(ticket);
                    if !had_ticket {
                        continue;
                    }
                }
                Seen::Unknown => end = OrderEnd::Unknown,
            }
            sleep(RETRY_PAUSE).await;
        }
        let mut counts = self.tally.lock();
        match end {
            OrderEnd::Answered => {}
            OrderEnd::NotRun => counts.refused_not_run += 1,
            OrderEnd::Unknown => counts.may_have_run += 1,
        }
        counts.orders.insert(order.to_owned(), end);
        next
    }

    async fn exchange(&self, method: Method, order: &str, ticket: Option<&str>, rng: &mut SmallRng) -> Seen {
        self.tally.lock().tries += 1;
        let address = SocketAddr::new(self.fabric.pick(rng), self.port);
        let body = if method == Method::POST { Bytes::copy_from_slice(order.as_bytes()) } else { Bytes::new() };
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(order) {
            headers.insert(ORDER_HEADER, value);
        }
        if let Some(value) = ticket.and_then(|ticket| HeaderValue::from_str(ticket).ok()) {
            headers.insert("idempotency-key", value);
        }
        let path = format!("/{}", self.service);
        let call = Call { address, method, path, headers, body, timeout: PATIENCE, limit: LIMIT };
        let Ok(response) = call.send().await else { return Seen::Unknown };
        match header(&response, "hawthornshift-verdict").as_deref() {
            Some("answered") => Seen::Answer(response),
            Some("not-run") => Seen::NotRun(header(&response, "hawthornshift-ticket")),
            _ => Seen::Unknown,
        }
    }

    /// Checks that an answer is whole and is the one to this request.
    fn note_answer(&self, response: &Response, order: &str, sent: usize, start: Instant) {
        let text = String::from_utf8_lossy(&response.body);
        let words: Vec<&str> = text.split(' ').collect();
        let ours = matches!(words[..], [target, answered, len]
            if target.starts_with(self.service) && answered == order && len == sent.to_string());
        let mut counts = self.tally.lock();
        counts.answered += 1;
        counts.latencies_ms.push(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        if !ours {
            counts.wrong_or_partial_answers += 1;
        }
    }
}

fn header(response: &Response, name: &str) -> Option<String> {
    response.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}
