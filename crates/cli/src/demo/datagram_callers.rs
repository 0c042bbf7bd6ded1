//! Callers of a datagram service: each flow sends every packet through a random instance and expects the same target
//! to answer for as long as the flow lasts.

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

use super::tally::Tally;
use super::world::Fabric;

/// Time between two packets of a flow.
const PACE: Duration = Duration::from_millis(40);
/// Time for which an answer is waited for.
const PATIENCE: Duration = Duration::from_millis(400);
/// Packets without an answer in a row after which a flow counts as broken.
const MAX_SILENT: u32 = 8;
/// Shortest and longest life of a flow in seconds; long ones see several changes.
const LIFE_SECONDS: (u64, u64) = (4, 30);

/// What the flows of one service need to know.
#[derive(Clone)]
pub(super) struct DatagramCalls {
    pub(super) fabric: Arc<Fabric>,
    pub(super) tally: Arc<Tally>,
    pub(super) service: &'static str,
    pub(super) port: u16,
    /// Tells from a target's name whether its failure domain was taken out during the demo.
    pub(super) was_out: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    pub(super) stop: CancellationToken,
}

impl DatagramCalls {
    /// Keeps one flow open at a time until the demo ends.
    pub(super) async fn run(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.stop.is_cancelled() {
            if self.flow(&mut rng).await.is_err() {
                // No free port on this machine; the next try may find one.
                sleep(PATIENCE).await;
            }
        }
    }

    async fn flow(&self, rng: &mut SmallRng) -> std::io::Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let life = Duration::from_secs(rng.random_range(LIFE_SECONDS.0..LIFE_SECONDS.1));
        let end = Instant::now() + life;
        let mut target: Option<String> = None;
        let mut silent = 0;
        let mut number = 0_u64;
        self.tally.lock().flows_opened += 1;
        while Instant::now() < end && !self.stop.is_cancelled() {
            number += 1;
            match self.packet(&socket, number, rng).await {
                Some(answerer) if target.as_ref().is_none_or(|target| *target == answerer) => {
                    silent = 0;
                    target = Some(answerer);
                }
                Some(answerer) => {
                    self.ended_early(target.as_deref(), &format!("answered by {answerer}"));
                    return Ok(());
                }
                None => silent += 1,
            }
            if silent >= MAX_SILENT {
                self.ended_early(target.as_deref(), "silent");
                return Ok(());
            }
            sleep(PACE).await;
        }
        Ok(())
    }

    /// Sends one packet through a random instance; returns the name of the target that answered it.
    async fn packet(&self, socket: &UdpSocket, number: u64, rng: &mut SmallRng) -> Option<String> {
        let text = format!("{} {number}", self.service);
        let to = SocketAddr::new(self.fabric.pick(rng), self.port);
        self.tally.lock().packets_sent += 1;
        socket.send_to(text.as_bytes(), to).await.ok()?;
        let answer = timeout(PATIENCE, answer_to(socket, &text)).await.ok()?;
        self.tally.lock().packets_answered += 1;
        Some(answer)
    }

    fn ended_early(&self, target: Option<&str>, how: &str) {
        let given_up = target.is_some_and(|target| (self.was_out)(target));
        if given_up {
            self.tally.lock().flows_given_up += 1;
        } else {
            self.tally.lock().flows_broken += 1;
            self.tally.remark(format!("a flow to {} broke: {how}", target.unwrap_or("no target")));
        }
    }
}

/// Waits for the answer to a packet, passing over late ones to earlier packets.
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
