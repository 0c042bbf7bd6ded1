//! Runs the process of one instance.

use slog::error;
use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::direct;
use crate::exit::Exit;
use crate::incarnation::incarnation;
use crate::settings;
use crate::settings::Action;
use crate::settings::Environment;
use crate::settings::Settings;
use hawthornshift_adapters::Config;
use hawthornshift_adapters::Instance;
use hawthornshift_adapters::config::Addresses;
use hawthornshift_adapters::instance::Serving;
use hawthornshift_adapters::logs;
use hawthornshift_adapters::logs::LogLevelHandle;

/// Runs one instance until it stops, and returns the exit code.
///
/// If the first argument is [`direct::COMMAND`], the instance runs in direct mode.
#[must_use]
pub fn run_instance(args: &[String], environment: &Environment) -> Exit {
    if let Some((command, rest)) = args.split_first()
        && command == direct::COMMAND
    {
        return direct::run(rest, environment);
    }
    match settings::read(args, environment) {
        Ok(Action::Help(text)) => {
            print!("{text}");
            Exit::Good
        }
        Ok(Action::Version) => {
            println!("hawthornshift {}", env!("CARGO_PKG_VERSION"));
            Exit::Good
        }
        Ok(Action::Run(settings)) => run(*settings),
        Err(errors) => {
            eprint!("{errors}");
            eprintln!("See hawthornshift --help.");
            Exit::Usage
        }
    }
}

fn run(settings: Settings) -> Exit {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot create the Tokio runtime: {error}");
            return Exit::CannotListen;
        }
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Exit {
    let level = LogLevelHandle::new(settings.log_level);
    let log = logs::logger(level.clone());
    let addresses = Addresses { control: settings.control, forward: settings.forward, admin: settings.admin };
    let config =
        Config::new(settings.id, incarnation(), settings.failure_domain, addresses, settings.platform, log.clone())
            .admin_token(settings.admin_token)
            .listen(settings.listen)
            .peers(settings.peers)
            .tuning(settings.tuning)
            .level(level);
    let instance = match Instance::new(config).start().await {
        Ok(instance) => instance,
        Err(error) => {
            error!(log, "cannot start"; "error" => error.to_string());
            return Exit::CannotListen;
        }
    };
    wait_for_shutdown(&instance).await;
    info!(log, "stopping as planned");
    let stopped = instance.stop().await;
    if stopped.dump().phase == "superseded" { Exit::Superseded } else { Exit::Good }
}

/// Waits for SIGTERM or SIGINT, or until the instance stops by itself.
async fn wait_for_shutdown(instance: &Instance<Serving>) {
    let sigterm = async {
        match signal(SignalKind::terminate()) {
            Ok(mut signal) => {
                signal.recv().await;
            }
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        () = sigterm => {}
        _ = tokio::signal::ctrl_c() => {}
        () = instance.finished() => {}
    }
}
