//! Test harness: instances as child processes, with test doubles of the platform and targets in the test's process.
#![allow(dead_code, unreachable_pub, reason = "each test file uses only part of the harness")]

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use hawthornshift_adapters::http_client::Call;
use hawthornshift_adapters::http_client::ExchangeError;
use hawthornshift_adapters::http_client::Response;
use hawthornshift_core::event::InstanceList;
use hawthornshift_core::event::ListedInstance;
use hawthornshift_model::Class;
use hawthornshift_model::DomainState;
use hawthornshift_model::FailureDomain;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Protocol;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::Service;
use hawthornshift_model::Target as TargetObject;
use hawthornshift_model::TargetGroup;
use hawthornshift_standins::Platform;
use hawthornshift_standins::Target;
use hawthornshift_standins::TargetKind;
use hawthornshift_standins::target::ORDER_HEADER;

/// Failure domains of the test system.
pub const DOMAINS: [&str; 2] = ["norte", "sur"];
/// Path of the instance binary.
pub const INSTANCE: &str = env!("CARGO_BIN_EXE_hawthornshift");
/// Timeout of [`wait_for`]; far longer than any awaited condition needs.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// The process of one instance; dropping it kills the process.
pub struct Process {
    pub child: Child,
    pub ip: IpAddr,
    pub admin: SocketAddr,
    pub control: SocketAddr,
    pub forward: SocketAddr,
}

impl Process {
    /// Sends a signal, given by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(sent.unwrap().success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A platform, targets and the processes of instances.
pub struct TestSystem {
    pub platform: Platform,
    pub targets: Vec<Target>,
    pub datagram_targets: Vec<Target>,
    pub set: PublishedSet,
    pub processes: BTreeMap<InstanceId, Process>,
    pub port: u16,
    pub udp_port: u16,
    subnet: u8,
    list_version: u64,
    stop: CancellationToken,
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl TestSystem {
    /// Starts a platform with targets; `subnet` separates the addresses of systems that run concurrently.
    pub async fn new(subnet: u8) -> Self {
        let stop = CancellationToken::new();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 7, subnet, 200));
        let platform = Platform::start(SocketAddr::new(ip, 0), stop.clone()).await.unwrap();
        let targets = start_targets(TargetKind::Http, "ventas", ip).await;
        let datagram_targets = start_targets(TargetKind::Datagram, "avisos", ip).await;
        let (port, udp_port) = (free_port(subnet), free_port(subnet));
        let domain = |name: &&str| FailureDomain {
            name: (*name).to_owned(),
            region: "guadalajara".to_owned(),
            state: DomainState::InService,
        };
        let set = PublishedSet {
            revision: 1,
            failure_domains: DOMAINS.iter().map(domain).collect(),
            target_groups: vec![group("ventas", &targets), group("avisos", &datagram_targets)],
            services: vec![service("ventas", Protocol::Http, port), service("avisos", Protocol::Datagram, udp_port)],
        };
        let system = Self {
            platform,
            targets,
            datagram_targets,
            set,
            processes: BTreeMap::new(),
            port,
            udp_port,
            subnet,
            list_version: 0,
            stop,
        };
        system.publish();
        system
    }

    /// Publishes the current set.
    pub fn publish(&self) {
        self.platform.publish("set", self.set.revision, serde_json::to_string(&self.set).unwrap());
    }

    /// Starts an instance as a child process.
    pub fn start(&mut self, id: InstanceId) {
        self.start_with(id, &[]);
    }

    /// Starts an instance with additional flags, and publishes the new list of instances.
    pub fn start_with(&mut self, id: InstanceId, flags: &[String]) {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 7, self.subnet, u8::try_from(id).unwrap() + 1));
        let at = |port| SocketAddr::new(ip, port);
        let (admin, control, forward) = (at(9_600), at(9_601), at(9_602));
        let child = Command::new(INSTANCE)
            .args(["--id", &id.to_string(), "--failure-domain", DOMAINS[id as usize % DOMAINS.len()]])
            .args(["--platform", &self.platform.address().to_string(), "--listen", &ip.to_string()])
            .args(["--admin", &admin.to_string(), "--control", &control.to_string()])
            .args(["--forward", &forward.to_string()])
            .args(flags)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.processes.insert(id, Process { child, ip, admin, control, forward });
        self.publish_instance_list();
    }

    /// Publishes the list of running instances under the next version.
    pub fn publish_instance_list(&mut self) {
        self.list_version += 1;
        let entry = |(id, process): (&InstanceId, &Process)| ListedInstance {
            id: *id,
            failure_domain: DOMAINS[*id as usize % DOMAINS.len()].to_owned(),
            control: process.control,
            forward: process.forward,
            leaving: false,
        };
        let instances = self.processes.iter().map(entry).collect();
        let list = InstanceList { version: self.list_version, instances };
        self.platform.publish("instances", self.list_version, serde_json::to_string(&list).unwrap());
    }

    /// Returns an instance's dump, or `None` if it does not answer within 2 s.
    pub async fn dump(&self, id: InstanceId) -> Option<Value> {
        let call = Call::get(self.processes[&id].admin, "/v1/dump", Duration::from_secs(2), 1 << 22);
        serde_json::from_slice(&call.send().await.ok()?.body).ok()
    }

    /// Waits until every instance is ready, lists all instances as serving and has applied the published set.
    pub async fn converge(&self) {
        let count = self.processes.len();
        let revision = self.set.revision;
        wait_for("all instances to be ready with the same set", async || {
            for id in self.processes.keys() {
                let Some(dump) = self.dump(*id).await else { return false };
                let serving = dump["serving"].as_array().map_or(0, Vec::len);
                let ready = dump["phase"] == "serving" && dump["fenced"] == false;
                if !ready || serving != count || dump["configuration"]["revision"] != revision {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Sends an order through an instance, with the ticket if there is one.
    pub async fn post(&self, id: InstanceId, order: &str, ticket: Option<&str>) -> Result<Response, ExchangeError> {
        let mut headers = HeaderMap::new();
        headers.insert(ORDER_HEADER, HeaderValue::from_str(order).unwrap());
        if let Some(ticket) = ticket {
            headers.insert("idempotency-key", HeaderValue::from_str(ticket).unwrap());
        }
        let call = Call {
            address: SocketAddr::new(self.processes[&id].ip, self.port),
            method: Method::POST,
            path: "/ventas".to_owned(),
            headers,
            body: Bytes::copy_from_slice(order.as_bytes()),
            timeout: Duration::from_secs(5),
            max_answer_bytes: 1 << 20,
        };
        call.send().await
    }

    /// Returns the number of runs of an order, as counted by the targets.
    pub fn runs(&self, order: &str) -> u32 {
        self.targets.iter().map(|target| target.counts().runs.get(order).copied().unwrap_or(0)).sum()
    }
}

async fn start_targets(kind: TargetKind, service: &str, ip: IpAddr) -> Vec<Target> {
    let mut targets = Vec::new();
    for number in 0..4 {
        let name = format!("{service}-{number}");
        targets.push(Target::start(kind, &name, service, ip, 2, Duration::from_millis(10)).await.unwrap());
    }
    targets
}

fn group(name: &str, targets: &[Target]) -> TargetGroup {
    let object = |(number, target): (usize, &Target)| TargetObject {
        name: target.name().to_owned(),
        failure_domain: DOMAINS[number % DOMAINS.len()].to_owned(),
        address: target.address(),
        health: Some(target.health()),
        slots: 2,
        connections: 100,
        leaving: false,
    };
    TargetGroup { name: name.to_owned(), targets: targets.iter().enumerate().map(object).collect() }
}

fn service(name: &str, protocol: Protocol, port: u16) -> Service {
    Service {
        name: name.to_owned(),
        protocol,
        address: SocketAddr::from((Ipv4Addr::new(127, 7, 255, 254), port)),
        target_group: name.to_owned(),
        class: Class::Normal,
        peak_slots: 0,
        timeout_ms: 3_000,
        idle_ms: 60_000,
    }
}

fn free_port(subnet: u8) -> u16 {
    let ip = Ipv4Addr::new(127, 7, subnet, 1);
    std::net::TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

/// Returns the value of a response header, if it is present and is text.
pub fn header(response: &Response, name: &str) -> Option<String> {
    response.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "waited too long for {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
