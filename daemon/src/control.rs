//! The control socket: a Unix socket that takes a word a line and answers with JSON a line.

use std::path::Path;

use anyhow::{Context, Result};
use border::status::Status;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};

/// What an operator asks for, with where the answer goes.
#[derive(Debug)]
pub enum Ask {
    Status(oneshot::Sender<Box<Status>>),
    Stop,
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
            "stop" => {
                asks.send(Ask::Stop).await?;
                "{\"stopping\":true}".to_owned()
            }
            other => {
                serde_json::json!({ "error": format!("no use for {other:?}; status or stop") }).to_string()
            }
        };
        answer.push('\n');
        to.write_all(answer.as_bytes()).await?;
        line.clear();
    }
    Ok(())
}

/// Asks a running proxy for its status.
pub async fn status(socket: &Path) -> Result<Status> {
    let mut stream = UnixStream::connect(socket).await.with_context(|| format!("{}", socket.display()))?;
    stream.write_all(b"status\n").await?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).await?;
    Ok(serde_json::from_str(&line)?)
}
