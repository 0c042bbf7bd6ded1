//! Instances as child processes; only processes that were started here are signalled or killed, by their ids.

use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::json;

/// Ports that all instances of a run use; each instance has its own IP address.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Port of callers' packets, at instances and at callers.
    pub packets: u16,
    /// Port of the readiness endpoint.
    pub ready: u16,
    /// Port of the operators' interface.
    pub control: u16,
    /// Port of messages between instances.
    pub peers: u16,
    /// Port of metrics and dump.
    pub metrics: u16,
}

/// One instance and its process, if it has been started; dropping it kills the process.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// IP address of the instance.
    pub ip: Ipv4Addr,
    ports: Ports,
    directory: PathBuf,
    child: Option<Child>,
    /// Number of starts; part of the name of the log file.
    start_count: u32,
}

impl Instance {
    /// Creates an instance that is not started yet, and writes its settings file into `directory`.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system if the file cannot be written.
    pub fn new(
        (index, domain): (usize, &str),
        ip: Ipv4Addr,
        ports: Ports,
        (store, seeds): (SocketAddr, &[Ipv4Addr]),
        directory: &Path,
    ) -> io::Result<Self> {
        let name = format!("instance-{index}");
        let at = |port: u16| format!("{ip}:{port}");
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:{}", ports.control)).collect();
        let settings = json!({
            "node-name": name, "ip": ip.to_string(), "zone": domain, "bootstrap": false,
            "listen-addrs": {
                "datagram-addr": at(ports.packets), "ready": at(ports.ready), "control": at(ports.control),
            },
            "internal-ports": [ports.peers, ports.peers], "seeds": seeds,
            "bounds": { "evac-ms": 5_000, "grace-s": 3 }, "platform": { "address": store.to_string() },
        });
        std::fs::write(directory.join(format!("{name}.json")), settings.to_string())?;
        Ok(Self { name, ip, ports, directory: directory.to_owned(), child: None, start_count: 0 })
    }

    /// Starts the process unless it runs; each start has its own log file.
    ///
    /// # Errors
    ///
    /// Returns the error if the log file cannot be created or the executable cannot be started.
    pub fn start(&mut self, binary: &Path) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        self.start_count += 1;
        let log = File::create(self.directory.join(format!("{}.{}.log", self.name, self.start_count)))?;
        let child = Command::new(binary)
            .arg("direct")
            .arg("--settings")
            .arg(self.settings_path())
            .arg("--metrics-port")
            .arg(self.ports.metrics.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the path of the settings file.
    #[must_use]
    pub fn settings_path(&self) -> PathBuf {
        self.directory.join(format!("{}.json", self.name))
    }

    /// Returns the address for callers' packets and the address of the readiness endpoint.
    #[must_use]
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        (SocketAddr::from((self.ip, self.ports.packets)), SocketAddr::from((self.ip, self.ports.ready)))
    }

    /// Returns the address that serves metrics.
    #[must_use]
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.ports.metrics))
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the exit status of a process that has exited without [`Instance::kill`]; `None` if it runs or was killed.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Sends a signal, given by its name without `SIG`.
    pub fn signal(&mut self, name: &str) {
        if let Some(child) = self.child.as_ref().filter(|_| self.start_count > 0) {
            // Fails if the process has just exited, which is no error of the run.
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
