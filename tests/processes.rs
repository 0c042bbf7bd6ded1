//! Instances as separate processes: the path from start to finish, failures, and bad input.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::process::Command;
use std::time::Duration;

use support::INSTANCE;
use support::World;
use support::header;
use support::wait_for;
use tokio::time::sleep;

use hawthornshift_adapters::http_client::Call;

/// Sends an order until its end is known, each try through another instance; returns whether it was answered.
async fn settle(world: &World, order: &str) -> bool {
    let mut ticket: Option<String> = None;
    let ids: Vec<u32> = world.processes.keys().rev().copied().collect();
    for id in ids.iter().cycle().take(20) {
        let Ok(response) = world.post(*id, order, ticket.as_deref()).await else { continue };
        match header(&response, "hawthornshift-verdict").as_deref() {
            Some("answered") => return true,
            Some("not-run") => {
                assert_eq!(world.runs(order), 0, "{order} was refused as not run but ran");
                ticket = header(&response, "hawthornshift-ticket").or(ticket);
            }
            _ => {}
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}

/// A caller's first order comes without a ticket. It is told to take one, and its second try runs; a third with the
/// same ticket through another instance gets the same answer without a second run.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_is_served_from_start_to_finish() {
    let mut world = World::new(1).await;
    for id in 0..4 {
        world.start(id);
    }
    world.converge().await;
    let refused = world.post(0, "a", None).await.unwrap();
    assert_eq!(refused.status, 428);
    assert_eq!(header(&refused, "hawthornshift-verdict").as_deref(), Some("not-run"));
    assert_eq!(world.runs("a"), 0);
    let ticket = header(&refused, "hawthornshift-ticket").unwrap();
    let mut answers = Vec::new();
    for id in [1, 2, 3, 0] {
        let answer = world.post(id, "a", Some(&ticket)).await.unwrap();
        assert_eq!(answer.status, 200);
        answers.push(answer.body);
    }
    assert!(answers.windows(2).all(|pair| pair[0] == pair[1]));
    assert_eq!(world.runs("a"), 1);
}

/// An instance is killed, another is frozen for longer than its lease, the platform goes down, a third is restarted
/// under its old address, and one stops as planned, all while orders come in. A caller may be left not knowing, but
/// no order runs twice, and the fleet serves again when it is left alone.
#[tokio::test(flavor = "multi_thread")]
async fn orders_run_once_while_processes_die_freeze_and_return() {
    let mut world = World::new(2).await;
    for id in 0..5 {
        world.start(id);
    }
    world.converge().await;
    let mut number = 0;
    let mut batch = async |world: &World, label: &str| {
        let orders: Vec<String> = (0..20).map(|index| format!("{label}-{index}")).collect();
        number += orders.len();
        for order in &orders {
            settle(world, order).await;
        }
        orders
    };
    let mut orders = batch(&world, "calm").await;

    world.processes[&0].signal("KILL");
    orders.extend(batch(&world, "killed").await);
    world.processes.remove(&0);
    world.list();

    // Callers meet the frozen one last, but owners and keepers meet it at random.
    world.processes[&1].signal("STOP");
    orders.extend(batch(&world, "frozen").await);
    world.processes[&1].signal("CONT");
    orders.extend(batch(&world, "thawed").await);

    world.platform.set_down(true);
    world.start_with(0, &["--peers".to_owned(), world.processes[&2].control.to_string()]);
    orders.extend(batch(&world, "platform-down").await);
    world.converge().await;
    world.platform.set_down(false);

    world.processes[&2].signal("TERM");
    orders.extend(batch(&world, "stopping").await);
    let stopped = world.processes.get_mut(&2).unwrap().child.wait().unwrap();
    assert_eq!(stopped.code(), Some(0), "a planned stop ends with success");
    world.processes.remove(&2);
    world.list();
    world.converge().await;

    let last = batch(&world, "after").await;
    for order in &last {
        assert_eq!(world.runs(order), 1, "{order}");
    }
    for order in orders.iter().chain(&last) {
        assert!(world.runs(order) <= 1, "{order} ran {} times", world.runs(order));
    }
    for target in &world.targets {
        assert_eq!(target.counts().wrong_service, 0);
    }
    for id in world.processes.keys() {
        let dump = world.dump(*id).await.unwrap();
        assert_eq!(dump["breaches"].as_array().unwrap().len(), 0, "{}", dump["breaches"]);
    }
}

/// Strangers send what nobody understands to every port: datagrams, HTTP heads and bodies, peer messages. A user
/// notices nothing, and the sender gets a clear error where the protocol has one.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_an_error_and_leaves_the_process_serving() {
    let mut world = World::new(3).await;
    world.start(0);
    world.converge().await;
    let process = &world.processes[&0];
    let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
    for junk in [vec![], vec![0; 1], vec![1; 3], vec![255; 1_200], vec![7; 60_000]] {
        udp.send_to(&junk, process.forward).unwrap();
        udp.send_to(&junk, SocketAddr::new(process.ip, world.udp_port)).unwrap();
    }
    for address in [SocketAddr::new(process.ip, world.port), process.control, process.admin] {
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
    oversized.address = SocketAddr::new(process.ip, world.port);
    if let Ok(answer) = oversized.send().await {
        assert_eq!(answer.status, 413);
    }
    let mut odd = Call::get(SocketAddr::new(process.ip, world.port), "/ventas", Duration::from_secs(5), 1 << 20);
    odd.headers.insert("hawthornshift-timeout-ms", http::HeaderValue::from_static("soon"));
    assert_eq!(odd.send().await.unwrap().status, 400);

    world.platform.publish("set", 99, "{\"revision\": 99, \"surprise\": true}".to_owned());
    sleep(Duration::from_millis(500)).await;
    assert!(settle(&world, "after-bad-input").await);
    let dump = world.dump(0).await.unwrap();
    assert_eq!(dump["configuration"]["revision"], 1, "a set that cannot be read is not applied");
}

/// An operator starts an instance with several wrong settings at once, or on a port that is taken. Each fault is
/// named, and the exit code tells the two apart.
#[test]
fn wrong_settings_and_an_occupied_port_are_told_apart() {
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
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let _held = std::net::TcpListener::bind(taken).unwrap();
    let output = Command::new(INSTANCE)
        .args(["--id", "1", "--failure-domain", "norte", "--platform", "127.0.0.1:1"])
        .args(["--control", &taken.to_string(), "--forward", "127.0.0.1:0", "--admin", "127.0.0.1:0"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8(output.stderr).unwrap().contains("cannot listen"));
}

/// The platform cannot be reached when an instance starts, and no peer is known. The process starts, says that it is
/// not ready, and serves as soon as the platform answers.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_starts_without_the_platform_and_waits_for_it() {
    let mut world = World::new(4).await;
    world.platform.set_down(true);
    world.start(0);
    let ready = async || {
        let call = Call::get(world.processes[&0].admin, "/readyz", Duration::from_secs(2), 1 << 12);
        call.send().await.ok().map(|answer| answer.status.as_u16())
    };
    wait_for("the admin service", async || ready().await == Some(503)).await;
    world.platform.set_down(false);
    wait_for("readiness", async || ready().await == Some(200)).await;
    assert!(settle(&world, "late").await);
}
