//! Health and load checks of targets: `GET /health`, answered with `{"state":"cold","running":1}`.
//!
//! The state is `cold`, `warm` or `leaving`; `running`, the requests under way, may be left out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::engine::Engine;
use crate::http_client::Call;
use hawthornshift_core::Input;
use hawthornshift_core::event::HealthReport;
use hawthornshift_model::TargetId;

/// Longest time a health check may take.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes of its answer.
const MAX_ANSWER_BYTES: usize = 4_096;

/// A target's answer; fields besides its state are its own.
#[derive(Debug, Deserialize)]
struct HealthAnswer {
    state: HealthReport,
    #[serde(default)]
    running: Option<u32>,
}

impl Engine {
    /// Checks a target's health and feeds what it said.
    pub(crate) async fn check_health(self: Arc<Self>, target: TargetId, address: SocketAddr) {
        let answer = Call::get(address, "/health", HEALTH_CHECK_TIMEOUT, MAX_ANSWER_BYTES).send().await;
        let report = answer.ok().filter(|answer| answer.status.is_success());
        let health = report.and_then(|answer| serde_json::from_slice::<HealthAnswer>(&answer.body).ok());
        let load = health.as_ref().and_then(|health| health.running);
        self.handle_input(Input::Probed { target, report: health.map(|health| health.state), load });
    }
}
