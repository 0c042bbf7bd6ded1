//! A single attempt of a request at a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use tokio::time::timeout;

use crate::engine::CONNECT_TIMEOUT;
use crate::engine::Engine;
use crate::http_client;
use crate::http_client::ExchangeError;
use crate::http_client::Response;
use crate::payload::Answer;
use crate::payload::MAX_BODY_BYTES;
use crate::payload::Request;
use crate::payload::TIMEOUT_HEADER;
use crate::payload::VERDICT_HEADER;
use hawthornshift_core::Input;
use hawthornshift_core::attempt::Attempt;
use hawthornshift_core::attempt::Unsent;
use hawthornshift_core::event::AttemptNumber;
use hawthornshift_core::event::RequestId;
use hawthornshift_core::message::Reason;
use hawthornshift_model::Verdict;

impl Engine {
    /// Sends a request to a target and passes the outcome to the core. Aborting the task closes the connection, which
    /// signals to the target that the request is cancelled.
    pub(crate) async fn execute(
        self: Arc<Self>,
        request: RequestId,
        number: AttemptNumber,
        address: SocketAddr,
        time_left: Duration,
        http_request: Arc<Request>,
    ) {
        let attempt = Attempt::new(request, number);
        let input = self.run_attempt(attempt, address, time_left, &http_request).await;
        self.handle_input(input);
    }

    async fn run_attempt(
        &self,
        attempt: Attempt<Unsent>,
        address: SocketAddr,
        time_left: Duration,
        http_request: &Request,
    ) -> Input {
        let mut headers = http_request.headers();
        let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(TIMEOUT_HEADER, HeaderValue::from(millis));
        let Ok(outgoing) = http_client::build(
            address,
            http_request.method(),
            http_request.path(),
            headers,
            http_request.body().clone(),
        ) else {
            return attempt.fail(Reason::RefusedByTarget);
        };
        let Ok(Ok(mut sender)) = timeout(CONNECT_TIMEOUT, http_client::connect(address)).await else {
            return attempt.fail(Reason::ConnectionBroken);
        };
        let attempt = attempt.send();
        match http_client::exchange(&mut sender, outgoing, MAX_BODY_BYTES).await {
            Ok(response) if refused_before_running(&response) => attempt.refused_by_target(),
            Ok(response) => {
                let answer = Answer::new(response.status, &response.headers, response.body);
                attempt.answered(self.store_answer(answer))
            }
            Err(ExchangeError::Incomplete(_) | ExchangeError::TooLarge(_)) => attempt.fail(Reason::AnswerIncomplete),
            Err(_) => attempt.fail(Reason::ConnectionBroken),
        }
    }
}

/// Returns whether a target reports that it refused a request before running it: status 503 with the verdict `not-run`.
/// A 503 without this verdict is an ordinary answer.
fn refused_before_running(response: &Response) -> bool {
    let verdict = response.headers.get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    response.status == StatusCode::SERVICE_UNAVAILABLE && verdict == Some(Verdict::NotRun.into())
}
