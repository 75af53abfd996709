//! Stand-ins for the platform's store, runners and clients, and the scripts of the review's cases.
//!
//! `standin CASE FOLDER` starts the project's own programs as separate processes on loopback
//! addresses, plays the case and writes `record.txt` into the folder. The exit code is 1 if the rule
//! was broken, 0 if it held and 2 if the case couldn't run.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::FromRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const HOST: &str = "ficu95.example";
const KEY: &str = "asnmgkcuyj8pjbvk9m68";

// ---------------------------------------------------------------- record

/// Lines with the time since the start, written to `record.txt` at the end.
#[derive(Clone)]
struct Record(Arc<(Instant, Mutex<Vec<String>>)>);

impl Record {
    fn new() -> Self {
        Self(Arc::new((Instant::now(), Mutex::default())))
    }

    fn line(&self, text: impl AsRef<str>) {
        let at = self.0 .0.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}", text.as_ref());
        self.0 .1.lock().unwrap().push(line);
    }

    fn write(&self, folder: &Path) {
        let lines = self.0 .1.lock().unwrap().join("\n");
        let _ = std::fs::write(folder.join("record.txt"), lines + "\n");
    }
}

// ---------------------------------------------------------------- HTTP/1.1

struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    fn query(&self, name: &str) -> &str {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
    }
}

impl Conn {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 16 * 1024];
        let n = self.stream.read(&mut piece)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&piece[..n]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let rest = self.buf.split_off(at + 2);
                let line = std::mem::replace(&mut self.buf, rest);
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            self.fill()?;
        }
        let rest = self.buf.split_off(n);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    fn head(&mut self) -> io::Result<Message> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Message {
                    first,
                    headers,
                    body: Vec::new(),
                });
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Next chunk of a chunked body; `None` after the last.
    fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        let data = self.take(size)?;
        self.line()?;
        Ok((size > 0).then_some(data))
    }

    fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(data) = self.chunk()? {
                body.extend(data);
            }
            return Ok(body);
        }
        let length = head.header("content-length").and_then(|l| l.parse().ok());
        self.take(length.unwrap_or(0))
    }

    fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.body = self.body(&message)?;
        Ok(message)
    }

    fn send(&mut self, bytes: impl AsRef<[u8]>) -> io::Result<()> {
        self.stream.write_all(bytes.as_ref())
    }

    /// Whether the peer has closed the connection.
    fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut one = [0; 1];
        let peeked = self.stream.peek(&mut one);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(n) => n == 0,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

// ---------------------------------------------------------------- store

#[derive(Clone, Default)]
struct Topic {
    first: usize,
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, Topic>,
    copies: Vec<(Instant, HashMap<String, Topic>)>,
    era: u64,
    is_away: bool,
}

#[derive(Clone)]
struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    fn open() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        Ok(store)
    }

    /// Appends a record; false while the store is away.
    fn put(&self, topic: &str, key: &str, value: &[u8]) -> bool {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.is_away {
            return false;
        }
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.to_vec()));
        changed.notify_all();
        true
    }

    /// Copies all topics, as a backup would.
    fn copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        let topics = state.topics.clone();
        state.copies.push((Instant::now(), topics));
    }

    fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back from the last copy.
    fn restore(&self) -> Duration {
        let mut state = self.state.0.lock().unwrap();
        let (at, topics) = state.copies.last().cloned().expect("a copy");
        state.topics = topics;
        state.era += 1;
        state.is_away = false;
        self.state.1.notify_all();
        at.elapsed()
    }

    fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let mut newest = BTreeMap::new();
        for (key, value) in state.topics.get(topic).map_or(&[][..], |t| &t.records) {
            newest.insert(key.clone(), !value.is_empty());
        }
        newest
            .into_iter()
            .filter(|(_, live)| *live)
            .map(|(key, _)| key)
            .collect()
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(request) = conn.message() {
            let era = {
                let state = self.state.0.lock().unwrap();
                if state.is_away {
                    return;
                }
                state.era
            };
            let (status, body) = match request.target().split('?').next() {
                Some("/log-newest") => self.newest(request.query("topic")),
                Some("/log-read") => self.read(&request),
                Some("/log-append") => self.append(&request),
                _ => ("404 Not Found", Vec::new()),
            };
            {
                let state = self.state.0.lock().unwrap();
                // Connections don't outlive an absence.
                if state.is_away || state.era != era {
                    return;
                }
            }
            let head = format!(
                "HTTP/1.1 {status}\r\nstore-era: {era}\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if conn.send([head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn newest(&self, topic: &str) -> (&'static str, Vec<u8>) {
        let state = self.state.0.lock().unwrap();
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in topic.records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<_> = items
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), topic.records.len());
        let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
        ("200 OK", body.into_bytes())
    }

    fn read(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let from: usize = request.query("from").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let name = request.query("topic").to_owned();
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap();
        let era = state.era;
        let len = |state: &StoreState| state.topics.get(&name).map_or(0, |t| t.records.len());
        let is_unchanged =
            |state: &mut StoreState| !state.is_away && state.era == era && len(state) == from;
        let wait = Duration::from_millis(wait);
        let (state, _) = changed
            .wait_timeout_while(state, wait, is_unchanged)
            .unwrap();
        let empty = Topic::default();
        let topic = state.topics.get(&name).unwrap_or(&empty);
        if from < topic.first || from > topic.records.len() {
            return (
                "410 Gone",
                format!("{{\"first_offset\":{}}}", topic.first).into_bytes(),
            );
        }
        let mut body = Vec::new();
        body.extend((topic.records.len() as u64).to_be_bytes());
        body.extend((topic.first as u64).to_be_bytes());
        for (key, value) in topic.records.iter().skip(from).take(1_024) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        ("200 OK", body)
    }

    fn append(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let name = request.query("topic").to_owned();
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry(name).or_default();
        let offset = topic.records.len();
        let mut rest = request.body.as_slice();
        while let Some((length, more)) = rest.split_first_chunk::<4>() {
            let (content, more) = more.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = content[1..].split_at(content[0].into());
            let key = String::from_utf8_lossy(key).into_owned();
            topic.records.push((key, value.to_vec()));
            rest = more;
        }
        let end = topic.records.len();
        changed.notify_all();
        (
            "200 OK",
            format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes(),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let n = u32::from(group[0]) << 16
            | u32::from(*group.get(1).unwrap_or(&0)) << 8
            | u32::from(*group.get(2).unwrap_or(&0));
        for at in 0..4 {
            if at <= group.len() {
                text.push(DIGITS[(n >> (18 - 6 * at)) as usize & 63].into());
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- runners

/// How a runner answers.
#[derive(Clone, Copy)]
struct Work {
    /// Time before an answer that is not a stream.
    time: Duration,
    /// Length of such an answer.
    answer_bytes: usize,
    /// Events of a stream, and the pause before each.
    events: u64,
    pause: Duration,
    /// Bytes read in a second of a request's body; 0 if it is read at once.
    read_per_s: usize,
}

/// Ids of the requests that runners began to work on.
static RUNS: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn was_run(id: &str) -> bool {
    RUNS.lock().unwrap().iter().any(|run| run == id)
}

#[derive(Clone)]
struct Runner {
    id: String,
    service: String,
    version: String,
    zone: String,
    address: SocketAddr,
    slots: u32,
    work: Work,
    record: Record,
    running: Arc<AtomicUsize>,
}

#[allow(clippy::too_many_arguments)]
fn open_runner(
    record: &Record,
    store: &Store,
    id: &str,
    service: &str,
    version: &str,
    zone: &str,
    slots: u32,
    work: Work,
) -> io::Result<Runner> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let runner = Runner {
        id: id.to_owned(),
        service: service.to_owned(),
        version: version.to_owned(),
        zone: zone.to_owned(),
        address: listener.local_addr()?,
        slots,
        work,
        record: record.clone(),
        running: Arc::default(),
    };
    let served = runner.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runner = served.clone();
            thread::spawn(move || runner.serve(Conn::new(stream)));
        }
    });
    let (reporting, store) = (runner.clone(), store.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            let value = reporting.entry(sequence);
            store.put("keyed.servers", &reporting.id, value.as_bytes());
            thread::sleep(HEARTBEAT);
        }
    });
    record.line(format!(
        "runner {id} of {service}, version {version}, registers"
    ));
    Ok(runner)
}

impl Runner {
    fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.version, self.slots
        )
    }

    fn serve(&self, mut conn: Conn) {
        loop {
            let Ok(head) = conn.head() else { return };
            if self.read_slowly(&mut conn, &head).is_err() {
                return;
            }
            if self.answer(&mut conn, &head).is_err() {
                return;
            }
        }
    }

    fn read_slowly(&self, conn: &mut Conn, head: &Message) -> io::Result<()> {
        let length = head.header("content-length").and_then(|l| l.parse().ok());
        let mut left: usize = length.unwrap_or(0);
        while left > 0 {
            let piece = if self.work.read_per_s == 0 {
                left
            } else {
                left.min(self.work.read_per_s / 20)
            };
            conn.take(piece)?;
            left -= piece;
            if self.work.read_per_s > 0 {
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    fn answer(&self, conn: &mut Conn, request: &Message) -> io::Result<()> {
        if request.target() == "/healthz" {
            let head = format!("HTTP/1.1 200 OK\r\ninstance-id: {}\r\n", self.id);
            return conn.send(head + "content-length: 0\r\n\r\n");
        }
        if request.target() == "/report" {
            let body = "{\"phase\":\"combined\",\"busy\":false,\"sequence\":1}";
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            return conn.send(head + body);
        }
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        if request
            .header("expect-instance")
            .is_some_and(|e| e != self.id)
        {
            let head = "HTTP/1.1 421 Misdirected Request\r\ninstance-id: ";
            let rest = format!("\r\nattempt-id: {id}\r\ncontent-length: 0\r\n\r\n");
            return conn.send(format!("{head}{}{rest}", self.id));
        }
        RUNS.lock().unwrap().push(id.clone());
        let after = request.header("last-event-id").unwrap_or("-").to_owned();
        let resumes = request.header("resumes").unwrap_or("-").to_owned();
        let (runner, version) = (&self.id, &self.version);
        self.record.line(format!(
            "run     attempt={id} at={runner} version={version} last-event-id={after} resumes={resumes}"
        ));
        self.running.fetch_add(1, Ordering::SeqCst);
        let answered = if request.header("prefix-hash").is_some() {
            self.stream(conn, &id, &after)
        } else {
            let is_short = request.first.starts_with("GET");
            self.whole(
                conn,
                &id,
                if is_short {
                    800
                } else {
                    self.work.answer_bytes
                },
            )
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        let ended = if answered.is_ok() {
            "whole answer sent"
        } else {
            "channel closed by the caller"
        };
        self.record
            .line(format!("ended   attempt={id} at={runner} {ended}"));
        answered
    }

    fn whole(&self, conn: &mut Conn, id: &str, length: usize) -> io::Result<()> {
        thread::sleep(self.work.time);
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-signature: signed\r\n\
             content-length: {length}\r\n\r\n"
        );
        conn.send([head.into_bytes(), vec![b'x'; length]].concat())
    }

    fn stream(&self, conn: &mut Conn, id: &str, after: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-signature: signed\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        conn.send(head)?;
        let after: u64 = after.parse().unwrap_or(0);
        for n in after + 1..=self.work.events {
            thread::sleep(self.work.pause);
            if conn.is_closed() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {n}\ndata: {} {n}\n\n", self.version);
            conn.send(format!("{:x}\r\n{event}\r\n", event.len()))?;
        }
        conn.send("0\r\n\r\n")
    }
}

// ---------------------------------------------------------------- entries

/// Processes that were started and not yet ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Time after which a script gives up.
const MAX_TIME: Duration = Duration::from_secs(110);

fn end_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -KILL {pid}"))
            .status();
    }
}

/// The addresses of the entries, one IP address each and the same ports.
struct Fleet {
    folder: PathBuf,
    program: PathBuf,
    store: SocketAddr,
    ips: Vec<Ipv4Addr>,
    ports: [u16; 5],
    /// The last entry is reached, and reaches the others and the store, through these relays.
    relays: Option<Relays>,
    record: Record,
    children: Mutex<Vec<Option<Child>>>,
}

impl Fleet {
    fn new(record: &Record, store: &Store, entries: u8) -> io::Result<Self> {
        let ips: Vec<_> = (0..entries)
            .map(|n| Ipv4Addr::new(127, 0, 0, 2 + n))
            .collect();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let program = std::env::current_dir()?.join("target/fleet/chivebend-platform");
        Ok(Self {
            folder,
            program,
            store: store.address,
            ports: free_ports(&ips)?,
            relays: None,
            children: Mutex::new(ips.iter().map(|_| None).collect()),
            ips,
            record: record.clone(),
        })
    }

    fn frontend(&self, n: usize) -> SocketAddr {
        (self.ips[n], self.ports[0]).into()
    }

    fn settings(&self, n: usize, is_first_start: bool) -> String {
        let ip = self.ips[n];
        let [frontend, readiness, control, internal, relayed] = self.ports;
        let relays = self.relays.as_ref().filter(|_| n + 1 == self.ips.len());
        let internal = if relays.is_some() { relayed } else { internal };
        let zone = ["sur-a", "sur-b", "sur-c", "sur-d"][n % 4];
        let others = self.ips.iter().filter(|other| **other != ip).take(3);
        let seeds: Vec<_> = others.map(|ip| format!("\"{ip}:{control}\"")).collect();
        let (seeds, store) = (seeds.join(","), relays.map_or(self.store, |r| r.store));
        format!(
            r#"{{"node_name":"edge-{zone}-1","role":"entry","machine_class":"edge","serves":["edge","control"],
"ip":"{ip}","zone":"{zone}","region":"uy-sur",
"zones":{{"sur-a":"uy-sur","sur-b":"uy-sur","sur-c":"uy-sur","sur-d":"uy-sur"}},
"listen_addresses":{{"frontend":"{ip}:{frontend}","readiness_address":"{ip}:{readiness}","control_plane":"{ip}:{control}"}},
"internal_ports":[{internal},{internal}],"seed_nodes":[{seeds}],"bootstrap":{is_first_start},"fault_counted":false,
"limits":{{"cpu_share":0.19,"cpu_cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stability_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"stretch_ms":5000,"revoke_strict":false,
"revoke_ms":5000,"retry_budget_ratio":0.2,"retry_window_s":10,"budget_slack":54,"recovery_s":12,"iteration_ms":120,
"reuse_window_s":10,"quota_window_s":4}},
"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000}}}}"#
        )
    }

    fn start(&self, n: usize, is_first_start: bool) -> io::Result<()> {
        let path = self.folder.join(format!("settings-{n}.json"));
        std::fs::write(&path, self.settings(n, is_first_start))?;
        let log = self.folder.join(format!("entry-{n}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(&self.program)
            .env("CHIVEBEND_SETTINGS", &path)
            .env(
                "CHIVEBEND_FEATURES",
                "learned_capacity,second_homes,steady_reading",
            )
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.record
            .line(format!("entry {n} starts, process {}", child.id()));
        RUNNING.lock().unwrap().push(child.id());
        self.children.lock().unwrap()[n] = Some(child);
        Ok(())
    }

    fn pid(&self, n: usize) -> Option<u32> {
        self.children.lock().unwrap()[n].as_ref().map(Child::id)
    }

    fn signal(&self, n: usize, name: &str) {
        let Some(pid) = self.pid(n) else { return };
        self.record.line(format!("entry {n} gets SIG{name}"));
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {pid}"))
            .status();
    }

    fn kill(&self, n: usize) {
        if let Some(mut child) = self.children.lock().unwrap()[n].take() {
            let _ = child.kill();
            let status = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
            let how = status.map_or_else(|err| err.to_string(), |status| status.to_string());
            self.record.line(format!("entry {n} has ended, {how}"));
        }
    }

    /// Kills all entries at the same moment.
    fn kill_all(&self) {
        for child in self.children.lock().unwrap().iter_mut().flatten() {
            let _ = child.kill();
        }
        for n in 0..self.ips.len() {
            self.kill(n);
        }
    }

    fn has_exited(&self, n: usize) -> bool {
        let mut children = self.children.lock().unwrap();
        children[n]
            .as_mut()
            .is_none_or(|c| c.try_wait().is_ok_and(|s| s.is_some()))
    }

    fn is_ready(&self, n: usize) -> bool {
        let address = SocketAddr::from((self.ips[n], self.ports[1]));
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut conn = Conn::new(stream);
        if conn
            .send("GET /readyz HTTP/1.1\r\nhost: h\r\n\r\n")
            .is_err()
        {
            return false;
        }
        conn.message().is_ok_and(|m| m.status() == 200)
    }

    fn wait_ready(&self, n: usize, within: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < within {
            if self.is_ready(n) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Starts all entries for the first time and waits until they are ready.
    fn start_all(&self) -> io::Result<()> {
        for n in 0..self.ips.len() {
            self.start(n, true)?;
        }
        for n in 0..self.ips.len() {
            if !self.wait_ready(n, Duration::from_secs(10)) {
                return Err(io::Error::other(format!("entry {n} is not ready")));
            }
        }
        self.record.line("all entries are ready");
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for n in 0..self.ips.len() {
            self.kill(n);
        }
        if std::env::var_os("KEEP").is_some() {
            eprintln!("logs in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Ports below the range for outgoing connections that are free at all addresses.
fn free_ports(ips: &[Ipv4Addr]) -> io::Result<[u16; 5]> {
    let mut free = Vec::new();
    let first = 20_000 + (std::process::id() % 10_000) as u16;
    for port in first..32_000 {
        let is_free = |ip: &Ipv4Addr| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        };
        if ips.iter().all(is_free) {
            free.push(port);
        }
        if let [a, b, c, d, e] = free[..] {
            return Ok([a, b, c, d, e]);
        }
    }
    Err(io::Error::other("no free ports"))
}

// ---------------------------------------------------------------- relays

/// Relays between one entry and the rest of the system, which drop everything while it is cut off.
/// The entry has another port for the traffic between entries, so that the relays can listen at
/// the others' addresses with its port, and at its address with theirs.
struct Relays {
    store: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Relays {
    fn open(store: SocketAddr, ips: &[Ipv4Addr], internal: u16, relayed: u16) -> io::Result<Self> {
        let is_cut = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relayed_store = listener.local_addr()?;
        relay_connections(listener, store, &is_cut);
        for (n, ip) in ips.iter().enumerate() {
            let (at, to) = if n + 1 == ips.len() {
                (internal, relayed)
            } else {
                (relayed, internal)
            };
            relay_connections(TcpListener::bind((*ip, at))?, (*ip, to).into(), &is_cut);
            let (socket, to) = (UdpSocket::bind((*ip, at))?, SocketAddr::from((*ip, to)));
            let is_cut = Arc::clone(&is_cut);
            thread::spawn(move || {
                let mut datagram = vec![0; 64 * 1024];
                while let Ok((len, _)) = socket.recv_from(&mut datagram) {
                    if !is_cut.load(Ordering::SeqCst) {
                        let _ = socket.send_to(&datagram[..len], to);
                    }
                }
            });
        }
        Ok(Self {
            store: relayed_store,
            is_cut,
        })
    }
}

fn relay_connections(listener: TcpListener, to: SocketAddr, is_cut: &Arc<AtomicBool>) {
    let is_cut = Arc::clone(is_cut);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(other) = TcpStream::connect(to) else {
                continue;
            };
            for (from, into) in [(&stream, &other), (&other, &stream)] {
                let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else {
                    continue;
                };
                let is_cut = Arc::clone(&is_cut);
                thread::spawn(move || relay_bytes(from, into, &is_cut));
            }
        }
    });
}

// Bytes are held back during a cut, as those of a partition are sent again after it.
fn relay_bytes(mut from: TcpStream, mut into: TcpStream, is_cut: &AtomicBool) {
    let _ = (from.set_nodelay(true), into.set_nodelay(true));
    let mut piece = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut piece).unwrap_or(0);
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        if read == 0 || into.write_all(&piece[..read]).is_err() {
            let _ = into.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

// ---------------------------------------------------------------- desired state

struct Route {
    path: &'static str,
    kind: &'static str,
    service: &'static str,
    timeout_ms: u32,
    target_ms: u32,
}

fn desired_state(version: u64, routes: &[Route]) -> String {
    let routes = routes.iter().map(|r| {
        let Route { path, kind, service, timeout_ms, target_ms } = r;
        let stream = *kind == "streaming";
        format!(
            r#"{{"name":"r-{path}","hostname":"{HOST}","path_prefix":"/{path}/","route_type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":{target_ms},"priority":1,"service":"{service}","max_attempts":2,"anonymous":false,"session_affinity":{stream},"stream_resume":{stream},"target_gap_ms":250}}"#
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[
{{"name":"huvo11a","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":473316,"kv_bytes":18432,"link_mbps":88000.0,"stride":3,"models":[{{"name":"m"}}]}}}},
{{"name":"wuno96b","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":470000}},
"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

// ---------------------------------------------------------------- clients

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

fn attempt_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000 | NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst)
    )
}

/// Opens a connection with a small receive buffer and the segment size of an Ethernet, as a client
/// on a slow link has.
fn connect_slow_link(to: SocketAddr, receive_buffer: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    #[repr(C)]
    struct Address {
        family: u16,
        port: [u8; 2],
        ip: [u8; 4],
        zero: [u8; 8],
    }
    extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
        fn connect(fd: i32, address: *const Address, len: u32) -> i32;
    }
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let address = Address {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let segment = 1_448;
        if receive_buffer > 0 {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, 4);
        }
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        if connect(fd, &address, size_of::<Address>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u128,
    extra: &str,
    length: usize,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Api-Key: {KEY}\r\n{extra}Content-Length: {length}\r\n\r\n"
    )
}

// ---------------------------------------------------------------- cases

fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or(".".into()),
    );
    let record = Record::new();
    record.line(format!("case {case}, trouble={}", u8::from(trouble())));
    let (late_record, late_folder) = (record.clone(), folder.clone());
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        end_all();
        late_record.line("the case couldn't run: it took too long");
        late_record.write(Path::new(&late_folder));
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "cut-off" => cut_off(&record),
        "older-copy" => older_copy(&record),
        "slow-answer" => slow_answer(&record),
        "exit-early" => exit_early(&record),
        "uploads" => uploads(&record),
        _ => Err(io::Error::other("no such case")),
    };
    let code = match result {
        Ok(broken) => {
            record.line(if broken {
                "the rule was broken"
            } else {
                "the rule held"
            });
            u8::from(broken)
        }
        Err(err) => {
            record.line(format!("the case couldn't run: {err}"));
            2
        }
    };
    end_all();
    record.write(Path::new(&folder));
    let lines = record.0 .1.lock().unwrap();
    for line in lines.iter().rev().take(12).rev() {
        println!("{line}");
    }
    ExitCode::from(code)
}

/// Retries of a client, by the sheet of the deployment.
const RETRIES: usize = 1;

/// A stream as its client sees it.
#[derive(Default)]
struct Seen {
    versions: Vec<String>,
    last: u64,
    is_complete: bool,
}

/// One client attempt of a stream; returns whether it ended as complete, and a time to come back.
fn read_stream(
    to: SocketAddr,
    id: &str,
    first: Option<&str>,
    shared: &str,
    deadline: Instant,
    seen: &Mutex<Seen>,
    record: &Record,
) -> io::Result<Option<Duration>> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut conn = Conn::new(stream);
    let left = deadline
        .saturating_duration_since(Instant::now())
        .as_millis();
    let last = seen.lock().unwrap().last;
    let mut extra =
        format!("Model: m\r\nToken-Usage: 1460,120\r\nPrefix-Hash: {shared}:350,{id}:1110\r\n");
    if last > 0 {
        extra += &format!("Last-Event-Id: {last}\r\n");
        if let Some(first) = first {
            extra += &format!("Resumes: {first}\r\n");
        }
    }
    conn.send(head("POST", "/lohu930/2f", id, left, &extra, 0))?;
    let answer = conn.head()?;
    if answer.status() != 200 {
        let after = answer.header("retry-after").and_then(|a| a.parse().ok());
        let text = conn.body(&answer).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).trim().to_owned();
        record.line(format!(
            "answer  attempt={id} from={to} status={} {text}",
            answer.status()
        ));
        return Ok(Some(Duration::from_secs_f64(after.unwrap_or(0.2))));
    }
    let mut partial = String::new();
    while let Some(data) = conn.chunk()? {
        partial += &String::from_utf8_lossy(&data);
        while let Some((event, rest)) = partial.split_once("\n\n") {
            let mut seen = seen.lock().unwrap();
            for line in event.lines() {
                if let Some(n) = line.strip_prefix("id: ") {
                    seen.last = n.parse().unwrap_or(0);
                }
                if let Some(data) = line.strip_prefix("data: ") {
                    let version = data.split(' ').next().unwrap_or("").to_owned();
                    if seen.versions.last() != Some(&version) {
                        let n = seen.last;
                        record.line(format!(
                            "event   attempt={id} id={n} is of version {version}"
                        ));
                        seen.versions.push(version);
                    }
                }
            }
            let rest = rest.to_owned();
            partial = rest;
        }
    }
    seen.lock().unwrap().is_complete = true;
    Ok(None)
}

const STREAM_ROUTE: Route = Route {
    path: "lohu930",
    kind: "streaming",
    service: "huvo11a",
    timeout_ms: 12_000,
    target_ms: 1_500,
};

const STREAM_WORK: Work = Work {
    time: Duration::from_millis(20),
    answer_bytes: 800,
    events: 57,
    pause: Duration::from_millis(100),
    read_per_s: 0,
};

/// ORDER: an entry is cut off from the store and the other entries while a release begins, and
/// another entry is killed.
fn cut_off(record: &Record) -> io::Result<bool> {
    let store = Store::open()?;
    store.put(
        "keyed.op",
        "config",
        desired_state(7, &[STREAM_ROUTE]).as_bytes(),
    );
    let mut runners = Vec::new();
    for n in 1..=2 {
        let id = format!("i-old-{n}");
        runners.push(open_runner(
            record,
            &store,
            &id,
            "huvo11a",
            "v1",
            "sur-a",
            64,
            STREAM_WORK,
        )?);
        thread::sleep(Duration::from_millis(170));
    }
    let mut fleet = Fleet::new(record, &store, 4)?;
    let [.., internal, relayed] = fleet.ports;
    fleet.relays = Some(Relays::open(store.address, &fleet.ips, internal, relayed)?);
    let fleet = Arc::new(fleet);
    fleet.start_all()?;
    thread::sleep(Duration::from_secs(number("BEFORE_S", 5) as u64));
    let (cut, kill) = match std::env::var("ONLY").as_deref() {
        _ if !trouble() => (false, false),
        Ok("cut") => (true, false),
        Ok("kill") => (false, true),
        _ => (true, true),
    };
    if cut {
        let relays = fleet.relays.as_ref().expect("they are open");
        relays.is_cut.store(true, Ordering::SeqCst);
        record.line("entry 3 is cut off from the store and the other entries");
    }
    let begun = Instant::now();
    thread::sleep(Duration::from_millis(100));
    for n in 1..=2 {
        let id = format!("i-new-{n}");
        runners.push(open_runner(
            record,
            &store,
            &id,
            "huvo11a",
            "v2",
            "sur-a",
            64,
            STREAM_WORK,
        )?);
    }
    thread::sleep(Duration::from_millis(1_050));
    let clients: Vec<_> = (0..120)
        .map(|n| {
            let (fleet, record) = (Arc::clone(&fleet), record.clone());
            let seen = Arc::new(Mutex::new(Seen::default()));
            let shared = Arc::clone(&seen);
            let client = thread::spawn(move || run_stream(n, 0, &fleet, &record, &shared));
            thread::sleep(Duration::from_millis(4));
            (client, seen)
        })
        .collect();
    thread::sleep(Duration::from_millis(1_700).saturating_sub(begun.elapsed()));
    if kill {
        fleet.kill(0);
    }
    thread::sleep(Duration::from_millis(5_000).saturating_sub(begun.elapsed()));
    if cut {
        let relays = fleet.relays.as_ref().expect("they are open");
        relays.is_cut.store(false, Ordering::SeqCst);
        record.line("the cut has healed");
    }
    Ok(count_mixed(clients, record)? > 2)
}

type Client = (thread::JoinHandle<()>, Arc<Mutex<Seen>>);

/// Waits for the clients and returns how many streams hold events of two versions.
///
/// Fails if no stream began at the second version.
fn count_mixed(clients: Vec<Client>, record: &Record) -> io::Result<usize> {
    let (mut mixed, mut complete, mut all, mut second) = (0, 0, 0, 0);
    for (client, seen) in clients {
        let _ = client.join();
        let seen = seen.lock().unwrap();
        all += 1;
        complete += usize::from(seen.is_complete);
        second += usize::from(seen.versions.first().is_some_and(|v| v == "v2"));
        let other = seen.versions.iter().any(|v| *v != seen.versions[0]);
        mixed += usize::from(other);
    }
    record.line(format!("of {all} streams {complete} were complete, {mixed} hold events of two versions; two are allowed"));
    if second == 0 {
        return Err(io::Error::other("no stream began at the second version"));
    }
    Ok(mixed)
}

/// ORDER: the store comes back from an older copy while all entries are killed, during a release.
fn older_copy(record: &Record) -> io::Result<bool> {
    let store = Store::open()?;
    store.put(
        "keyed.op",
        "config",
        desired_state(7, &[STREAM_ROUTE]).as_bytes(),
    );
    let mut runners = Vec::new();
    for n in 1..=2 {
        let id = format!("i-old-{n}");
        runners.push(open_runner(
            record,
            &store,
            &id,
            "huvo11a",
            "v1",
            "sur-a",
            64,
            STREAM_WORK,
        )?);
        thread::sleep(Duration::from_millis(170));
    }
    let fleet = Arc::new(Fleet::new(record, &store, 4)?);
    fleet.start_all()?;
    thread::sleep(Duration::from_secs(4));
    store.copy();
    record.line(format!(
        "the store is copied; its keyed.versions holds {:?}",
        store.keys("keyed.versions")
    ));
    // A release begins: a runner of the next version serves beside the earlier ones.
    runners.push(open_runner(
        record,
        &store,
        "i-new-1",
        "huvo11a",
        "v2",
        "sur-a",
        64,
        STREAM_WORK,
    )?);
    let registered = Instant::now();
    thread::sleep(Duration::from_millis(1_500));
    let clients: Vec<_> = (0..40)
        .map(|n| {
            let (fleet, record) = (Arc::clone(&fleet), record.clone());
            let seen = Arc::new(Mutex::new(Seen::default()));
            let shared = Arc::clone(&seen);
            let client = thread::spawn(move || run_stream(n, n, &fleet, &record, &shared));
            thread::sleep(Duration::from_millis(20));
            (client, seen)
        })
        .collect();
    // Shortly after the third report of that runner; its next one is due 1.1 s later.
    let strike = HEARTBEAT * 2 + Duration::from_millis(100);
    thread::sleep(strike.saturating_sub(registered.elapsed()));
    record.line(format!(
        "keyed.versions of the store holds {:?}",
        store.keys("keyed.versions")
    ));
    let (drill, power) = match std::env::var("ONLY").as_deref() {
        Ok("drill") => (true, false),
        Ok("kill") => (false, true),
        _ => (true, true),
    };
    if trouble() && drill {
        store.go_away();
        record.line("the store is away");
    }
    if trouble() && power {
        fleet.kill_all();
    }
    if trouble() && drill {
        thread::sleep(Duration::from_millis(300));
        let age = store.restore();
        record.line(format!(
            "the store is back from a copy {:.1} s old",
            age.as_secs_f64()
        ));
    }
    if trouble() && power {
        for n in 0..fleet.ips.len() {
            fleet.start(n, false)?;
        }
    }
    Ok(count_mixed(clients, record)? > 2)
}

/// Runs a stream, which begins at this entry or the next that is ready.
fn run_stream(n: usize, entry: usize, fleet: &Fleet, record: &Record, seen: &Mutex<Seen>) {
    let deadline = Instant::now() + Duration::from_secs(12);
    let shared = format!("{:08x}", 0x5c1e_07a2_u32.wrapping_mul(2 * n as u32 + 1));
    let mut first: Option<String> = None;
    let mut entry = entry;
    // The attempt, and as many retries as the sheet says.
    for _ in 0..=RETRIES {
        let id = attempt_id();
        // The balancer forwards to an entry that is ready; a client waits a second for a channel.
        let begun = Instant::now();
        let ready = loop {
            let next = (0..fleet.ips.len()).map(|i| (entry + i) % fleet.ips.len());
            if let Some(ready) = next.into_iter().find(|n| fleet.is_ready(*n)) {
                break Some(ready);
            }
            if begun.elapsed() > Duration::from_secs(1) {
                break None;
            }
            thread::sleep(Duration::from_millis(10));
        };
        let Some(ready) = ready else { continue };
        let before = seen.lock().unwrap().last;
        record.line(format!(
            "send    attempt={id} stream={n} to entry {ready}, has events up to {before}"
        ));
        let result = read_stream(
            fleet.frontend(ready),
            &id,
            first.as_deref(),
            &shared,
            deadline,
            seen,
            record,
        );
        if first.is_none() && seen.lock().unwrap().last > 0 {
            first = Some(id.clone());
        }
        // Retries reach other nodes.
        entry = ready + 1 + ((n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % 3;
        match result {
            Ok(None) => return record.line(format!("answer  attempt={id} stream={n} complete")),
            Ok(Some(after)) => {
                let left = deadline.saturating_duration_since(Instant::now());
                thread::sleep(after.min(left / 3));
            }
            Err(err) => record.line(format!("broken  attempt={id} stream={n}: {err}")),
        }
        if Instant::now() > deadline {
            return;
        }
    }
}

/// Clients that read long answers of an unsafe request at a low rate.
struct Slow {
    answer_bytes: usize,
    /// Bytes read in a second; 0 if the answer is read at once.
    per_s: usize,
    /// Receive buffer of the client; 0 if the system chooses it.
    receive_buffer: i32,
}

const SLOW_CLIENTS: usize = 8;

/// Time limit of the clients, and the route's timeout.
const TIME_LIMIT: Duration = Duration::from_secs(12);

fn app_routes() -> [Route; 2] {
    [("puxa403", "unsafe"), ("cufi504", "safe")].map(|(path, kind)| Route {
        path,
        kind,
        service: "wuno96b",
        timeout_ms: 12_000,
        target_ms: 1_500,
    })
}

/// Opens a store and four runners of a plain service, which answer with this many bytes.
fn open_app(record: &Record, work: Work) -> io::Result<Store> {
    let store = Store::open()?;
    store.put(
        "keyed.op",
        "config",
        desired_state(7, &app_routes()).as_bytes(),
    );
    for n in 1..=4 {
        open_runner(
            record,
            &store,
            &format!("i-app-{n}"),
            "wuno96b",
            "v1",
            "sur-a",
            6,
            work,
        )?;
    }
    Ok(store)
}

/// LOST: an entry gets SIGTERM while clients read their answers.
fn exit_early(record: &Record) -> io::Result<bool> {
    let slow = Slow {
        answer_bytes: 4_000_000,
        per_s: 550_000,
        receive_buffer: 65_536,
    };
    let fleet = open_slow(record, &slow)?;
    let clients = start_slow(&fleet, slow, record);
    thread::sleep(Duration::from_millis(300));
    if trouble() {
        fleet.signal(0, "TERM");
    }
    let lost = join_slow(clients, record);
    record.line(format!("entry 0 has exited: {}", fleet.has_exited(0)));
    Ok(lost > 0)
}

/// LOST: clients read their answers slowly.
fn slow_answer(record: &Record) -> io::Result<bool> {
    let slow = Slow {
        answer_bytes: number("ANSWER", 100_000),
        per_s: if trouble() {
            number("PER_S", 20_000)
        } else {
            0
        },
        receive_buffer: number("RCV", 16_384) as i32,
    };
    let fleet = open_slow(record, &slow)?;
    fleet.signal(0, "HUP");
    thread::sleep(Duration::from_millis(200));
    let clients = start_slow(&fleet, slow, record);
    Ok(join_slow(clients, record) > 3)
}

fn number(name: &str, default: usize) -> usize {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

fn open_slow(record: &Record, slow: &Slow) -> io::Result<Fleet> {
    let work = Work {
        time: Duration::from_millis(30),
        answer_bytes: slow.answer_bytes,
        events: 0,
        pause: Duration::ZERO,
        read_per_s: 0,
    };
    let store = open_app(record, work)?;
    let fleet = Fleet::new(record, &store, 4)?;
    fleet.start_all()?;
    // In touch from now on.
    thread::sleep(Duration::from_millis(4_000));
    Ok(fleet)
}

fn start_slow(fleet: &Fleet, slow: Slow, record: &Record) -> Vec<thread::JoinHandle<bool>> {
    let slow = Arc::new(slow);
    let start = |n| {
        let (to, record, slow) = (fleet.frontend(0), record.clone(), Arc::clone(&slow));
        thread::spawn(move || {
            let id = attempt_id();
            let begun = Instant::now();
            match read_slowly(n, to, &id, &slow, &record) {
                Ok(()) => true,
                // The rule counts requests that were passed on, and excuses the time limit.
                Err(err) if !was_run(&id) || begun.elapsed() >= TIME_LIMIT => {
                    record.line(format!("excused attempt={id} client={n}: {err}"));
                    true
                }
                Err(err) => {
                    record.line(format!("broken  attempt={id} client={n}: {err}"));
                    false
                }
            }
        })
    };
    (0..SLOW_CLIENTS).map(start).collect()
}

fn join_slow(clients: Vec<thread::JoinHandle<bool>>, record: &Record) -> usize {
    let kept = clients.into_iter().map(|c| c.join().unwrap_or(true));
    let lost = kept.filter(|kept| !kept).count();
    record.line(format!(
        "of {SLOW_CLIENTS} channels {lost} ended without a complete answer"
    ));
    lost
}

/// Sends a request on a kept channel and reads its answer; fails if that isn't complete.
fn read_slowly(n: usize, to: SocketAddr, id: &str, slow: &Slow, record: &Record) -> io::Result<()> {
    // A first request makes it a kept channel, unless the entry asks for its close.
    let mut conn = loop {
        let stream = connect_slow_link(to, slow.receive_buffer)?;
        stream.set_read_timeout(Some(TIME_LIMIT))?;
        let mut conn = Conn::new(stream);
        conn.send(head("GET", "/cufi504/2f", &attempt_id(), 2_500, "", 0))?;
        let first = conn.message()?;
        if first.header("connection") != Some("close") {
            record.line(format!(
                "kept    client={n} has a channel that brought an answer {}",
                first.status()
            ));
            break conn;
        }
    };
    let begun = Instant::now();
    conn.send(head("POST", "/puxa403/2f", id, 12_000, "", 0))?;
    record.line(format!("send    attempt={id} client={n}"));
    let answer = conn.head()?;
    record.line(format!(
        "answer  attempt={id} client={n} status={} begins",
        answer.status()
    ));
    if answer.status() != 200 {
        // A refusal or failure is an answer, if it is complete.
        conn.body(&answer)?;
        return Ok(());
    }
    // The client reads raw bytes at a steady rate, in small pieces.
    let is_chunked = answer.header("transfer-encoding").is_some();
    let length = answer
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut raw = std::mem::take(&mut conn.buf);
    let mut piece = vec![
        0;
        if slow.per_s == 0 {
            16 * 1024
        } else {
            slow.per_s / 20
        }
    ];
    let started = Instant::now();
    loop {
        let is_whole = if is_chunked {
            raw.ends_with(b"\r\n0\r\n\r\n")
        } else {
            raw.len() >= length
        };
        if is_whole {
            break;
        }
        if slow.per_s > 0 {
            let ahead = raw.len() as f64 / slow.per_s as f64 - started.elapsed().as_secs_f64();
            if ahead > 0.0 {
                thread::sleep(Duration::from_secs_f64(ahead));
            }
        }
        let expected = slow.answer_bytes;
        let after = format!(
            "after {} bytes of a body of {expected}, {:.1} s after the request",
            raw.len(),
            begun.elapsed().as_secs_f64()
        );
        match conn.stream.read(&mut piece) {
            Ok(0) => return Err(io::Error::other(format!("closed {after}"))),
            Ok(read) => raw.extend_from_slice(&piece[..read]),
            Err(err) => return Err(io::Error::other(format!("{err} {after}"))),
        }
    }
    let got = raw.iter().filter(|b| **b == b'x').count();
    if got != slow.answer_bytes {
        return Err(io::Error::other(format!("{got} bytes")));
    }
    let took = begun.elapsed().as_secs_f64();
    record.line(format!(
        "answer  attempt={id} client={n} complete after {took:.1} s"
    ));
    Ok(())
}

const MEMORY_KB: u64 = 260 * 1024;

/// LOST: clients send bodies of the size that the limits allow.
fn uploads(record: &Record) -> io::Result<bool> {
    let clients = number("UPLOADS", 250);
    let body_bytes = if trouble() { 4_000_000 } else { 40_000 };
    let work = Work {
        time: Duration::from_millis(300),
        answer_bytes: 800,
        events: 0,
        pause: Duration::ZERO,
        read_per_s: 0,
    };
    let store = open_app(record, work)?;
    let fleet = Arc::new(Fleet::new(record, &store, 4)?);
    fleet.start_all()?;
    thread::sleep(Duration::from_millis(4_000));
    let stop = Arc::new(AtomicBool::new(false));
    let pid = fleet.pid(0).unwrap_or(0);
    // The machine kills a process whose memory exceeds the limit.
    let (watched, watching) = (Arc::clone(&fleet), Arc::clone(&stop));
    let watch_record = record.clone();
    let machine = thread::spawn(move || {
        let mut peak = 0;
        while !watching.load(Ordering::SeqCst) {
            let kb = resident_kb(pid);
            peak = peak.max(kb);
            if kb > MEMORY_KB {
                watch_record.line(format!(
                    "entry 0 holds {kb} KB, over its limit of {MEMORY_KB} KB"
                ));
                watched.kill(0);
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        watch_record.line(format!("peak memory of entry 0: {peak} KB"));
    });
    let kept: Vec<_> = (0..8)
        .map(|n| {
            let (to, record, stop) = (fleet.frontend(0), record.clone(), Arc::clone(&stop));
            thread::spawn(move || use_kept(n, to, &stop, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    let uploads: Vec<_> = (0..clients)
        .map(|n| {
            let (to, record) = (fleet.frontend(0), record.clone());
            let upload = thread::spawn(move || upload(n, to, body_bytes, &record));
            thread::sleep(Duration::from_millis(40));
            upload
        })
        .collect();
    let answered = uploads
        .into_iter()
        .filter_map(|u| u.join().ok())
        .filter(|a| *a)
        .count();
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    let cut: usize = kept.into_iter().filter_map(|k| k.join().ok()).sum();
    let _ = machine.join();
    record.line(format!("{answered} of {clients} uploads were answered; {cut} requests from kept channels had no answer"));
    Ok(cut > 3)
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse().ok())
        .unwrap_or(0)
}

/// Sends requests one after the other, on one channel as long as the entry doesn't ask for its close;
/// returns how many that were passed on to a runner ended without an answer on a kept channel.
fn use_kept(n: usize, to: SocketAddr, stop: &AtomicBool, record: &Record) -> usize {
    while !stop.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(to) else {
            return 0;
        };
        let (mut conn, mut answered) = (Conn::new(stream), 0);
        while !stop.load(Ordering::SeqCst) {
            let id = attempt_id();
            if conn
                .send(head("POST", "/puxa403/2f", &id, 2_500, "", 0))
                .is_err()
            {
                return 0;
            }
            match conn.message() {
                Ok(answer) if answer.header("connection") == Some("close") => break,
                Ok(_) => answered += 1,
                Err(err) => {
                    let ran = was_run(&id);
                    record.line(format!("broken  attempt={id} kept channel {n}, after {answered} answers, passed on: {ran}: {err}"));
                    return usize::from(answered > 0 && ran);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    0
}

/// Sends a body at the rate of a slow uplink; returns whether it was answered.
fn upload(n: usize, to: SocketAddr, body_bytes: usize, record: &Record) -> bool {
    let id = attempt_id();
    let send = || -> io::Result<u16> {
        let mut conn = Conn::new(TcpStream::connect_timeout(&to, Duration::from_secs(1))?);
        conn.stream
            .set_read_timeout(Some(Duration::from_secs(12)))?;
        conn.send(head("POST", "/puxa403/2f", &id, 12_000, "", body_bytes))?;
        let piece = vec![b'u'; body_bytes / 100];
        let begun = Instant::now();
        for sent in 1..=100_u32 {
            conn.send(&piece)?;
            let due = Duration::from_millis(80) * sent;
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        Ok(conn.message()?.status())
    };
    let result = send();
    record.line(format!("upload  attempt={id} client={n} {result:?}"));
    result.is_ok()
}
