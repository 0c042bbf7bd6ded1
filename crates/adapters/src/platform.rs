//! A client of the platform's HTTP interface, with long polling.
//!
//! `GET /v1/set?after=REVISION&wait_ms=MILLISECONDS` returns 200 with the published configuration set in JSON when its
//! revision differs from `after`, and 304 when it has not changed within `wait_ms`. `GET /v1/instances` does the same
//! for the list of instances and its version. The client only reads.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use slog::warn;
use thiserror::Error;

use crate::engine::Engine;
use crate::http_client::Call;
use crate::http_client::ExchangeError;
use crate::http_client::Response;
use hawthornshift_core::Input;
use hawthornshift_core::event::PlatformRead;
use hawthornshift_core::event::Resource;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::check::CheckError;
use hawthornshift_model::check::MAX_SET_BYTES;

/// Time that a response may take beyond the requested wait.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Error of a read.
#[derive(Debug, Error)]
enum ReadError {
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("the platform returned status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Set(#[from] CheckError),
    #[error("invalid list of instances: {0}")]
    List(#[from] serde_json::Error),
}

impl Engine {
    /// Reads a resource of the platform and passes the result to the core; an error is logged.
    pub(crate) async fn read_platform(self: Arc<Self>, read: PlatformRead) {
        match self.fetch(read).await {
            Ok(input) => self.handle_input(input),
            Err(error) => {
                let resource: &str = read.resource.into();
                warn!(self.log, "platform read failed"; "resource" => resource, "error" => error.to_string());
                self.handle_input(Input::PlatformFailed(read.resource));
            }
        }
    }

    async fn fetch(&self, read: PlatformRead) -> Result<Input, ReadError> {
        let resource: &str = read.resource.into();
        let path = format!("/v1/{resource}?after={}&wait_ms={}", read.after, read.wait.as_millis());
        let call = Call::get(self.config.platform, path, read.wait + RESPONSE_GRACE, MAX_SET_BYTES);
        let response = call.send().await?;
        match response.status {
            StatusCode::OK => parse_response(read.resource, &response),
            StatusCode::NOT_MODIFIED => Ok(match read.resource {
                Resource::Set => Input::SetUnchanged,
                Resource::Instances => Input::InstancesUnchanged,
            }),
            status => Err(ReadError::Status(status)),
        }
    }
}

fn parse_response(resource: Resource, response: &Response) -> Result<Input, ReadError> {
    Ok(match resource {
        Resource::Set => Input::SetRead(Arc::new(CheckedSet::from_json(&response.body)?)),
        Resource::Instances => Input::InstancesRead(serde_json::from_slice(&response.body)?),
    })
}
