//! The demo: the whole system in one process on loopback, under planned and unplanned change.
//!
//! Instances, targets and the platform talk over real sockets through the same adapters as in production. Callers and
//! targets count what happens to them independently of the instances, and the report reconciles both sides.

mod datagram_callers;
mod report;
mod request_callers;
mod scenario;
mod stream_callers;
mod tally;
mod world;

use std::time::Duration;

use crate::exit::Exit;

/// Shortest demo in seconds; each step needs time to be seen.
pub const MIN_SECONDS: u64 = 20;

/// Runs the demo and prints its report.
#[must_use]
pub fn run(seconds: u64, seed: u64, json: bool) -> Exit {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            return Exit::Bad;
        }
    };
    let report = runtime.block_on(scenario::play(Duration::from_secs(seconds), seed));
    let exit = match report {
        Ok(report) => {
            report.print(json);
            if report.is_good() { Exit::Good } else { Exit::Bad }
        }
        Err(error) => {
            eprintln!("the demo could not run: {error}");
            Exit::Bad
        }
    };
    // Tasks that still wait for a socket must not hold the process.
    runtime.shutdown_timeout(Duration::from_secs(2));
    exit
}
