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
const TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes of its answer.
const LIMIT: usize = 4_096;

/// A target's answer; fields besides its state are its own.
#[derive(Debug, Deserialize)]
struct Health {
    state: HealthReport,
    #[serde(default)]
    running: Option<u32>,
}

impl Engine {
    /// Checks a target's health and feeds what it said.
    pub(crate) async fn probe(self: Arc<Self>, target: TargetId, address: SocketAddr) {
        let answer = Call::get(address, "/health", TIMEOUT, LIMIT).send().await;
        let report = answer.ok().filter(|answer| answer.status.is_success());
        let health = report.and_then(|answer| serde_json::from_slice::<Health>(&answer.body).ok());
        let load = health.as_ref().and_then(|health| health.running);
        self.feed(Input::Probed { target, report: health.map(|health| health.state), load });
    }
}
