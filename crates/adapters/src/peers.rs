//! Messages and forwarded requests between instances, over JSON-RPC.
//!
//! A message is a call of the method `exchange`; the messages that the receiver returns to the sender are its result.
//! A forwarded request is a call of the method `pass`, which returns when the request has ended.

use std::collections::HashMap;
use std::error::Error as StdError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::engine::Engine;
use crate::engine::lock;
use crate::payload::Answer;
use crate::payload::MAX_BODY_BYTES;
use crate::payload::Request;
use hawthornshift_core::Input;
use hawthornshift_core::event::Reply;
use hawthornshift_core::event::RequestId;
use hawthornshift_core::message::Envelope;
use hawthornshift_core::message::ForwardedRequestHeader;
use hawthornshift_core::message::MemberUpdate;
use hawthornshift_core::message::Reason;
use hawthornshift_core::message::Refusal;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Verdict;

/// Timeout of a message; it is shorter than the time that a missing heartbeat takes to be detected.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a forwarded request; the deadline of the request itself normally ends the call much earlier.
const FORWARD_TIMEOUT: Duration = Duration::from_hours(24);
/// Time between two attempts to reach the configured peers.
const DISCOVERY_RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Maximum size of a call and of its result, in bytes: a body in base64 with its headers.
const MAX_CALL_BYTES: u32 = 4 << 20;
/// Maximum number of concurrent connections from peers.
const MAX_CONNECTIONS: u32 = 4_096;

/// Parameters of `pass`: a request forwarded to another instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardRequestCall {
    from: InstanceId,
    to: InstanceId,
    head: ForwardedRequestHeader,
    request: Request,
}

/// Result of `pass`: the outcome of a forwarded request and the receiver's free slots, if it reports them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ForwardRequestResult {
    outcome: ForwardRequestOutcome,
    free: Option<u32>,
}

/// Outcome of a forwarded request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ForwardRequestOutcome {
    /// The target's answer.
    Answered(Answer),
    /// The verdict and the reason why there is no answer.
    Refused(Refusal),
}

/// The RPC methods that instances call on each other.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Returns the receiver's own membership entry.
    #[method(name = "introduce")]
    async fn introduce(&self) -> RpcResult<MemberUpdate>;

    /// Delivers a message; returns the messages that the receiver sends back immediately.
    #[method(name = "exchange")]
    async fn exchange(&self, envelope: Envelope) -> RpcResult<Vec<Envelope>>;

    /// Forwards a request; returns when it has ended.
    #[method(name = "pass")]
    async fn forward_request(&self, call: ForwardRequestCall) -> RpcResult<ForwardRequestResult>;
}

struct PeerService {
    engine: Arc<Engine>,
}

#[async_trait]
impl PeerServer for PeerService {
    async fn introduce(&self) -> RpcResult<MemberUpdate> {
        Ok(self.engine.with_node(|node| node.me().clone()))
    }

    async fn exchange(&self, envelope: Envelope) -> RpcResult<Vec<Envelope>> {
        let sender = envelope.sender.id;
        Ok(self.engine.handle_peer_message(Input::PeerMessage(Box::new(envelope)), Some(sender)))
    }

    async fn forward_request(&self, call: ForwardRequestCall) -> RpcResult<ForwardRequestResult> {
        let refused = |verdict, reason| ForwardRequestResult {
            outcome: ForwardRequestOutcome::Refused(Refusal { verdict, reason }),
            free: None,
        };
        if call.to != self.engine.config.id {
            // This address now belongs to another instance, which has run no part of the request.
            return Ok(refused(Verdict::NotRun, Reason::ConnectionBroken));
        }
        let ForwardRequestCall { from, head, request, .. } = call;
        let (_, outcome) =
            self.engine.submit_request(request, |request| Input::ForwardedRequestArrived { request, from, head });
        let Ok(outcome) = outcome.await else {
            return Ok(refused(Verdict::MayHaveRun, Reason::Stopping));
        };
        Ok(match (outcome.reply, outcome.answer) {
            (Reply::Answer { free, .. }, Some(answer)) => {
                ForwardRequestResult { outcome: ForwardRequestOutcome::Answered(answer.as_ref().clone()), free }
            }
            (Reply::Answer { .. }, None) => refused(Verdict::MayHaveRun, Reason::AnswerGone),
            (Reply::Refuse { refusal, free, .. }, _) => {
                ForwardRequestResult { outcome: ForwardRequestOutcome::Refused(refusal), free }
            }
        })
    }
}

/// Starts the RPC server for peers on a listener.
pub(crate) fn serve(engine: Arc<Engine>, listener: TcpListener) -> std::io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_CALL_BYTES)
        .max_response_body_size(MAX_CALL_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder().set_config(config).build_from_tcp(listener.into_std()?)?;
    Ok(server.start(PeerService { engine }.into_rpc()))
}

/// RPC clients of other instances, created on the first call to each address and timeout.
#[derive(Debug, Default)]
pub struct PeerClients {
    clients: Mutex<HashMap<(SocketAddr, Duration), HttpClient>>,
}

impl PeerClients {
    fn get(&self, address: SocketAddr, timeout: Duration) -> Result<HttpClient, ClientError> {
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(&(address, timeout)) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::new()
            .max_request_size(MAX_CALL_BYTES)
            .max_response_size(MAX_CALL_BYTES)
            .request_timeout(timeout)
            .connect_timeout(crate::engine::CONNECT_TIMEOUT)
            .set_tcp_no_delay(true)
            .build(format!("http://{address}"))?;
        clients.insert((address, timeout), client.clone());
        Ok(client)
    }
}

impl Engine {
    /// Sends a message and passes the returned messages to the core, or reports the receiver as unreachable.
    pub(crate) async fn exchange(self: Arc<Self>, address: SocketAddr, envelope: Envelope) {
        let to = envelope.to;
        let replies = match self.peers.get(address, EXCHANGE_TIMEOUT) {
            Ok(client) => PeerClient::exchange(&client, envelope).await,
            Err(error) => Err(error),
        };
        match replies {
            Ok(replies) => {
                for answer in replies {
                    self.handle_input(Input::PeerMessage(Box::new(answer)));
                }
            }
            Err(_) => self.handle_input(Input::PeerUnreachable { to }),
        }
    }

    /// Requests the membership entry of each configured peer until all have responded.
    ///
    /// This lets an instance discover the others while the platform is unreachable.
    pub(crate) async fn discover_peers(self: Arc<Self>) {
        let mut unknown = self.config.peers.clone();
        unknown.retain(|address| *address != self.config.control);
        while !unknown.is_empty() {
            let mut unanswered = Vec::new();
            for address in unknown {
                match self.fetch_identity(address).await {
                    Ok(update) => self.handle_input(Input::PeerIntroduced(Box::new(update))),
                    Err(_) => unanswered.push(address),
                }
            }
            unknown = unanswered;
            tokio::time::sleep(DISCOVERY_RETRY_PERIOD).await;
        }
    }

    async fn fetch_identity(&self, address: SocketAddr) -> Result<MemberUpdate, ClientError> {
        let client = self.peers.get(address, EXCHANGE_TIMEOUT)?;
        PeerClient::introduce(&client).await
    }

    /// Forwards a request to another instance and passes the outcome to the core.
    pub(crate) async fn forward(
        self: Arc<Self>,
        request: RequestId,
        to: InstanceId,
        address: SocketAddr,
        head: ForwardedRequestHeader,
        http_request: Arc<Request>,
    ) {
        let call = ForwardRequestCall { from: self.config.id, to, head, request: http_request.as_ref().clone() };
        let result = match self.peers.get(address, FORWARD_TIMEOUT) {
            Ok(client) => PeerClient::forward_request(&client, call).await,
            Err(error) => Err(error),
        };
        let input = match result {
            Ok(ForwardRequestResult { outcome, free }) => {
                let result = match outcome {
                    ForwardRequestOutcome::Answered(answer) => Ok(self.store_answer(answer)),
                    ForwardRequestOutcome::Refused(refusal) => Err(refusal),
                };
                Input::ForwardedRequestEnded { request, result, free }
            }
            Err(error) => Input::ForwardedRequestFailed { request, verdict: verdict_of_call_error(&error) },
        };
        self.handle_input(input);
    }
}

/// Returns [`Verdict::NotRun`] if a failed call never connected, and [`Verdict::MayHaveRun`] if the receiver may have
/// received it.
fn verdict_of_call_error(error: &ClientError) -> Verdict {
    let mut source: Option<&(dyn StdError + 'static)> = match error {
        ClientError::Transport(error) => Some(error.as_ref()),
        _ => None,
    };
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<hyper_util::client::legacy::Error>() {
            return if error.is_connect() { Verdict::NotRun } else { Verdict::MayHaveRun };
        }
        source = error.source();
    }
    Verdict::MayHaveRun
}

/// Checks that a body of the maximum size fits one call in base64, with 1 MiB left for headers.
const _: () = assert!(MAX_BODY_BYTES / 3 * 4 + (1 << 20) < MAX_CALL_BYTES as usize);
