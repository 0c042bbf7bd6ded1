//! Tests of real processes on the direct path: start, readiness, settings reload, stop, and a short soak.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use strum::IntoEnumIterator;
use tokio_util::sync::CancellationToken;

use hawthornshift_adapters::http_client::Call;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_soak::rig::Instance;
use hawthornshift_soak::rig::Ports;
use hawthornshift_soak::run;
use hawthornshift_standins::Store;

const BINARY: &str = env!("CARGO_BIN_EXE_hawthornshift");
/// Timeout of every wait; far longer than any of them needs.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Timeout of one HTTP call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a loopback address that no other test uses.
///
/// Free ports are found by binding and releasing them. Tests run in parallel, so on a shared address a second test could be
/// assigned the same port before the first has started its process, which would then exit because it cannot listen.
fn unique_loopback_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = u8::try_from(std::process::id() % 250).unwrap_or_default();
    Ipv4Addr::new(127, 220, process, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// One instance with a store and its own directory.
struct TestInstance {
    store: Store,
    instance: Instance,
    ports: Ports,
    directory: PathBuf,
}

impl TestInstance {
    async fn new(name: &str) -> Self {
        let store = Store::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), CancellationToken::new()).await.unwrap();
        let directory = std::env::temp_dir().join(format!("direct-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let listeners: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap()).collect();
        let port = |index: usize| listeners[index].local_addr().unwrap().port();
        let ports = Ports { packets: port(0), ready: port(1), control: port(2), peers: port(3), metrics: port(4) };
        drop(listeners);
        let ip = unique_loopback_address();
        let instance = Instance::new((0, "norte"), ip, ports, (store.address(), &[]), &directory).unwrap();
        Self { store, instance, ports, directory }
    }

    /// Returns another instance with the same store, which has this one as its seed.
    fn neighbor(&self) -> Self {
        let (store, ports, ip) = (self.store.clone(), self.ports, unique_loopback_address());
        let directory = self.directory.join("neighbor");
        std::fs::create_dir_all(&directory).unwrap();
        let seeds = [self.instance.ip];
        let instance = Instance::new((0, "sur"), ip, ports, (store.address(), &seeds), &directory).unwrap();
        Self { store, instance, ports, directory }
    }

    fn publish(&self) {
        self.publish_routes(1, 1);
    }

    /// Publishes a configuration with a number of routes to one service.
    fn publish_routes(&self, version: u64, count: u16) {
        let route = |port| {
            json!({
                "name": "r", "hostname": "198.18.0.1", "prefix": format!("/{port}/"), "type": "safe", "timeout-ms": 1_000,
                "target-latency-ms": 100, "priority": 1, "service": "orders",
            })
        };
        let routes: Vec<_> = (443..443 + count).map(route).collect();
        let services = json!([{ "name": "orders", "warmup-s": 2.0 }]);
        self.store
            .put("op/config", &json!({ "version": version, "routes": routes, "services": services, "limits": {} }));
    }

    async fn status(&self, path: &str) -> Option<u16> {
        let (_, ready) = self.instance.addresses();
        Call::get(ready, path, CALL_TIMEOUT, 1 << 20).send().await.ok().map(|response| response.status.as_u16())
    }

    async fn wait_for(&self, path: &str, status: u16) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.status(path).await != Some(status) {
            assert!(Instant::now() < deadline, "{path} did not answer {status}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the instance reports a value of a metric.
    async fn wait_for_metric(&self, name: &str, value: u64) {
        let (line, deadline) = (format!("hawthornshift_{name} {value}"), Instant::now() + WAIT_TIMEOUT);
        while !self.text("/metrics").await.lines().any(|found| found == line) {
            assert!(Instant::now() < deadline, "no {line}: {}", self.log());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn text(&self, path: &str) -> String {
        let response = Call::get(self.instance.metrics(), path, CALL_TIMEOUT, 1 << 20).send().await.unwrap();
        String::from_utf8(response.body.to_vec()).unwrap()
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("instance-0.1.log")).unwrap()
    }

    /// Waits for the process to exit and returns its exit code.
    async fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.instance.exit_status() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the process does not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for TestInstance {
    fn drop(&mut self) {
        self.instance.kill();
        // If the removal fails, the directory stays behind, which affects no other run.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Guards against an instance that reports readiness before it has a configuration from the store: it would receive flows
/// for which it has no target.
#[tokio::test(flavor = "multi_thread")]
async fn instance_is_ready_once_it_has_a_configuration() {
    let mut test = TestInstance::new("ready").await;
    test.instance.start(Path::new(BINARY)).unwrap();
    test.wait_for("/api/ready", 503).await;
    test.publish();
    test.wait_for("/api/ready", 200).await;
    let metrics = test.text("/metrics").await;
    assert!(metrics.contains("hawthornshift_ready 1"), "{metrics}");
    assert!(metrics.contains(r#"hawthornshift_decisions_total{outcome="placed"} 0"#), "{metrics}");
    let dump: serde_json::Value = serde_json::from_str(&test.text("/dump").await).unwrap();
    assert_eq!((dump["ready"].as_bool(), dump["version"].as_u64()), (Some(true), Some(1)));
}

/// Guards against an instance that never gets a change, since large entries of another writer make what it lacks exceed the
/// size of a message.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_an_instance_that_lacks_more_than_a_message_holds() {
    let mut first = TestInstance::new("parts").await;
    first.publish();
    first.instance.start(Path::new(BINARY)).unwrap();
    first.wait_for("/api/ready", 200).await;
    let mut second = first.neighbor();
    second.instance.start(Path::new(BINARY)).unwrap();
    second.wait_for("/api/ready", 200).await;
    for index in 0..4 {
        let entry = json!({
            "service": format!("batch-{}", "n".repeat(720_000)), "address": "127.0.0.1:9", "zone": "norte", "version": "v1",
            "slots": 2, "state": "ready", "sequence": 1, "warmup-left-ms": 0,
        });
        first.store.put(&format!("servers/batch-f{index}"), &entry);
    }
    first.publish_routes(2, 350);
    first.wait_for_metric("configuration_version", 2).await;
    second.wait_for_metric("configuration_version", 2).await;
}

/// Guards against an instance that stops following the store: what another writer has written since the last answer exceeds
/// the size that is accepted of an answer, and the same is asked for again.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_follows_the_store_past_an_answer_that_is_too_large() {
    let mut test = TestInstance::new("blobs").await;
    test.store.set_page_size(2);
    test.publish();
    test.instance.start(Path::new(BINARY)).unwrap();
    test.wait_for("/api/ready", 200).await;
    for index in 0..6 {
        test.store.put_bytes(&format!("servers/blob-f{index}"), &vec![1; 1_000_000]);
    }
    test.publish_routes(2, 1);
    test.wait_for_metric("configuration_version", 2).await;
}

/// Guards against a process that ends, or no longer follows the store, for odd entries of another writer: nested deeply, with
/// numbers too large, or with a port out of range.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_do_not_stop_an_instance() {
    let mut test = TestInstance::new("odd").await;
    test.publish();
    let entry = |address: &str, slots: &str| {
        format!(
            r#"{{"service":"orders","address":"{address}","zone":"norte","version":"v1","slots":{slots},"state":"ready",
            "sequence":1,"warmup-left-ms":0}}"#
        )
    };
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [deep.clone(), entry("127.0.0.1:99999", "2"), entry("127.0.0.1:9", "1e400"), entry("127.0.0.1:9", &deep)];
    let write = |round: usize| {
        for (index, value) in odd.iter().enumerate() {
            test.store.put_bytes(&format!("servers/odd-{round}{index}"), value.as_bytes());
        }
        test.store.put_bytes(&format!("servers/i-{round}f"), entry("127.0.0.1:9", "2").as_bytes());
    };
    write(1);
    test.instance.start(Path::new(BINARY)).unwrap();
    test.wait_for("/api/ready", 200).await;
    test.wait_for_metric("targets_listed", 1).await;
    write(2);
    test.publish_routes(2, 1);
    test.wait_for_metric("configuration_version", 2).await;
    test.wait_for_metric("targets_listed", 2).await;
    assert!(test.instance.is_running());
}

/// Guards against a bandwidth in the settings that does not reach the link budget.
#[tokio::test(flavor = "multi_thread")]
async fn a_narrow_link_in_the_settings_has_a_budget() {
    let mut test = TestInstance::new("link").await;
    test.publish();
    let path = test.instance.settings_path();
    let mut settings: serde_json::Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    settings["limits"] = json!({ "link-mbps": 10 });
    std::fs::write(&path, settings.to_string()).unwrap();
    test.instance.start(Path::new(BINARY)).unwrap();
    test.wait_for("/api/ready", 200).await;
    let metrics = test.text("/metrics").await;
    assert!(metrics.contains("hawthornshift_link_capacity_mbps 10"), "{metrics}");
    let dump: serde_json::Value = serde_json::from_str(&test.text("/dump").await).unwrap();
    assert_eq!(dump["link"]["state"].as_str(), Some("free"));
}

/// Guards against a process that exits on SIGHUP or on a settings file that it cannot decode. An early version had no handler
/// for the signal and exited, which interrupted all callers of the instance.
#[tokio::test(flavor = "multi_thread")]
async fn settings_reload_keeps_the_process_serving() {
    let mut test = TestInstance::new("reload").await;
    test.publish();
    test.instance.start(Path::new(BINARY)).unwrap();
    test.wait_for("/api/ready", 200).await;
    std::fs::write(test.instance.settings_path(), "no settings").unwrap();
    test.instance.signal("HUP");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !test.log().contains("settings not reloaded") {
        assert!(Instant::now() < deadline, "{}", test.log());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(test.instance.is_running());
    assert_eq!(test.status("/api/ready").await, Some(200));
}

/// Guards against a metric or outcome that was added or renamed without an entry in the operators' documentation.
#[tokio::test(flavor = "multi_thread")]
async fn every_metric_and_outcome_is_documented() {
    let page = include_str!("../docs/OPERATIONS.md");
    let mut test = TestInstance::new("explained").await;
    test.publish();
    test.instance.start(Path::new(BINARY)).unwrap();
    test.wait_for("/api/ready", 200).await;
    let metrics = test.text("/metrics").await;
    let lines = metrics.lines().filter(|line| !line.starts_with('#') && !line.is_empty());
    let names: BTreeSet<&str> = lines.filter_map(|line| line.split(['{', ' ']).next()).collect();
    assert!(names.len() > 20, "{names:?}");
    for name in names {
        let short = name.strip_prefix("hawthornshift_").unwrap();
        assert!(page.contains(&format!("`{short}")), "{name} is not in docs/OPERATIONS.md");
    }
    for outcome in Outcome::iter() {
        let name: &str = outcome.into();
        assert!(page.contains(&format!("`{name}`")), "{name} is not in docs/OPERATIONS.md");
    }
}

/// Guards against a stop that breaks flows or outlasts the grace period. On SIGTERM, an instance must report at once that it
/// accepts no new flows, keep serving, and exit with code 0 well before SIGKILL.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_stops_gracefully_with_exit_code_0() {
    let mut test = TestInstance::new("stop").await;
    test.publish();
    test.instance.start(Path::new(BINARY)).unwrap();
    test.wait_for("/api/ready", 200).await;
    test.instance.signal("TERM");
    test.wait_for("/api/ready", 503).await;
    assert_eq!(test.exit_code().await, Some(0));
    assert!(test.log().contains("\"stopped\""), "{}", test.log());
}

/// Guards against an unclear start failure: with a missing settings file and an invalid option, the process must exit with
/// code 2 and name both.
#[test]
fn unusable_settings_are_reported_by_path_and_option() {
    let run =
        |path: &str| Command::new(BINARY).args(["direct", "--settings", path, "--log-rate", "x"]).output().unwrap();
    let output = run("/nowhere/settings.json");
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("/nowhere/settings.json") && text.contains("--log-rate"), "{text}");
}

/// Runs a short soak for each seed, which selects the kinds of faults. The soak crate documents its checks. Every seed that
/// has ever failed stays in the list.
#[tokio::test(flavor = "multi_thread")]
async fn short_soak_finds_no_violation() {
    for seed in SOAK_SEEDS {
        let options = run::Options {
            seed,
            length: Duration::from_secs(12),
            instances: 4,
            targets: 8,
            rate: 60.0,
            binary: PathBuf::from(BINARY),
            directory: run::directory(&std::env::temp_dir(), seed),
            sabotage: None,
        };
        let verdict = run::run(options.clone()).await.unwrap();
        assert!(verdict.breaches.is_empty(), "seed {seed}: {:#?}\n{:#?}", verdict.breaches, verdict.timeline);
        let (asked, answered, _) = verdict.totals;
        assert!(answered * 2 > asked, "{answered} of {asked} answered");
        std::fs::remove_dir_all(&options.directory).unwrap();
    }
}

/// Seeds of the short soak.
const SOAK_SEEDS: [u64; 5] = [
    41,
    // After a pause, an instance placed packets that had been queued in its socket for 2.6 s on a target that had been
    // restarted cold in the meantime.
    402,
    // Restarts combined with a pause made three instances each assume that the slow-start rate of a cold target was theirs.
    110,
    // Retransmissions of nine SYNs opened flows within one second at a target that had been restarted cold in the meantime.
    6_216,
    // Load reports about flows that a dead target did not answer were counted as evidence of liveness, so the target received
    // its full share as soon as it came back cold.
    7_009,
];
