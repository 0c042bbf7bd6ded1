//! The demo: runs the whole system in one process on loopback, with planned and unplanned changes.
//!
//! Instances, targets and the platform communicate over real sockets through the same adapters as in production.
//! Callers and targets keep their own counts, independent of the instances, and the report compares the two.

mod cluster;
mod counts;
mod datagram_callers;
mod report;
mod request_callers;
mod scenario;
mod stream_callers;

use std::time::Duration;

use crate::exit::Exit;

/// Minimum duration of the demo in seconds; each step needs time to take effect.
pub const MIN_SECONDS: u64 = 20;

/// Runs the demo for about `seconds`, prints its report and returns the exit code.
#[must_use]
pub fn run(seconds: u64, seed: u64, json: bool) -> Exit {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot create the Tokio runtime: {error}");
            return Exit::Bad;
        }
    };
    let report = runtime.block_on(scenario::run(Duration::from_secs(seconds), seed));
    let exit = match report {
        Ok(report) => {
            report.print(json);
            if report.is_good() { Exit::Good } else { Exit::Bad }
        }
        Err(error) => {
            eprintln!("the demo failed: {error}");
            Exit::Bad
        }
    };
    // Tasks that still wait for a socket must not delay the exit.
    runtime.shutdown_timeout(Duration::from_secs(2));
    exit
}
