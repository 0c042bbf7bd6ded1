//! Callers of a stream service. Each opens a stream to a random instance and expects it to stay open.

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

use super::datagram_callers::DatagramCaller;

/// Interval between two lines of a stream.
const LINE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for the answer to a line.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Range of a stream's lifetime in milliseconds, end excluded.
const STREAM_LIFETIME_MS: (u64, u64) = (1_000, 6_000);

/// Context shared by all streams of one service; the same as for datagram flows.
pub(super) struct StreamCaller(pub(super) DatagramCaller);

impl StreamCaller {
    /// Runs one stream after another until the demo ends.
    pub(super) async fn run(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.0.stop.is_cancelled() {
            self.run_stream(&mut rng).await;
        }
    }

    async fn run_stream(&self, rng: &mut SmallRng) {
        let to = SocketAddr::new(self.0.fabric.pick(rng), self.0.port);
        let Ok(mut stream) = TcpStream::connect(to).await else {
            // The instance has just stopped; no stream was established.
            return sleep(LINE_INTERVAL).await;
        };
        let (reader, mut writer) = stream.split();
        let mut lines = BufReader::new(reader).lines();
        let end = Instant::now() + Duration::from_millis(rng.random_range(STREAM_LIFETIME_MS.0..STREAM_LIFETIME_MS.1));
        let mut target: Option<String> = None;
        let mut number = 0_u64;
        while Instant::now() < end && !self.0.stop.is_cancelled() {
            number += 1;
            let text = format!("{} {number}", self.0.service);
            let sent = writer.write_all(format!("{text}\n").as_bytes()).await;
            let answer = timeout(ANSWER_TIMEOUT, lines.next_line()).await;
            let Some(answerer) = sent.ok().and(parse_answer(answer.ok(), &text)) else {
                return self.record_early_end(target.as_deref(), number);
            };
            if target.is_none() {
                self.0.counts.lock().flows_opened += 1;
            }
            target = Some(answerer);
            sleep(LINE_INTERVAL).await;
        }
    }

    /// Counts a stream that ended early. One that ends before its first answer was refused, not broken.
    fn record_early_end(&self, target: Option<&str>, number: u64) {
        let Some(target) = target else { return };
        if (self.0.was_taken_out)(target) {
            self.0.counts.lock().flows_abandoned += 1;
        } else {
            self.0.counts.lock().flows_broken += 1;
            self.0.counts.remark(format!("a stream to {target} broke at line {number}"));
        }
    }
}

fn parse_answer(answer: Option<std::io::Result<Option<String>>>, text: &str) -> Option<String> {
    let line = answer?.ok()??;
    line.strip_prefix(text)?.strip_prefix(' ').map(str::to_owned)
}
