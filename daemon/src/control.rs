//! The control socket: a Unix socket that takes a word a line and answers with JSON a line.

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

const WORDS: &str = "status, members, suspicions, gossip, limits, council, outs, distribution, changes, a wish, rekey or stop";
/// What a proxy without gossip says of it.
pub const NO_GOSSIP: &str = "this proxy has no [gossip]";
const NO_FLEET: &str = "this proxy has no [fleet]";
const NO_COUNCIL: &str = "this proxy has no [council]";
const NO_DISTRIBUTION: &str = "this proxy has no [distribution]";
const NO_CHANGES: &str = "this proxy is no control machine: one of those knows who has what";

/// What an operator asks for, with where the answer goes.
#[derive(Debug)]
pub enum Ask {
    Status(oneshot::Sender<Box<Status>>),
    /// None where there is no gossip.
    Gossip(oneshot::Sender<Option<GossipStatus>>),
    /// None where there are no limits of the fleet.
    Limits(oneshot::Sender<Option<LimitsStatus>>),
    /// None where nothing is decided for all.
    Council(oneshot::Sender<Option<CouncilStatus>>),
    Outs(oneshot::Sender<Option<AvailabilityStatus>>),
    /// None where nothing is distributed by scope.
    Distribution(oneshot::Sender<Option<DistributionStatus>>),
    /// None where this proxy serves no subscribers.
    Changes(oneshot::Sender<Option<Vec<ChangeStatus>>>),
    /// Have something decided, or see what it would come to.
    Wish(CommandRequest, oneshot::Sender<Result<CommandOutcome, String>>),
    /// Read the key files again; what is wrong with them, if anything.
    Rekey(oneshot::Sender<Result<(), String>>),
    Stop,
}

/// What an operator wants decided.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandRequest {
    #[serde(rename = "wish")]
    pub command: OperatorCommand,
    /// Only what it would come to by what this proxy knows.
    #[serde(rename = "dry", default)]
    pub dry_run: bool,
}

/// Takes operators' connections until the proxy is gone.
pub async fn serve(listener: UnixListener, asks: mpsc::Sender<Ask>) {
    while let Ok((stream, _)) = listener.accept().await {
        let asks = asks.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(stream, asks).await {
                tracing::debug!("control.broke: {error:#}");
            }
        });
    }
}

async fn answer(stream: UnixStream, asks: mpsc::Sender<Ask>) -> Result<()> {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from.take(4096));
    let mut line = String::new();
    while from.read_line(&mut line).await? > 0 {
        let mut answer = match line.trim() {
            "status" => {
                let (give, take) = oneshot::channel();
                asks.send(Ask::Status(give)).await?;
                serde_json::to_string(&take.await?)?
            }
            word @ ("members" | "suspicions" | "gossip") => {
                let (give, take) = oneshot::channel();
                asks.send(Ask::Gossip(give)).await?;
                match (take.await?, word) {
                    (None, _) => serde_json::json!({ "error": NO_GOSSIP }).to_string(),
                    (Some(gossip), "members") => serde_json::to_string(&gossip.members)?,
                    (Some(gossip), "suspicions") => serde_json::to_string(&gossip.suspicions)?,
                    (Some(gossip), _) => serde_json::to_string(&gossip)?,
                }
            }
            "limits" => {
                let (give, take) = oneshot::channel();
                asks.send(Ask::Limits(give)).await?;
                told(take.await?, NO_FLEET)?
            }
            "council" => {
                let (give, take) = oneshot::channel();
                asks.send(Ask::Council(give)).await?;
                told(take.await?, NO_COUNCIL)?
            }
            "outs" => {
                let (give, take) = oneshot::channel();
                asks.send(Ask::Outs(give)).await?;
                told(take.await?, NO_COUNCIL)?
            }
            "distribution" => {
                let (give, take) = oneshot::channel();
                asks.send(Ask::Distribution(give)).await?;
                told(take.await?, NO_DISTRIBUTION)?
            }
            "changes" => {
                let (give, take) = oneshot::channel();
                asks.send(Ask::Changes(give)).await?;
                told(take.await?, NO_CHANGES)?
            }
            wish if wish.starts_with('{') => match serde_json::from_str(wish) {
                Err(error) => serde_json::json!({ "error": format!("wish: {error}") }).to_string(),
                Ok(wished) => {
                    let (give, take) = oneshot::channel();
                    asks.send(Ask::Wish(wished, give)).await?;
                    match take.await? {
                        Ok(answer) => serde_json::to_string(&answer)?,
                        Err(error) => serde_json::json!({ "error": error }).to_string(),
                    }
                }
            },
            "rekey" => {
                let (give, take) = oneshot::channel();
                asks.send(Ask::Rekey(give)).await?;
                match take.await? {
                    Ok(()) => "{\"rekeyed\":true}".to_owned(),
                    Err(error) => serde_json::json!({ "error": error }).to_string(),
                }
            }
            "stop" => {
                asks.send(Ask::Stop).await?;
                "{\"stopping\":true}".to_owned()
            }
            other => serde_json::json!({ "error": format!("no use for {other:?}; {WORDS}") }).to_string(),
        };
        answer.push('\n');
        to.write_all(answer.as_bytes()).await?;
        line.clear();
    }
    Ok(())
}

fn told(what: Option<impl Serialize>, none: &str) -> Result<String> {
    Ok(match what {
        None => serde_json::json!({ "error": none }).to_string(),
        Some(what) => serde_json::to_string(&what)?,
    })
}

/// Asks a running proxy something, by its word.
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
