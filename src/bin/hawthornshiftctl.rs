//! Entry point of the operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    hawthornshift_cli::run_ctl(&args).into()
}
