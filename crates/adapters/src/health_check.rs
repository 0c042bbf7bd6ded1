//! Health checks of targets: `GET /health`, which returns for example `{"state":"cold","running":1}`.
//!
//! `state` is `cold`, `warm` or `leaving`; `running`, the number of requests in progress, is optional.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::engine::Engine;
use crate::http_client::Call;
use hawthornshift_core::Input;
use hawthornshift_core::event::HealthReport;
use hawthornshift_model::TargetId;

/// Timeout of a health check, including the connect.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a health check's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4_096;

/// The answer of a target; other fields are ignored.
#[derive(Debug, Deserialize)]
struct HealthAnswer {
    state: HealthReport,
    #[serde(default)]
    running: Option<u32>,
}

impl Engine {
    /// Checks the health of a target and passes the result to the core; a failed check has no report.
    pub(crate) async fn check_health(self: Arc<Self>, target: TargetId, address: SocketAddr) {
        let answer = Call::get(address, "/health", HEALTH_CHECK_TIMEOUT, MAX_ANSWER_BYTES).send().await;
        let report = answer.ok().filter(|answer| answer.status.is_success());
        let health = report.and_then(|answer| serde_json::from_slice::<HealthAnswer>(&answer.body).ok());
        let load = health.as_ref().and_then(|health| health.running);
        self.handle_input(Input::HealthChecked { target, report: health.map(|health| health.state), load });
    }
}
