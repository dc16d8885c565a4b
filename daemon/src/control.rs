//! The control socket: a Unix socket that takes one request per line and answers each with one line of JSON.

use std::path::Path;

use anyhow::{Context, Result};
use border::decided::{AvailabilityStatus, CommandOutcome, CouncilStatus, OperatorCommand};
use border::distributed::{ChangeStatus, DistributionStatus};
use border::status::{GossipStatus, LimitsStatus, Status};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};

const COMMANDS: &str = "status, members, suspicions, gossip, limits, council, outs, distribution, changes, a JSON command, rekey or stop";
/// The error of requests that need gossip, at a proxy without it.
pub const NO_GOSSIP: &str = "this proxy has no [gossip]";
const NO_FLEET: &str = "this proxy has no [fleet]";
const NO_COUNCIL: &str = "this proxy has no [council]";
const NO_DISTRIBUTION: &str = "this proxy has no [distribution]";
const NO_CHANGES: &str = "this proxy is not a control machine; ask one of those";

/// An operator's request, with the channel for its response.
#[derive(Debug)]
pub enum Request {
    /// Servers, conversations and counters.
    Status(oneshot::Sender<Box<Status>>),
    /// Members, suspicions and counters; none without gossip.
    Gossip(oneshot::Sender<Option<GossipStatus>>),
    /// None without fleet limits.
    Limits(oneshot::Sender<Option<LimitsStatus>>),
    /// None without a council.
    Council(oneshot::Sender<Option<CouncilStatus>>),
    /// Drains, unavailable proxies and the release; none without a council.
    Availability(oneshot::Sender<Option<AvailabilityStatus>>),
    /// None without distribution by scope.
    Distribution(oneshot::Sender<Option<DistributionStatus>>),
    /// None if this proxy serves no subscribers.
    Changes(oneshot::Sender<Option<Vec<ChangeStatus>>>),
    /// Submit a command to the council, or predict its outcome.
    Command(CommandRequest, oneshot::Sender<Result<CommandOutcome, String>>),
    /// Read the key files again; an error says what is wrong with them.
    Rekey(oneshot::Sender<Result<(), String>>),
    /// Stop the proxy.
    Stop,
}

/// An operator's command, as a line of JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandRequest {
    /// The command itself.
    #[serde(rename = "wish")]
    pub command: OperatorCommand,
    /// Only predict the outcome, by what this proxy knows.
    #[serde(rename = "dry", default)]
    pub dry_run: bool,
}

/// Accepts operators' connections until the listener fails.
pub async fn serve(listener: UnixListener, requests: mpsc::Sender<Request>) {
    while let Ok((stream, _)) = listener.accept().await {
        let requests = requests.clone();
        tokio::spawn(async move {
            if let Err(error) = answer_requests(stream, requests).await {
                tracing::debug!("control.broke: {error:#}");
            }
        });
    }
}

async fn answer_requests(stream: UnixStream, requests: mpsc::Sender<Request>) -> Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader.take(4096));
    let mut line = String::new();
    while reader.read_line(&mut line).await? > 0 {
        let mut response = match line.trim() {
            "status" => {
                let (reply, reply_receiver) = oneshot::channel();
                requests.send(Request::Status(reply)).await?;
                serde_json::to_string(&reply_receiver.await?)?
            }
            word @ ("members" | "suspicions" | "gossip") => {
                let (reply, reply_receiver) = oneshot::channel();
                requests.send(Request::Gossip(reply)).await?;
                match (reply_receiver.await?, word) {
                    (None, _) => serde_json::json!({ "error": NO_GOSSIP }).to_string(),
                    (Some(gossip), "members") => serde_json::to_string(&gossip.members)?,
                    (Some(gossip), "suspicions") => serde_json::to_string(&gossip.suspicions)?,
                    (Some(gossip), _) => serde_json::to_string(&gossip)?,
                }
            }
            "limits" => {
                let (reply, reply_receiver) = oneshot::channel();
                requests.send(Request::Limits(reply)).await?;
                status_json(reply_receiver.await?, NO_FLEET)?
            }
            "council" => {
                let (reply, reply_receiver) = oneshot::channel();
                requests.send(Request::Council(reply)).await?;
                status_json(reply_receiver.await?, NO_COUNCIL)?
            }
            "outs" => {
                let (reply, reply_receiver) = oneshot::channel();
                requests.send(Request::Availability(reply)).await?;
                status_json(reply_receiver.await?, NO_COUNCIL)?
            }
            "distribution" => {
                let (reply, reply_receiver) = oneshot::channel();
                requests.send(Request::Distribution(reply)).await?;
                status_json(reply_receiver.await?, NO_DISTRIBUTION)?
            }
            "changes" => {
                let (reply, reply_receiver) = oneshot::channel();
                requests.send(Request::Changes(reply)).await?;
                status_json(reply_receiver.await?, NO_CHANGES)?
            }
            request if request.starts_with('{') => match serde_json::from_str(request) {
                Err(error) => serde_json::json!({ "error": format!("command: {error}") }).to_string(),
                Ok(command) => {
                    let (reply, reply_receiver) = oneshot::channel();
                    requests.send(Request::Command(command, reply)).await?;
                    match reply_receiver.await? {
                        Ok(response) => serde_json::to_string(&response)?,
                        Err(error) => serde_json::json!({ "error": error }).to_string(),
                    }
                }
            },
            "rekey" => {
                let (reply, reply_receiver) = oneshot::channel();
                requests.send(Request::Rekey(reply)).await?;
                match reply_receiver.await? {
                    Ok(()) => "{\"rekeyed\":true}".to_owned(),
                    Err(error) => serde_json::json!({ "error": error }).to_string(),
                }
            }
            "stop" => {
                requests.send(Request::Stop).await?;
                "{\"stopping\":true}".to_owned()
            }
            other => serde_json::json!({ "error": format!("unknown command {other:?}, wanted {COMMANDS}") })
                .to_string(),
        };
        response.push('\n');
        writer.write_all(response.as_bytes()).await?;
        line.clear();
    }
    Ok(())
}

/// Formats a status as JSON, or the error `absent` if there is none.
fn status_json(status: Option<impl Serialize>, absent: &str) -> Result<String> {
    Ok(match status {
        None => serde_json::json!({ "error": absent }).to_string(),
        Some(status) => serde_json::to_string(&status)?,
    })
}

/// Sends one request line to a running proxy and parses its response.
pub async fn request<T: DeserializeOwned>(socket: &Path, word: &str) -> Result<T> {
    #[derive(serde::Deserialize)]
    struct Refusal {
        error: String,
    }
    let mut stream = UnixStream::connect(socket).await.with_context(|| format!("{}", socket.display()))?;
    stream.write_all(format!("{word}\n").as_bytes()).await?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).await?;
    if let Ok(Refusal { error }) = serde_json::from_str(&line) {
        anyhow::bail!("{error}");
    }
    Ok(serde_json::from_str(&line)?)
}
