//! Callers of a stream service: each opens a stream at a random instance and expects it to last.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::datagram_callers::DatagramCalls;

/// Time between two lines of a stream.
const PACE: Duration = Duration::from_millis(100);
/// Time for which an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(2);
/// Shortest and longest life of a stream in milliseconds.
const LIFE_MILLIS: (u64, u64) = (1_000, 6_000);

/// What the streams of one service need to know; the same as for flows.
pub(super) struct StreamCalls(pub(super) DatagramCalls);

impl StreamCalls {
    /// Keeps one stream open at a time until the demo ends.
    pub(super) async fn run(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.0.stop.is_cancelled() {
            self.stream(&mut rng).await;
        }
    }

    async fn stream(&self, rng: &mut SmallRng) {
        let to = SocketAddr::new(self.0.fabric.pick(rng), self.0.port);
        let Ok(mut stream) = TcpStream::connect(to).await else {
            // The instance has just gone; nothing was established.
            return sleep(PACE).await;
        };
        let (reader, mut writer) = stream.split();
        let mut lines = BufReader::new(reader).lines();
        let end = Instant::now() + Duration::from_millis(rng.random_range(LIFE_MILLIS.0..LIFE_MILLIS.1));
        let mut target: Option<String> = None;
        let mut number = 0_u64;
        while Instant::now() < end && !self.0.stop.is_cancelled() {
            number += 1;
            let text = format!("{} {number}", self.0.service);
            let sent = writer.write_all(format!("{text}\n").as_bytes()).await;
            let answer = timeout(PATIENCE, lines.next_line()).await;
            let Some(answerer) = sent.ok().and(answerer(answer.ok(), &text)) else {
                return self.ended_early(target.as_deref(), number);
            };
            if target.is_none() {
                self.0.tally.lock().flows_opened += 1;
            }
            target = Some(answerer);
            sleep(PACE).await;
        }
    }

    /// A stream that ends before its first answer was refused, not broken.
    fn ended_early(&self, target: Option<&str>, number: u64) {
        let Some(target) = target else { return };
        if (self.0.was_out)(target) {
            self.0.tally.lock().flows_given_up += 1;
        } else {
            self.0.tally.lock().flows_broken += 1;
            self.0.tally.remark(format!("a stream to {target} broke at line {number}"));
        }
    }
}

fn answerer(answer: Option<std::io::Result<Option<String>>>, text: &str) -> Option<String> {
    let line = answer?.ok()??;
    line.strip_prefix(text)?.strip_prefix(' ').map(str::to_owned)
}
