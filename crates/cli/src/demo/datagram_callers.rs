//! Callers of a datagram service. Each flow sends every packet to a random instance and expects answers from the same
//! target for its whole lifetime.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::cluster::Fabric;
use super::counts::SharedCounts;

/// Interval between two packets of a flow.
const PACKET_INTERVAL: Duration = Duration::from_millis(40);
/// Timeout for the answer to a packet, and delay before a flow is retried after a socket error.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of consecutive unanswered packets after which a flow counts as broken.
const MAX_UNANSWERED: u32 = 8;
/// Range of a flow's lifetime in seconds, end excluded; long flows span several configuration changes.
const FLOW_LIFETIME_SECONDS: (u64, u64) = (4, 30);

/// Context shared by all flows of one service.
#[derive(Clone)]
pub(super) struct DatagramCaller {
    pub(super) fabric: Arc<Fabric>,
    pub(super) counts: Arc<SharedCounts>,
    pub(super) service: &'static str,
    pub(super) port: u16,
    /// Returns whether the named target's failure domain was taken out of service during the demo.
    pub(super) was_taken_out: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    pub(super) stop: CancellationToken,
}

impl DatagramCaller {
    /// Runs one flow after another until the demo ends.
    pub(super) async fn run(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.stop.is_cancelled() {
            if self.run_flow(&mut rng).await.is_err() {
                // The socket could not be bound, for example because no port is free; retry after a delay.
                sleep(ANSWER_TIMEOUT).await;
            }
        }
    }

    async fn run_flow(&self, rng: &mut SmallRng) -> std::io::Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let lifetime = Duration::from_secs(rng.random_range(FLOW_LIFETIME_SECONDS.0..FLOW_LIFETIME_SECONDS.1));
        let end = Instant::now() + lifetime;
        let mut target: Option<String> = None;
        let mut unanswered = 0;
        let mut number = 0_u64;
        self.counts.lock().flows_opened += 1;
        while Instant::now() < end && !self.stop.is_cancelled() {
            number += 1;
            match self.exchange_packet(&socket, number, rng).await {
                Some(answerer) if target.as_ref().is_none_or(|target| *target == answerer) => {
                    unanswered = 0;
                    target = Some(answerer);
                }
                Some(answerer) => {
                    self.record_early_end(target.as_deref(), &format!("answered by {answerer}"));
                    return Ok(());
                }
                None => unanswered += 1,
            }
            if unanswered >= MAX_UNANSWERED {
                self.record_early_end(target.as_deref(), "silent");
                return Ok(());
            }
            sleep(PACKET_INTERVAL).await;
        }
        Ok(())
    }

    /// Sends one packet to a random instance and returns the name of the target that answered, or `None` on a timeout.
    async fn exchange_packet(&self, socket: &UdpSocket, number: u64, rng: &mut SmallRng) -> Option<String> {
        let text = format!("{} {number}", self.service);
        let to = SocketAddr::new(self.fabric.pick(rng), self.port);
        self.counts.lock().packets_sent += 1;
        socket.send_to(text.as_bytes(), to).await.ok()?;
        let answer = timeout(ANSWER_TIMEOUT, answer_to(socket, &text)).await.ok()?;
        self.counts.lock().packets_answered += 1;
        Some(answer)
    }

    fn record_early_end(&self, target: Option<&str>, reason: &str) {
        let is_expected = target.is_some_and(|target| (self.was_taken_out)(target));
        if is_expected {
            self.counts.lock().flows_abandoned += 1;
        } else {
            self.counts.lock().flows_broken += 1;
            self.counts.remark(format!("a flow to {} broke: {reason}", target.unwrap_or("no target")));
        }
    }
}

/// Waits for the answer to a packet and returns the target's name. Skips late answers to earlier packets.
async fn answer_to(socket: &UdpSocket, text: &str) -> String {
    let mut buf = [0; 2_048];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else { continue };
        let answer = String::from_utf8_lossy(&buf[..len]);
        if let Some(target) = answer.strip_prefix(text).and_then(|rest| rest.strip_prefix(' ')) {
            return target.to_owned();
        }
    }
}
