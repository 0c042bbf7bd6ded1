//! Instances as separate processes: a request from start to finish, failures, and malformed input.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::process::Command;
use std::time::Duration;

use support::INSTANCE;
use support::TestSystem;
use support::header;
use support::wait_for;
use tokio::time::sleep;

use hawthornshift_adapters::http_client::Call;

/// Sends an order up to 20 times, each time through the next instance, until it is answered; returns whether it was.
async fn send_until_decided(system: &TestSystem, order: &str) -> bool {
    let mut ticket: Option<String> = None;
    let ids: Vec<u32> = system.processes.keys().rev().copied().collect();
    for id in ids.iter().cycle().take(20) {
        let Ok(response) = system.post(*id, order, ticket.as_deref()).await else { continue };
        match header(&response, "hawthornshift-verdict").as_deref() {
            Some("answered") => return true,
            Some("not-run") => {
                assert_eq!(system.runs(order), 0, "{order} ran although its verdict was not-run");
                ticket = header(&response, "hawthornshift-ticket").or(ticket);
            }
            _ => {}
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Guards against an order that runs without a ticket or runs again on a retry. A request without a ticket is refused with
/// a new one; the retry with it runs, and further retries through other instances return the stored answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_without_a_ticket_is_refused_and_runs_once_with_one() {
    let mut system = TestSystem::new(1).await;
    for id in 0..4 {
        system.start(id);
    }
    system.converge().await;
    let refused = system.post(0, "a", None).await.unwrap();
    assert_eq!(refused.status, 428);
    assert_eq!(header(&refused, "hawthornshift-verdict").as_deref(), Some("not-run"));
    assert_eq!(system.runs("a"), 0);
    let ticket = header(&refused, "hawthornshift-ticket").unwrap();
    let mut answers = Vec::new();
    for id in [1, 2, 3, 0] {
        let answer = system.post(id, "a", Some(&ticket)).await.unwrap();
        assert_eq!(answer.status, 200);
        answers.push(answer.body);
    }
    assert!(answers.windows(2).all(|pair| pair[0] == pair[1]));
    assert_eq!(system.runs("a"), 1);
}

/// Guards against an order that runs twice when instances fail. One instance is killed, another is paused for longer than
/// its lease, the platform becomes unavailable, the killed one is restarted under its old address, and one stops
/// gracefully, all while orders are sent. An order's outcome may stay unknown to its caller, but no order runs twice, and
/// every order that is sent after the faults runs exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn orders_run_at_most_once_while_processes_crash_pause_and_restart() {
    let mut system = TestSystem::new(2).await;
    for id in 0..5 {
        system.start(id);
    }
    system.converge().await;
    let mut number = 0;
    let mut batch = async |system: &TestSystem, label: &str| {
        let orders: Vec<String> = (0..20).map(|index| format!("{label}-{index}")).collect();
        number += orders.len();
        for order in &orders {
            send_until_decided(system, order).await;
        }
        orders
    };
    let mut orders = batch(&system, "calm").await;

    system.processes[&0].signal("KILL");
    orders.extend(batch(&system, "killed").await);
    system.processes.remove(&0);
    system.publish_instance_list();

    // Callers try the paused instance last, but owners and coordinators are chosen at random and may be the paused one.
    system.processes[&1].signal("STOP");
    orders.extend(batch(&system, "frozen").await);
    system.processes[&1].signal("CONT");
    orders.extend(batch(&system, "thawed").await);

    system.platform.set_unavailable(true);
    system.start_with(0, &["--peers".to_owned(), system.processes[&2].control.to_string()]);
    orders.extend(batch(&system, "platform-down").await);
    system.converge().await;
    system.platform.set_unavailable(false);

    system.processes[&2].signal("TERM");
    orders.extend(batch(&system, "stopping").await);
    let stopped = system.processes.get_mut(&2).unwrap().child.wait().unwrap();
    assert_eq!(stopped.code(), Some(0), "a graceful stop exits with code 0");
    system.processes.remove(&2);
    system.publish_instance_list();
    system.converge().await;

    let last = batch(&system, "after").await;
    for order in &last {
        assert_eq!(system.runs(order), 1, "{order}");
    }
    for order in orders.iter().chain(&last) {
        assert!(system.runs(order) <= 1, "{order} ran {} times", system.runs(order));
    }
    for target in &system.targets {
        assert_eq!(target.counts().wrong_service, 0);
    }
    for id in system.processes.keys() {
        let dump = system.dump(*id).await.unwrap();
        assert_eq!(dump["breaches"].as_array().unwrap().len(), 0, "{}", dump["breaches"]);
    }
}

/// Guards against malformed input that stops or blocks an instance. Every port gets malformed datagrams, HTTP headers and
/// bodies or peer messages, and the platform publishes an unreadable set. The sender gets an error where the protocol has
/// one, and the instance still serves orders.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_input_gets_an_error_and_the_process_keeps_serving() {
    let mut system = TestSystem::new(3).await;
    system.start(0);
    system.converge().await;
    let process = &system.processes[&0];
    let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
    for malformed_payload in [vec![], vec![0; 1], vec![1; 3], vec![255; 1_200], vec![7; 60_000]] {
        udp.send_to(&malformed_payload, process.forward).unwrap();
        udp.send_to(&malformed_payload, SocketAddr::new(process.ip, system.udp_port)).unwrap();
    }
    for address in [SocketAddr::new(process.ip, system.port), process.control, process.admin] {
        let mut stream = TcpStream::connect(address).unwrap();
        let _ = stream.write_all(b"\x00\x01 not http at all\r\n\r\n");
        let mut stream = TcpStream::connect(address).unwrap();
        let _ = stream.write_all(&vec![b'a'; 200_000]);
    }
    let call = |path: &str, body: Vec<u8>| Call {
        method: http::Method::POST,
        body: body.into(),
        ..Call::get(process.control, path, Duration::from_secs(5), 1 << 20)
    };
    let malformed = call("/", b"{\"jsonrpc\":\"2.0\",\"method\":\"peer_exchange\",\"params\":[{}],\"id\":1}".to_vec());
    let mut malformed = malformed;
    malformed.headers.insert("content-type", http::HeaderValue::from_static("application/json"));
    let answer = malformed.send().await.unwrap();
    assert!(String::from_utf8_lossy(&answer.body).contains("error"), "{answer:?}");

    let mut oversized = call("/ventas", vec![b'x'; (1 << 20) + 1]);
    oversized.address = SocketAddr::new(process.ip, system.port);
    if let Ok(answer) = oversized.send().await {
        assert_eq!(answer.status, 413);
    }
    let mut invalid_timeout =
        Call::get(SocketAddr::new(process.ip, system.port), "/ventas", Duration::from_secs(5), 1 << 20);
    invalid_timeout.headers.insert("hawthornshift-timeout-ms", http::HeaderValue::from_static("soon"));
    assert_eq!(invalid_timeout.send().await.unwrap().status, 400);

    system.platform.publish("set", 99, "{\"revision\": 99, \"surprise\": true}".to_owned());
    sleep(Duration::from_millis(500)).await;
    assert!(send_until_decided(&system, "after-bad-input").await);
    let dump = system.dump(0).await.unwrap();
    assert_eq!(dump["configuration"]["revision"], 1, "an unreadable set is not applied");
}

/// Guards against a start that reports only the first invalid setting, or the same exit code for every error. An instance
/// is started with several invalid settings, then on a port in use: each error is named, with exit code 2 for the settings
/// and 3 for the port.
#[test]
fn invalid_settings_and_a_port_in_use_give_different_exit_codes() {
    let output = Command::new(INSTANCE)
        .args(["--id", "many", "--platform", "nowhere", "--lease-ms", "9000", "--admin", "10.0.0.1:1"])
        .env("HAWTHORNSHIFT_SURPRISE", "1")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for part in ["--id", "--platform", "--failure-domain", "--control", "lease", "SURPRISE", "--admin-token"] {
        assert!(text.contains(part), "{part} is not named in: {text}");
    }
    let held = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = held.local_addr().unwrap();
    let output = Command::new(INSTANCE)
        .args(["--id", "1", "--failure-domain", "norte", "--platform", "127.0.0.1:1"])
        .args(["--control", &taken.to_string(), "--forward", "127.0.0.1:0", "--admin", "127.0.0.1:0"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8(output.stderr).unwrap().contains("cannot listen"));
}

/// Guards against an instance that exits or stays unready when the platform is unavailable at its start. Without platform
/// and peers it reports that it is not ready; when the platform answers, it becomes ready and serves.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_starts_without_the_platform_and_is_ready_when_it_returns() {
    let mut system = TestSystem::new(4).await;
    system.platform.set_unavailable(true);
    system.start(0);
    let ready = async || {
        let call = Call::get(system.processes[&0].admin, "/readyz", Duration::from_secs(2), 1 << 12);
        call.send().await.ok().map(|answer| answer.status.as_u16())
    };
    wait_for("the admin service", async || ready().await == Some(503)).await;
    system.platform.set_unavailable(false);
    wait_for("readiness", async || ready().await == Some(200)).await;
    assert!(send_until_decided(&system, "late").await);
}
