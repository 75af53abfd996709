//! Stand-in for a model engine: the usual completion API, a fixed number of slots and a token rate.
//!
//! The text of a response depends only on the prompt, so a test can tell to which request it
//! belongs.

use std::sync::atomic;
use std::{convert, net, sync, time};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::sync::mpsc;

use crate::error;

/// Interval at which a frozen engine checks whether it may go on.
const FREEZE_POLL: time::Duration = time::Duration::from_millis(10);

/// Response body of the stand-ins.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Settings of the engine.
#[derive(Clone, Debug, clap::Args)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: net::SocketAddr,
    /// Maximum number of concurrent requests; further ones wait.
    #[arg(long, default_value_t = 8)]
    pub slots: usize,
    /// Time per token in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub token_ms: u64,
    /// Served models.
    #[arg(long, default_value = "default")]
    pub models: Vec<String>,
}

/// Injected faults, read before every token.
#[derive(Debug, Default)]
pub struct Faults {
    /// Number of tokens after which the connection is cut; 0 disables the fault.
    pub cut_after_tokens: atomic::AtomicU64,
    /// True while the engine makes no progress.
    pub is_frozen: atomic::AtomicBool,
    /// Factor by which the time per token is multiplied; 0 counts as 1.
    pub slowdown: atomic::AtomicU64,
}

/// Request counters, for tests.
#[derive(Debug, Default)]
pub struct Counters {
    /// Number of requests started.
    pub started: atomic::AtomicU64,
    /// Number of requests that ran to completion.
    pub finished: atomic::AtomicU64,
    /// Number of requests whose caller disconnected or whose response was cut off.
    pub cancelled: atomic::AtomicU64,
    /// Number of requests in progress.
    pub running: atomic::AtomicU64,
    /// Maximum number of requests in progress at any time so far.
    pub peak_running: atomic::AtomicU64,
}

/// A running engine; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Address it listens on.
    pub address: net::SocketAddr,
    /// Injected faults.
    pub faults: sync::Arc<Faults>,
    /// Request counters.
    pub counters: sync::Arc<Counters>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Engine {
    settings: Settings,
    slots: sync::Arc<tokio::sync::Semaphore>,
    faults: sync::Arc<Faults>,
    counters: sync::Arc<Counters>,
}

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

fn default_tokens() -> u64 {
    16
}

/// Starts an engine.
pub async fn spawn(settings: Settings) -> error::Result<Handle> {
    let listener = tokio::net::TcpListener::bind(settings.address).await?;
    let address = listener.local_addr()?;
    let faults = sync::Arc::new(Faults::default());
    let counters = sync::Arc::new(Counters::default());
    let engine = sync::Arc::new(Engine {
        slots: sync::Arc::new(tokio::sync::Semaphore::new(settings.slots)),
        settings,
        faults: sync::Arc::clone(&faults),
        counters: sync::Arc::clone(&counters),
    });
    let task = tokio::spawn(serve(listener, move |request| {
        let engine = sync::Arc::clone(&engine);
        async move { route(engine, request).await }
    }));
    Ok(Handle {
        address,
        faults,
        counters,
        task,
    })
}

/// Serves HTTP/1.1 on a listener, with one handler for all requests.
pub async fn serve<F, R>(listener: tokio::net::TcpListener, handler: F)
where
    F: Fn(hyper::Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = hyper::Response<Body>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let handler = handler.clone();
        let service = service::service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, convert::Infallible>(response.await) }
        });
        // Streamed tokens are small packets, each of which Nagle's algorithm would delay.
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        tokio::spawn(async move {
            // A broken connection needs no handling here.
            drop(
                http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
        });
    }
}

/// Returns a response with a complete JSON body.
pub fn response(status: u16, body: impl Into<Bytes>) -> hyper::Response<Body> {
    let body = Full::new(body.into())
        .map_err(|never| match never {})
        .boxed();
    let mut response = hyper::Response::new(body);
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

async fn route(
    engine: sync::Arc<Engine>,
    request: hyper::Request<Incoming>,
) -> hyper::Response<Body> {
    match request.uri().path() {
        "/v1/models" => response(200, models(&engine.settings.models)),
        "/v1/completions" | "/v1/chat/completions" => complete(engine, request).await,
        _ => response(404, "{\"error\":\"no such path\"}"),
    }
}

fn models(names: &[String]) -> String {
    let data: Vec<_> = names
        .iter()
        .map(|name| serde_json::json!({ "id": name }))
        .collect();
    serde_json::json!({ "object": "list", "data": data }).to_string()
}

async fn complete(
    engine: sync::Arc<Engine>,
    request: hyper::Request<Incoming>,
) -> hyper::Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return response(400, "{\"error\":\"body\"}");
    };
    let Ok(completion) = serde_json::from_slice::<Completion>(&body.to_bytes()) else {
        return response(400, "{\"error\":\"json\"}");
    };
    let (tx, rx) = mpsc::channel(16);
    let is_streamed = completion.stream;
    tokio::spawn(generate(engine, completion, tx));
    let stream = tokio_stream::wrappers::ReceiverStream::new(rx);
    let mut response = hyper::Response::new(BodyExt::boxed(StreamBody::new(stream)));
    let content_type = if is_streamed {
        "text/event-stream"
    } else {
        "application/json"
    };
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static(content_type),
    );
    response
}

type Sender = mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>;

async fn generate(engine: sync::Arc<Engine>, completion: Completion, tx: Sender) {
    let Ok(_slot) = engine.slots.acquire().await else {
        return;
    };
    let counters = &engine.counters;
    counters.started.fetch_add(1, atomic::Ordering::Relaxed);
    let running = counters.running.fetch_add(1, atomic::Ordering::Relaxed) + 1;
    counters
        .peak_running
        .fetch_max(running, atomic::Ordering::Relaxed);
    let is_finished = generate_tokens(&engine, &completion, &tx).await;
    counters.running.fetch_sub(1, atomic::Ordering::Relaxed);
    let counter = if is_finished {
        &counters.finished
    } else {
        &counters.cancelled
    };
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

/// Generates all tokens; returns false if the caller disconnected or a fault cut the response off.
async fn generate_tokens(engine: &Engine, completion: &Completion, tx: &Sender) -> bool {
    let prompt = prompt_text(completion);
    let mut text = String::new();
    for index in 0..completion.max_tokens {
        let delay = token_time(engine);
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = tx.closed() => return false,
        }
        while engine.faults.is_frozen.load(atomic::Ordering::Relaxed) {
            tokio::time::sleep(FREEZE_POLL).await;
        }
        let cut = engine
            .faults
            .cut_after_tokens
            .load(atomic::Ordering::Relaxed);
        if cut > 0 && index >= cut {
            let broken = std::io::Error::other("connection cut by an injected fault");
            drop(tx.send(Err(broken)).await);
            return false;
        }
        let token = token(&prompt, index);
        if completion.stream {
            let event = sse_event(&completion.model, &token, None);
            if tx.send(Ok(Frame::data(event))).await.is_err() {
                return false;
            }
        }
        text.push_str(&token);
    }
    send_end(completion, &prompt, text, tx).await
}

async fn send_end(completion: &Completion, prompt: &str, text: String, tx: &Sender) -> bool {
    let usage = serde_json::json!({
        "prompt_tokens": prompt.len() / 4,
        "completion_tokens": completion.max_tokens,
    });
    if !completion.stream {
        let body = serde_json::json!({
            "model": completion.model,
            "choices": [{ "index": 0, "text": text, "message": { "role": "assistant", "content": text } }],
            "usage": usage,
        });
        return tx
            .send(Ok(Frame::data(Bytes::from(body.to_string()))))
            .await
            .is_ok();
    }
    let last = sse_event(&completion.model, "", Some(usage));
    tx.send(Ok(Frame::data(last))).await.is_ok()
        && tx
            .send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
            .await
            .is_ok()
}

fn prompt_text(completion: &Completion) -> String {
    if completion.messages.is_empty() {
        return completion.prompt.clone();
    }
    completion
        .messages
        .iter()
        .map(|message| message.content.as_str())
        .collect::<Vec<_>>()
        .join("\n")
}

/// Returns the token at an index: a word with the hash of the prompt and the index.
pub fn token(prompt: &str, index: u64) -> String {
    format!(
        "{:08x}.{index} ",
        xxhash_rust::xxh3::xxh3_64(prompt.as_bytes()) as u32
    )
}

fn sse_event(model: &str, token: &str, usage: Option<serde_json::Value>) -> Bytes {
    let mut event = serde_json::json!({
        "model": model,
        "choices": [{ "index": 0, "text": token, "delta": { "content": token } }],
    });
    if let Some(usage) = usage {
        event["usage"] = usage;
    }
    Bytes::from(format!("data: {event}\n\n"))
}

fn token_time(engine: &Engine) -> time::Duration {
    let slowdown = engine
        .faults
        .slowdown
        .load(atomic::Ordering::Relaxed)
        .max(1);
    time::Duration::from_millis(engine.settings.token_ms.saturating_mul(slowdown))
}
