//! Compares requests through the fleet with direct requests to the same stand-in engine.
//!
//! usage: cargo build --release --bins && cargo run --release --example load -- CASE
//!
//! CASE is one of
//!   latency     added latency of short completions at 100 requests/s, each sent directly and
//!               through one entry and one sidecar in turn
//!   streams     600 concurrent streams at 65 ms a token, first directly, then through one entry
//!   idle        processor time and memory of entries and sidecars without a request
//!   throughput  short completions/s over 64 connections, first directly, then through one entry
//!
//! Log, instance list, engine, sidecar and entry are processes of their own on loopback, from the
//! binaries of the same build. The last line of the output is `key=value` pairs.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::{env, net, sync, thread, time};

use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;

use crate::process::{KEY, Process, common_args, publish};

mod idle;
mod process;

type Sender = http1::SendRequest<Full<bytes::Bytes>>;
type Error = Box<dyn std::error::Error + Send + Sync>;

/// Requests per second in case `latency`.
const LATENCY_RATE_PER_S: u64 = 100;

/// Number of requests in case `latency`.
const LATENCY_REQUESTS: usize = 2000;

/// Number of tasks that send the requests of case `latency`.
const LATENCY_TASKS: u32 = 8;

/// Number of concurrent streams in case `streams`.
const STREAM_COUNT: usize = 600;

/// Number of tokens of each stream.
const STREAM_TOKENS: u64 = 150;

/// Time per token of a stream in milliseconds.
const STREAM_TOKEN_MS: u64 = 65;

/// Gap between two tokens above which the second one is late: 1.5 times the time per token.
const LATE_GAP: time::Duration = time::Duration::from_millis(STREAM_TOKEN_MS + 32);

/// Number of connections in case `throughput`.
const THROUGHPUT_CONNECTIONS: usize = 64;

/// Time for which each path is measured in case `throughput`.
const THROUGHPUT_TIME: time::Duration = time::Duration::from_secs(8);

/// The processes of a run.
struct Fleet {
    engine: net::SocketAddr,
    callers: net::SocketAddr,
    entry: Process,
    sidecar: Process,
    _others: Vec<Process>,
}

fn start_fleet(slots: usize, token_ms: u64) -> Result<Fleet, Error> {
    let to_strings = |words: &[&str]| {
        words
            .iter()
            .map(|word| (*word).to_owned())
            .collect::<Vec<_>>()
    };
    let log = Process::start("chivebend-standin", &to_strings(&["log"]))?;
    let list = Process::start("chivebend-standin", &to_strings(&["instances"]))?;
    let (slots, token_ms) = (slots.to_string(), token_ms.to_string());
    let args = to_strings(&["engine", "--slots", &slots, "--token-ms", &token_ms]);
    let engine = Process::start("chivebend-standin", &args)?;
    publish(log.addr("listening=")?, &slots)?;
    let backend = engine.addr("listening=")?;
    let mut args = common_args("m1", &log, &list)?;
    args.extend(to_strings(&[
        "--service",
        "llm",
        "--backend-address",
        &backend.to_string(),
    ]));
    let sidecar = Process::start("chivebend-sidecar", &args)?;
    let entry = Process::start("chivebend-entry", &common_args("e1", &log, &list)?)?;
    let fleet = Fleet {
        engine: backend,
        callers: entry.addr("callers=")?,
        entry,
        sidecar,
        _others: vec![log, list, engine],
    };
    Ok(fleet)
}

async fn connect(to: net::SocketAddr) -> Result<Sender, Error> {
    let stream = tokio::net::TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

fn request(
    prompt: &str,
    tokens: u64,
    stream: bool,
) -> Result<hyper::Request<Full<bytes::Bytes>>, Error> {
    let body = serde_json::json!({
        "model": "default", "prompt": prompt, "max_tokens": tokens, "stream": stream,
    });
    let request = hyper::Request::post("/v1/completions")
        .header("host", "loopback")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(bytes::Bytes::from(body.to_string())))?;
    Ok(request)
}

/// Sends a completion of one token and returns the time it took.
async fn time_completion(sender: &mut Sender, prompt: &str) -> Result<time::Duration, Error> {
    let started = time::Instant::now();
    sender.ready().await?;
    let response = sender.send_request(request(prompt, 1, false)?).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    if status != 200 {
        return Err(format!("{status}: {}", String::from_utf8_lossy(&body)).into());
    }
    Ok(started.elapsed())
}

/// Waits until the fleet serves a request.
async fn wait_ready(fleet: &Fleet) -> Result<(), Error> {
    for _ in 0..200 {
        if let Ok(mut sender) = connect(fleet.callers).await
            && time_completion(&mut sender, "ready").await.is_ok()
        {
            return Ok(());
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    Err("the fleet served no request in 200 attempts".into())
}

fn percentile(times: &mut [time::Duration], share: f64) -> f64 {
    times.sort_unstable();
    let at = ((times.len() - 1) as f64 * share).round() as usize;
    times[at].as_secs_f64() * 1e3
}

async fn latency() -> Result<String, Error> {
    let fleet = start_fleet(16, 0)?;
    wait_ready(&fleet).await?;
    let interval = time::Duration::from_micros(1_000_000 / LATENCY_RATE_PER_S);
    let mut joins = Vec::new();
    for task in 0..LATENCY_TASKS {
        let (engine, callers) = (fleet.engine, fleet.callers);
        joins.push(tokio::spawn(async move {
            let mut direct = connect(engine).await?;
            let mut through = connect(callers).await?;
            let mut times = Vec::new();
            let mut ticks = tokio::time::interval(interval * LATENCY_TASKS);
            tokio::time::sleep(interval * task).await;
            for at in 0..LATENCY_REQUESTS / LATENCY_TASKS as usize {
                ticks.tick().await;
                let prompt = format!("{task} {at}");
                // Alternating, so that both paths see the same load of the machine.
                let first = time_completion(&mut direct, &prompt).await?;
                times.push((first, time_completion(&mut through, &prompt).await?));
            }
            Ok::<_, Error>(times)
        }));
    }
    let (mut direct, mut through, mut added) = (Vec::new(), Vec::new(), Vec::new());
    for join in joins {
        for (first, second) in join.await?? {
            direct.push(first);
            through.push(second);
            added.push(second.saturating_sub(first));
        }
    }
    let [d50, d99] = [0.5, 0.99].map(|share| percentile(&mut direct, share));
    let [t50, t99] = [0.5, 0.99].map(|share| percentile(&mut through, share));
    let [a50, a99] = [0.5, 0.99].map(|share| percentile(&mut added, share));
    Ok(format!(
        "case=latency requests={} direct_p50_ms={d50:.3} direct_p99_ms={d99:.3} \
         through_p50_ms={t50:.3} through_p99_ms={t99:.3} added_p50_ms={a50:.3} \
         added_p99_ms={a99:.3} ratio_p50={:.2}",
        added.len(),
        t50 / d50
    ))
}

/// Reads one stream; returns the number of late tokens and of all tokens.
async fn read_stream(to: net::SocketAddr, prompt: String) -> Result<(u64, u64), Error> {
    let mut sender = connect(to).await?;
    let response = sender
        .send_request(request(&prompt, STREAM_TOKENS, true)?)
        .await?;
    let mut body = response.into_body();
    let (mut late, mut tokens) = (0, 0);
    let mut last = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let events = data.windows(6).filter(|part| part == b"data: ").count() as u64;
        let now = time::Instant::now();
        if let Some(last) = last
            && now - last > LATE_GAP
        {
            late += 1;
        }
        tokens += events;
        last = Some(now);
    }
    // Two events are not tokens: the usage and `[DONE]`.
    if tokens != STREAM_TOKENS + 2 {
        return Err(format!("stream had {tokens} events, expected {}", STREAM_TOKENS + 2).into());
    }
    Ok((late, STREAM_TOKENS))
}

/// Reads all streams concurrently; returns the number of late tokens and of all tokens.
async fn read_streams(to: net::SocketAddr) -> Result<(u64, u64), Error> {
    let joins: Vec<_> = (0..STREAM_COUNT)
        .map(|at| tokio::spawn(read_stream(to, format!("stream {at}"))))
        .collect();
    let (mut late, mut tokens) = (0, 0);
    for join in joins {
        let counted = join.await??;
        late += counted.0;
        tokens += counted.1;
    }
    Ok((late, tokens))
}

async fn streams() -> Result<String, Error> {
    let fleet = start_fleet(STREAM_COUNT + 8, STREAM_TOKEN_MS)?;
    wait_ready(&fleet).await?;
    let (direct, tokens) = read_streams(fleet.engine).await?;
    let ticks = fleet.entry.cpu_ticks();
    let started = time::Instant::now();
    let (through, _) = read_streams(fleet.callers).await?;
    let cores = (fleet.entry.cpu_ticks() - ticks) as f64 / 100.0 / started.elapsed().as_secs_f64();
    let share = |late: u64| late as f64 / tokens as f64 * 100.0;
    Ok(format!(
        "case=streams streams={} tokens={tokens} late_direct_pct={:.3} late_through_pct={:.3} \
         late_added_pct={:.3} entry_peak_mb={:.1} sidecar_peak_mb={:.1} entry_cores={cores:.2}",
        STREAM_COUNT,
        share(direct),
        share(through),
        share(through.saturating_sub(direct)),
        fleet.entry.status_kib("VmHWM:") as f64 / 1024.0,
        fleet.sidecar.status_kib("VmHWM:") as f64 / 1024.0,
    ))
}

/// Sends short completions on all connections and returns their number per second.
async fn measure_rate(to: net::SocketAddr) -> Result<f64, Error> {
    let stop = sync::Arc::new(AtomicBool::new(false));
    let count = sync::Arc::new(AtomicU64::new(0));
    let joins: Vec<_> = (0..THROUGHPUT_CONNECTIONS)
        .map(|at| {
            let (stop, count) = (sync::Arc::clone(&stop), sync::Arc::clone(&count));
            tokio::spawn(async move {
                let mut sender = connect(to).await?;
                while !stop.load(Ordering::Relaxed) {
                    time_completion(&mut sender, &format!("burst {at}")).await?;
                    count.fetch_add(1, Ordering::Relaxed);
                }
                Ok::<_, Error>(())
            })
        })
        .collect();
    let started = time::Instant::now();
    tokio::time::sleep(THROUGHPUT_TIME).await;
    let rate = count.load(Ordering::Relaxed) as f64 / started.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    for join in joins {
        join.await??;
    }
    Ok(rate)
}

async fn throughput() -> Result<String, Error> {
    let fleet = start_fleet(THROUGHPUT_CONNECTIONS, 0)?;
    wait_ready(&fleet).await?;
    let direct = measure_rate(fleet.engine).await?;
    let ticks = [fleet.entry.cpu_ticks(), fleet.sidecar.cpu_ticks()];
    let through = measure_rate(fleet.callers).await?;
    let cores =
        |now: u64, before: u64| (now - before) as f64 / 100.0 / THROUGHPUT_TIME.as_secs_f64();
    Ok(format!(
        "case=throughput connections={} direct_per_s={direct:.0} through_per_s={through:.0} \
         ratio={:.3} entry_cores={:.2} sidecar_cores={:.2} entry_peak_mb={:.1}",
        THROUGHPUT_CONNECTIONS,
        through / direct,
        cores(fleet.entry.cpu_ticks(), ticks[0]),
        cores(fleet.sidecar.cpu_ticks(), ticks[1]),
        fleet.entry.status_kib("VmHWM:") as f64 / 1024.0,
    ))
}

fn main() -> Result<(), Error> {
    let case = env::args().nth(1).unwrap_or_default();
    let workers = thread::available_parallelism()?.get().min(4);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()?;
    let line = match case.as_str() {
        "latency" => runtime.block_on(latency())?,
        "streams" => runtime.block_on(streams())?,
        "throughput" => runtime.block_on(throughput())?,
        "idle" => idle::run()?,
        _ => return Err("usage: load latency|streams|throughput|idle".into()),
    };
    println!("{line}");
    Ok(())
}
