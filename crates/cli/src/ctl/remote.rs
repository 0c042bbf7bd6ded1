//! Commands that query running instances.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderValue;
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;

use super::output::Output;
use crate::exit::Exit;
use hawthornshift_adapters::http_client::Call;
use hawthornshift_adapters::http_client::ExchangeError;

/// Timeout of a request to an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a state dump in bytes.
const MAX_DUMP_BYTES: usize = 16 << 20;

/// Reason why an instance's state is unavailable.
#[derive(Debug, Error)]
enum RemoteError {
    #[error("{0:?} is not an IP address and port")]
    InvalidAddress(String),
    #[error("the token is not a valid header value")]
    InvalidToken,
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("the instance returned HTTP status {0}")]
    Status(StatusCode),
    #[error("cannot parse the state dump: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("cannot create the Tokio runtime: {0}")]
    Runtime(#[from] std::io::Error),
}

fn fetch(address: &str, token: Option<&str>) -> Result<Value, RemoteError> {
    let address: SocketAddr = address.parse().map_err(|_| RemoteError::InvalidAddress(address.to_owned()))?;
    let mut call = Call::get(address, "/v1/dump", REQUEST_TIMEOUT, MAX_DUMP_BYTES);
    if let Some(token) = token {
        let value = HeaderValue::from_str(&format!("Bearer {token}")).map_err(|_| RemoteError::InvalidToken)?;
        call.headers.insert(AUTHORIZATION, value);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let response = runtime.block_on(call.send())?;
    if response.status != StatusCode::OK {
        return Err(RemoteError::Status(response.status));
    }
    Ok(serde_json::from_slice(&response.body)?)
}

fn report_error(address: &str, error: &RemoteError) -> Exit {
    eprintln!("{address}: {error}");
    if matches!(error, RemoteError::InvalidAddress(_) | RemoteError::InvalidToken) { Exit::Usage } else { Exit::Bad }
}

#[expect(clippy::needless_pass_by_value, reason = "the command is the last user of the token")]
pub(super) fn dump(address: &str, token: Option<String>) -> Exit {
    match fetch(address, token.as_deref()) {
        Ok(dump) => {
            println!("{}", serde_json::to_string_pretty(&dump).unwrap_or_default());
            Exit::Good
        }
        Err(error) => report_error(address, &error),
    }
}

/// Status of one instance: one row of the table.
#[derive(Debug, Serialize)]
#[serde(deny_unknown_fields)]
struct StatusLine {
    address: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    instance: Value,
    failure_domain: Value,
    phase: Value,
    revision: Value,
    serving: usize,
    flows: Value,
    requests: Value,
    breaches: usize,
}

pub(super) fn status(output: Output, addresses: &[&str], token: Option<&str>) -> Exit {
    let lines: Vec<StatusLine> = addresses.iter().map(|address| status_line(address, token)).collect();
    output.print(&lines, |lines| print_status(lines));
    let all_good = lines.iter().all(|line| line.error.is_none() && line.breaches == 0);
    if all_good { Exit::Good } else { Exit::Bad }
}

fn status_line(address: &str, token: Option<&str>) -> StatusLine {
    let (dump, error) = match fetch(address, token) {
        Ok(dump) => (dump, None),
        Err(error) => (Value::Null, Some(error.to_string())),
    };
    let count = |path: &str| dump.pointer(path).and_then(Value::as_array).map_or(0, Vec::len);
    let value = |path: &str| dump.pointer(path).cloned().unwrap_or(Value::Null);
    StatusLine {
        address: address.to_owned(),
        error,
        instance: value("/me/id"),
        failure_domain: value("/me/failure_domain"),
        phase: value("/phase"),
        revision: value("/configuration/revision"),
        serving: count("/serving"),
        flows: value("/flows/held"),
        requests: value("/requests/answered"),
        breaches: count("/breaches"),
    }
}

fn print_status(lines: &[StatusLine]) {
    println!(
        "{:<22} {:>8} {:<16} {:<9} {:>8} {:>7} {:>8} {:>9} {:>8}",
        "address", "instance", "failure domain", "phase", "revision", "serving", "flows", "answered", "breaches"
    );
    for line in lines {
        if let Some(error) = &line.error {
            println!("{:<22} {error}", line.address);
            continue;
        }
        println!(
            "{:<22} {:>8} {:<16} {:<9} {:>8} {:>7} {:>8} {:>9} {:>8}",
            line.address,
            line.instance,
            line.failure_domain.as_str().unwrap_or("-"),
            line.phase.as_str().unwrap_or("-"),
            line.revision,
            line.serving,
            line.flows,
            line.requests,
            line.breaches
        );
    }
}
