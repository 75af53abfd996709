//! Stand-ins of the platform's store, of model runners and of callers, and the scripts of the cases.
//!
//! `standin-2 CASE DIR` plays one case: it starts entries with the command of the deploy file on
//! loopback, writes to `DIR/record.txt` what was sent, answered and run, and ends all that it
//! started. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
//! With `TROUBLE=0` in the environment the disruption is left out.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{env, fs, process, thread};

/// Interval at which runners write their entries, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Bounds of the deployment, as in the settings.
const GRACE: Duration = Duration::from_secs(8);

/// Time after which the whole case ends, whatever happens.
const CASE_LIMIT: Duration = Duration::from_secs(110);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------------------------------------
// Record of what happens.

#[derive(Clone)]
struct Journal {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Journal {
    fn open(dir: &str) -> Self {
        let file = fs::File::create(format!("{dir}/record.txt"));
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(
                file.unwrap_or_else(|err| give_up(&err.to_string())),
            )),
        }
    }

    fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        // A record that can't be written is seen by its reader.
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

fn give_up(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    process::exit(2)
}

// ---------------------------------------------------------------------------------------------
// HTTP.

#[derive(Clone, Default)]
struct Message {
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let mut fields = query.split('&').filter_map(|f| f.split_once('='));
        percent_decode(fields.find(|(n, _)| *n == name).map_or("", |(_, v)| v))
    }

    fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|c| std::str::from_utf8(c).ok());
        match code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Reader = BufReader<TcpStream>;

fn read_line(reader: &mut Reader) -> Option<String> {
    let mut line = String::new();
    let read = reader.read_line(&mut line).ok()?;
    (read > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}

// Reads start line and headers.
fn read_head(reader: &mut Reader) -> Option<Message> {
    let mut message = Message {
        start: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
}

// Reads a chunk; empty at the end of the body.
fn read_chunk(reader: &mut Reader) -> Option<Vec<u8>> {
    let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk).ok()?;
    read_line(reader)?;
    Some(chunk)
}

// Reads a request with its body.
fn read_request(reader: &mut Reader) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Healthy,
    // No call is answered; a channel on which an answer was lost returns nothing further.
    Silent,
}

struct StoreState {
    mode: Mode,
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
}

#[derive(Clone)]
struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    fn open(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| give_up(&e.to_string()));
        let state = StoreState {
            mode: Mode::Healthy,
            topics: HashMap::new(),
        };
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn set_mode(&self, mode: Mode) {
        self.state.0.lock().unwrap().mode = mode;
        self.state.1.notify_all();
    }

    fn is_healthy(&self) -> bool {
        self.state.0.lock().unwrap().mode == Mode::Healthy
    }

    fn put(&self, topic: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.push((key.to_owned(), value.as_bytes().to_vec()));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let Some((status, kind, body)) = self.respond(&request) else {
                return;
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nStore-Era: 0\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(&[head.into_bytes(), body].concat()).is_err() {
                return;
            }
        }
    }

    // Holds a call while the store is silent; its channel is closed afterwards.
    fn hold(&self) -> Option<(&'static str, &'static str, Vec<u8>)> {
        let mut state = self.state.0.lock().unwrap();
        while state.mode == Mode::Silent {
            state = self.state.1.wait_timeout(state, ms(100)).unwrap().0;
        }
        None
    }

    fn respond(&self, request: &Message) -> Option<(&'static str, &'static str, Vec<u8>)> {
        if !self.is_healthy() {
            return self.hold();
        }
        let topic = request.query("topic");
        match request.target().split('?').next().unwrap_or("") {
            "/log-newest" => Some(self.newest(&topic, &request.query("after"))),
            "/log-read" => self.read(&topic, request),
            "/log-append" => Some(self.append(&topic, request)),
            _ => Some(("404 Not Found", "text/plain", Vec::new())),
        }
    }

    fn newest(&self, topic: &str, after: &str) -> (&'static str, &'static str, Vec<u8>) {
        let state = self.state.0.lock().unwrap();
        let empty = Vec::new();
        let records = state.topics.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest
            .into_iter()
            .filter(|(key, (_, value))| key.as_str() > after && !value.is_empty());
        let all: Vec<String> = items
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let page = &all[..all.len().min(500)];
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{},\"end_offset\":{}}}",
            page.join(","),
            all.len() > page.len(),
            records.len()
        );
        ("200 OK", "application/json", body.into_bytes())
    }

    fn read(
        &self,
        topic: &str,
        request: &Message,
    ) -> Option<(&'static str, &'static str, Vec<u8>)> {
        let from: usize = request.query("from").parse().unwrap_or(0);
        let wait = ms(request.query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait.min(ms(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.mode == Mode::Silent {
                drop(state);
                return self.hold();
            }
            let empty = Vec::new();
            let records = state.topics.get(topic).unwrap_or(&empty);
            if from > records.len() {
                let body = b"{\"first_offset\":0}".to_vec();
                return Some(("410 Gone", "application/json", body));
            }
            let now = Instant::now();
            if from < records.len() || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..records.len().min(from + 1_024)] {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend(length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Some(("200 OK", "application/octet-stream", body));
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn append(&self, topic: &str, request: &Message) -> (&'static str, &'static str, Vec<u8>) {
        if ["keyed.op", "keyed.servers"].contains(&topic) {
            return ("403 Forbidden", "text/plain", Vec::new());
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        let at = request.query("at");
        if !at.is_empty() && at.parse() != Ok(end) {
            let body = format!("{{\"end_offset\":{end}}}").into_bytes();
            return ("412 Precondition Failed", "application/json", body);
        }
        let mut rest = &request.body[..];
        while rest.len() >= 5 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let content = &rest[4..4 + length];
            let (key, value) = content[1..].split_at(content[0] as usize);
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = &rest[4 + length..];
        }
        let body = format!("{{\"offset\":{end},\"end_offset\":{}}}", records.len());
        changed.notify_all();
        ("200 OK", "application/json", body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0_u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (bits >> (18 - 6 * digit)) & 63;
                out.push(DIGITS[index as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// Model runners.

struct RunnerState {
    born: u64,
    sequence: u64,
    is_draining: bool,
    is_up: bool,
    active: usize,
    channels: Vec<TcpStream>,
    // Parts of prompts that it keeps, and when it will have read what it was sent.
    kept: BTreeSet<String>,
    // Client attempts that it has run.
    ran: BTreeSet<String>,
    read_until: Instant,
}

/// A model runner: streams as many events as the body of the request says.
#[derive(Clone)]
struct Runner {
    id: &'static str,
    version: &'static str,
    slots: usize,
    address: SocketAddr,
    store: Store,
    journal: Journal,
    state: Arc<(Mutex<RunnerState>, Condvar)>,
    /// Prompt tokens that it reads in 10 ms; 0 if it takes no time.
    speed: Arc<AtomicUsize>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Runner {
    fn open(
        (id, version, slots): (&'static str, &'static str, usize),
        ip: Ipv4Addr,
        store: &Store,
        journal: &Journal,
    ) -> Self {
        let state = RunnerState {
            born: unix_ms(),
            sequence: 0,
            is_draining: false,
            is_up: true,
            active: 0,
            channels: Vec::new(),
            kept: BTreeSet::new(),
            ran: BTreeSet::new(),
            read_until: Instant::now(),
        };
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| give_up(&e.to_string()));
        let runner = Self {
            id,
            version,
            slots,
            address: listener.local_addr().unwrap(),
            store: store.clone(),
            journal: journal.clone(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            speed: Arc::default(),
        };
        runner.listen(listener);
        runner.report();
        let reporting = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                reporting.report();
            }
        });
        runner
    }

    // Writes the entry into the store's list.
    fn report(&self) {
        let mut state = self.state.0.lock().unwrap();
        if !state.is_up || !self.store.is_healthy() {
            return;
        }
        state.sequence += 1;
        let record = format!(
            "{{\"service\":\"chive-llm\",\"address\":\"{}\",\"zone\":\"sur-a\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{}\",\"cold_remaining_ms\":0,\"sequence\":{},\"born\":{}}}",
            self.address,
            self.version,
            self.slots,
            if state.is_draining {
                "draining"
            } else {
                "ready"
            },
            state.sequence,
            state.born,
        );
        drop(state);
        self.store.put("keyed.servers", self.id, &record);
    }

    fn drain(&self) {
        self.state.0.lock().unwrap().is_draining = true;
        self.journal
            .line(&format!("runner {} reports draining", self.id));
        self.report();
    }

    // Ends the process, which starts again under the same id after `down`.
    fn crash(&self, down: Duration) {
        let mut state = self.state.0.lock().unwrap();
        state.is_up = false;
        for channel in state.channels.drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        drop(state);
        self.journal.line(&format!("runner {} crashes", self.id));
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let listener = TcpListener::bind(runner.address);
            let listener = listener.unwrap_or_else(|e| give_up(&e.to_string()));
            let mut state = runner.state.0.lock().unwrap();
            state.born = unix_ms();
            state.sequence = 0;
            state.active = 0;
            state.kept.clear();
            state.read_until = Instant::now();
            state.is_up = true;
            drop(state);
            runner.listen(listener);
            runner
                .journal
                .line(&format!("runner {} is back", runner.id));
            runner.report();
        });
    }

    fn listen(&self, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let runner = self.clone();
        let born = runner.born();
        thread::spawn(move || {
            while runner.runs(born) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(channel) = stream.try_clone() {
                            runner.state.0.lock().unwrap().channels.push(channel);
                        }
                        let runner = runner.clone();
                        thread::spawn(move || runner.serve(stream, born));
                    }
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
    }

    fn born(&self) -> u64 {
        self.state.0.lock().unwrap().born
    }

    fn runs(&self, born: u64) -> bool {
        let state = self.state.0.lock().unwrap();
        state.is_up && state.born == born
    }

    fn serve(&self, stream: TcpStream, born: u64) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if !self.runs(born) || self.respond(&request, &mut out, born).is_none() {
                break;
            }
        }
        let _ = out.shutdown(Shutdown::Both);
    }

    // `None` closes the channel.
    fn respond(&self, request: &Message, out: &mut TcpStream, born: u64) -> Option<()> {
        let send = |out: &mut TcpStream, text: String| out.write_all(text.as_bytes()).ok();
        let path = request.target().to_owned();
        if path == "/healthz" || path == "/report" {
            let state = self.state.0.lock().unwrap();
            let body = format!(
                "{{\"born\":{},\"phase\":\"combined\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":473316,\"handles\":0}}",
                state.born, state.active
            );
            let status = if state.is_draining {
                "503 Draining"
            } else {
                "200 OK"
            };
            drop(state);
            let status = if path == "/report" { "200 OK" } else { status };
            let head = format!(
                "HTTP/1.1 {status}\r\nInstance-Id: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            return send(out, head);
        }
        let id = request.header("attempt-id").to_owned();
        if request.header("expect-instance") != self.id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return send(out, head);
        }
        self.take_slot(born)?;
        self.state.0.lock().unwrap().ran.insert(id.clone());
        self.journal.line(&format!(
            "runner {} ({}) runs {id} after event {}",
            self.id,
            self.version,
            if request.header("last-event-id").is_empty() {
                "0"
            } else {
                request.header("last-event-id")
            },
        ));
        let done = self.stream(request, &id, out, born);
        let mut state = self.state.0.lock().unwrap();
        if state.born == born {
            state.active = state.active.saturating_sub(1);
        }
        drop(state);
        self.state.1.notify_all();
        done
    }

    // Requests beyond the slots wait.
    fn take_slot(&self, born: u64) -> Option<()> {
        let mut state = self.state.0.lock().unwrap();
        while state.active >= self.slots && state.is_up && state.born == born {
            state = self.state.1.wait_timeout(state, ms(50)).unwrap().0;
        }
        (state.is_up && state.born == born).then(|| state.active += 1)
    }

    // Waits until the prompt is read, behind those that came before. Parts that it keeps are not read
    // again, nor are the events that the client has.
    fn read_prompt(&self, request: &Message) {
        let speed = self.speed.load(Ordering::SeqCst);
        if speed == 0 {
            return;
        }
        let mut state = self.state.0.lock().unwrap();
        let (mut tokens, mut is_kept) = (0, true);
        for part in request.header("prefix-hash").split(',') {
            let count: usize = part
                .rsplit(':')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            is_kept = is_kept && state.kept.contains(part);
            if !is_kept {
                tokens += count;
                state.kept.insert(part.to_owned());
            }
        }
        let takes = Duration::from_secs_f64(tokens as f64 / speed as f64 / 100.0);
        let until = state.read_until.max(Instant::now()) + takes;
        state.read_until = until;
        drop(state);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    fn stream(&self, request: &Message, id: &str, out: &mut TcpStream, born: u64) -> Option<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut numbers = body.split(' ').filter_map(|n| n.parse::<u64>().ok());
        let (last, pause) = (numbers.next().unwrap_or(1), numbers.next().unwrap_or(0));
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: signed-{}\r\nKeep-Alive: timeout=15\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        self.read_prompt(request);
        out.write_all(head.as_bytes()).ok()?;
        for n in after + 1..=last {
            // The prompt is short, and read at once.
            if n > after + 1 {
                thread::sleep(ms(pause));
            }
            if !self.runs(born) {
                return None;
            }
            let event = format!("id: {n}\ndata: {} {} {id}\n\n", self.id, self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            out.write_all(chunk.as_bytes()).ok()?;
        }
        out.write_all(b"0\r\n\r\n").ok()
    }
}

// ---------------------------------------------------------------------------------------------
// Entries: the real program.

struct Entry {
    name: String,
    callers: SocketAddr,
    readiness: SocketAddr,
    settings: String,
    log: String,
    child: Option<Child>,
}

/// Processes to end at the end of the case, whatever happens.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn signal(pid: u32, name: &str) {
    let mut command = Command::new("kill");
    command.args(["-s", name, &pid.to_string()]);
    // A process that has ended already needs no signal.
    let _ = command.stdout(Stdio::null()).stderr(Stdio::null()).status();
}

fn end_children() {
    let children = std::mem::take(&mut *CHILDREN.lock().unwrap());
    for pid in children {
        signal(pid, "KILL");
    }
}

fn free_port(ip: Ipv4Addr) -> u16 {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::SeqCst) + process::id() as usize * 37;
        let port = 20_000 + (n % 10_000) as u16;
        if TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

impl Entry {
    // Prepares the entries at these addresses; the settings are those of a small deployment.
    fn prepare(ips: &[Ipv4Addr], store: &Store, dir: &str) -> Vec<Self> {
        let internal = free_port(ips[0]);
        let control = free_port(ips[0]);
        let seeds: Vec<_> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{control}\""))
            .collect();
        let of_ip = |(n, ip): (usize, &Ipv4Addr)| {
            let (callers, readiness) = (free_port(*ip), free_port(*ip));
            let name = format!("edge-{}", n + 1);
            let settings = format!(
                "{{\"node_name\":\"{name}\",\"role\":\"entry\",\"machine_class\":\"edge\",\"serves\":[\"edge\",\"control\"],\
                 \"ip\":\"{ip}\",\"zone\":\"sur-a\",\"region\":\"uy-sur\",\"zones\":{{\"sur-a\":\"uy-sur\"}},\
                 \"listen_addresses\":{{\"frontend\":\"{ip}:{callers}\",\"readiness_address\":\"{ip}:{readiness}\",\"control_plane\":\"{ip}:{control}\"}},\
                 \"internal_ports\":[{internal},{internal}],\"seed_nodes\":[{}],\"bootstrap\":true,\"fault_counted\":false,\
                 \"limits\":{{\"cpu_share\":0.19,\"cpu_cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0}},\
                 \"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1200,\
                 \"bounds\":{{\"stability_window_ms\":3000,\"drain_ms\":2000,\"grace_s\":{},\"loss_slack_ms\":200,\"config_apply_ms\":2000,\
                 \"retry_budget_ratio\":0.2,\"retry_window_s\":10,\"budget_slack\":54}},\
                 \"platform\":{{\"address\":\"{}\",\"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000}}}}",
                seeds.join(","),
                GRACE.as_secs(),
                store.address,
            );
            let path = format!("{dir}/{name}.json");
            fs::write(&path, settings).unwrap_or_else(|e| give_up(&e.to_string()));
            Self {
                log: format!("{dir}/{name}.log"),
                name,
                callers: (*ip, callers).into(),
                readiness: (*ip, readiness).into(),
                settings: path,
                child: None,
            }
        };
        ips.iter().enumerate().map(of_ip).collect()
    }

    fn start(&mut self, journal: &Journal) {
        let program = env::var("ENTRY_PROGRAM").unwrap_or_else(|_| give_up("no ENTRY_PROGRAM"));
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.unwrap_or_else(|e| give_up(&e.to_string()));
        let features = env::var("ENTRY_FEATURES").unwrap_or_default();
        let child = Command::new(program)
            .env("CHIVEBEND_SETTINGS", &self.settings)
            .env("CHIVEBEND_FEATURES", features)
            .stdout(log)
            .spawn();
        let child = child.unwrap_or_else(|e| give_up(&e.to_string()));
        CHILDREN.lock().unwrap().push(child.id());
        journal.line(&format!("{} starts", self.name));
        self.child = Some(child);
    }

    fn is_ready(&self) -> bool {
        is_ready(self.readiness)
    }

    fn signal(&self, name: &str, journal: &Journal) {
        if let Some(child) = &self.child {
            journal.line(&format!("{} gets SIG{name}", self.name));
            signal(child.id(), name);
        }
    }

    // Returns whether its process has ended, and forgets it then.
    fn has_ended(&mut self) -> bool {
        let ended = match &mut self.child {
            Some(child) => child.try_wait().is_ok_and(|s| s.is_some()),
            None => return false,
        };
        if ended && let Some(child) = self.child.take() {
            CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
        }
        ended
    }
}

fn is_ready(readiness: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(readiness) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ms(1_000)));
    if stream
        .write_all(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
        .is_err()
    {
        return false;
    }
    read_head(&mut BufReader::new(stream)).is_some_and(|m| m.status() == 200)
}

/// The platform's choice of machines for new channels: it asks each one once a second, takes it out
/// after two misses, and uses all of a zone if fewer than half are in.
#[derive(Clone)]
struct Rotation {
    misses: Arc<Mutex<Vec<usize>>>,
}

impl Rotation {
    fn follow(entries: &[Entry]) -> Self {
        let rotation = Self {
            misses: Arc::new(Mutex::new(vec![0; entries.len()])),
        };
        for (n, entry) in entries.iter().enumerate() {
            let (rotation, readiness) = (rotation.clone(), entry.readiness);
            thread::spawn(move || {
                loop {
                    let ready = is_ready(readiness);
                    let mut misses = rotation.misses.lock().unwrap();
                    misses[n] = if ready { 0 } else { misses[n] + 1 };
                    drop(misses);
                    thread::sleep(ms(1_000));
                }
            });
        }
        rotation
    }

    fn takes_channels(&self, n: usize) -> bool {
        let misses = self.misses.lock().unwrap();
        let is_in = |misses: &usize| *misses < 2;
        let count = misses.iter().filter(|m| is_in(m)).count();
        is_in(&misses[n]) || (count > 0 && 2 * count < misses.len())
    }
}

fn start_all(entries: &mut [Entry], journal: &Journal) {
    for entry in entries.iter_mut() {
        entry.start(journal);
    }
    let begun = Instant::now();
    while !entries.iter().all(Entry::is_ready) {
        if begun.elapsed() > ms(20_000) {
            give_up("the entries don't become ready");
        }
        thread::sleep(ms(50));
    }
    // Traffic starts some seconds after the machines do.
    thread::sleep(ms(5_000));
}

// The operator's desired state: one resumable stream route to one service of model runners.
fn configuration(slots: usize, objective_ms: u64) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"digest-audit\",\"hostname\":\"h.example\",\"path_prefix\":\"/digest/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":{objective_ms},\"priority\":1,\"service\":\"chive-llm\",\
         \"max_attempts\":2,\"anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":250}}],\
         \"services\":[{{\"name\":\"chive-llm\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":{slots},\"kv_capacity\":473316,\"kv_bytes\":18432,\"link_mbps\":88000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":470000}},\
         \"tenants\":[{{\"name\":\"farm\",\"api_keys\":[\"key-farm\"],\"priority\":1}}]}}"
    )
}

// ---------------------------------------------------------------------------------------------
// Callers.

/// How a client attempt ended.
#[derive(Clone, Debug, Default)]
struct Outcome {
    status: u16,
    /// Runner and software version of each event.
    events: Vec<(String, String)>,
    last_id: u64,
    is_complete: bool,
    /// True if its channel was reset, as one is whose request wasn't read.
    was_reset: bool,
    /// When it ended.
    at: Option<Instant>,
}

impl Outcome {
    fn versions(&self) -> BTreeSet<&str> {
        self.events
            .iter()
            .map(|(_, version)| &version[..])
            .collect()
    }

    fn runners(&self) -> BTreeSet<&str> {
        self.events.iter().map(|(runner, _)| &runner[..]).collect()
    }
}

/// A client attempt that is to be sent.
#[derive(Clone, Default)]
struct Attempt {
    id: String,
    /// Path, if it isn't the usual one; tokens of the shared part and of the request's own.
    path: Option<&'static str>,
    tokens: Option<(u64, u64)>,
    part: String,
    events: u64,
    pause_ms: u64,
    deadline_ms: u64,
    /// Attempt that brought the first event, and the last event that arrived.
    resumes: Option<(String, u64)>,
}

impl Attempt {
    fn request(&self) -> String {
        let body = format!("{} {}", self.events, self.pause_ms);
        let resumes = self
            .resumes
            .as_ref()
            .map_or(String::new(), |(first, last)| {
                format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n")
            });
        let (shared, own) = self.tokens.unwrap_or((350, 100));
        format!(
            "POST {}a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {}\r\nApi-Key: key-farm\r\nModel: m\r\n\
             Token-Usage: {},{}\r\nPrefix-Hash: {}:{shared},{:x}:{own}\r\nDeadline-Ms: {}\r\n{resumes}Content-Length: {}\r\n\r\n{body}",
            self.path.unwrap_or("/digest/"),
            self.id,
            shared + own,
            self.events,
            self.part,
            hash(&self.id),
            self.deadline_ms,
            body.len()
        )
    }
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

// A channel of a client to an entry.
struct Channel {
    reader: Reader,
}

impl Channel {
    fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(20_000)));
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    fn send(&mut self, attempt: &Attempt, journal: &Journal) -> Outcome {
        let again = attempt.resumes.as_ref();
        let again = again.map_or(String::new(), |(f, n)| format!(", takes up {f} after {n}"));
        journal.line(&format!("client sends {}{again}", attempt.id));
        let mut outcome = self.exchange(attempt).unwrap_or_default();
        outcome.at = Some(Instant::now());
        journal.line(&format!(
            "client: {} ends with status {}, {} events, last {}, complete {}, of {:?} {:?}",
            attempt.id,
            outcome.status,
            outcome.events.len(),
            outcome.last_id,
            outcome.is_complete,
            outcome.runners(),
            outcome.versions(),
        ));
        outcome
    }

    fn exchange(&mut self, attempt: &Attempt) -> Option<Outcome> {
        let request = attempt.request();
        self.reader.get_mut().write_all(request.as_bytes()).ok()?;
        if let Err(err) = self.reader.fill_buf() {
            return Some(Outcome {
                was_reset: err.kind() == std::io::ErrorKind::ConnectionReset,
                ..Outcome::default()
            });
        }
        let head = read_head(&mut self.reader)?;
        let mut outcome = Outcome {
            status: head.status(),
            ..Outcome::default()
        };
        if !head.header("transfer-encoding").contains("chunked") {
            let length = head.header("content-length").parse().unwrap_or(0);
            let mut body = vec![0; length];
            outcome.is_complete = self.reader.read_exact(&mut body).is_ok();
            return Some(outcome);
        }
        let mut text = String::new();
        while let Some(chunk) = read_chunk(&mut self.reader) {
            if chunk.is_empty() {
                outcome.is_complete = true;
                break;
            }
            text.push_str(&String::from_utf8_lossy(&chunk));
        }
        for event in text.split("\n\n").filter(|event| event.contains("data: ")) {
            let field = |name: &str| {
                event
                    .lines()
                    .find_map(|l| l.strip_prefix(name))
                    .unwrap_or("")
            };
            outcome.last_id = field("id: ").parse().unwrap_or(0);
            let mut words = field("data: ").split(' ').map(str::to_owned);
            let (runner, version) = (words.next(), words.next());
            outcome
                .events
                .push((runner.unwrap_or_default(), version.unwrap_or_default()));
        }
        Some(outcome)
    }
}

fn send_once(address: SocketAddr, attempt: &Attempt, journal: &Journal) -> Outcome {
    match Channel::open(address) {
        Some(mut channel) => channel.send(attempt, journal),
        None => {
            journal.line(&format!("client: no channel for {}", attempt.id));
            Outcome::default()
        }
    }
}

// Returns parts of prompts by the runner that requests with them go to.
fn find_homes(
    address: SocketAddr,
    count: usize,
    journal: &Journal,
) -> HashMap<String, Vec<String>> {
    let mut homes: HashMap<String, Vec<String>> = HashMap::new();
    for n in 0..count {
        let part = format!("{:x}", 0x5c1e_0000 + n);
        let attempt = Attempt {
            id: format!("home-{n}"),
            part: part.clone(),
            events: 1,
            deadline_ms: 12_000,
            ..Attempt::default()
        };
        let outcome = send_once(address, &attempt, journal);
        if let Some((runner, _)) = outcome.events.first() {
            homes.entry(runner.clone()).or_default().push(part);
        }
    }
    homes
}

// ---------------------------------------------------------------------------------------------
// Cases.

struct Case {
    dir: String,
    journal: Journal,
    is_troubled: bool,
    scratch: String,
}

impl Case {
    fn sleep_until(&self, begun: Instant, at_ms: u64) {
        let until = begun + ms(at_ms);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    fn finish(&self, violations: usize, limit: usize, what: &str) -> i32 {
        let verdict = if violations > limit { "broken" } else { "held" };
        let line = format!("{what}: {violations}, allowed {limit}: {verdict}");
        self.journal.line(&line);
        println!("{}: {line}", self.dir);
        i32::from(violations > limit)
    }
}

fn ips(second: u8, count: u8) -> Vec<Ipv4Addr> {
    (1..=count)
        .map(|n| Ipv4Addr::new(127, 88, second, n))
        .collect()
}

/// While the store is silent for 8 s, a quarter of the runners, one of each software version, crash
/// and are back after 2 s under their ids. Later one of them crashes once more, while streams run
/// there that began after its return.
fn versions(case: &Case) -> i32 {
    const IDS: [(&str, &str); 8] = [
        ("i-a1", "5.1"),
        ("i-a2", "5.1"),
        ("i-a3", "5.1"),
        ("i-a4", "5.1"),
        ("i-b1", "5.2"),
        ("i-b2", "5.2"),
        ("i-b3", "5.2"),
        ("i-b4", "5.2"),
    ];
    const STREAMS: usize = 8;
    let journal = &case.journal;
    let store = Store::open(Ipv4Addr::new(127, 88, 1, 100));
    store.put("keyed.op", "config", &configuration(64, 1_000));
    let ip = Ipv4Addr::new(127, 88, 1, 200);
    let runners = IDS.map(|(id, version)| Runner::open((id, version, 64), ip, &store, journal));
    let mut entries = Entry::prepare(&ips(1, 4), &store, &case.scratch);
    start_all(&mut entries, journal);
    let address = entries[0].callers;
    let homes = find_homes(address, 120, journal);
    let parts = |id: &str| homes.get(id).cloned().unwrap_or_default();
    let (first, second) = (parts("i-a1"), parts("i-b1"));
    if first.len() < STREAMS || second.is_empty() {
        give_up("no parts of prompts have their homes at the runners that crash");
    }
    let begun = Instant::now();
    let crash = |n: usize| {
        if case.is_troubled {
            runners[n].crash(ms(2_000));
        }
    };
    if case.is_troubled {
        journal.line("the store falls silent");
        store.set_mode(Mode::Silent);
    }
    case.sleep_until(begun, 300);
    crash(0);
    crash(4);
    // Both are back at 2.3 s; a request to each.
    for (n, part) in [&first[0], &second[0]].into_iter().enumerate() {
        case.sleep_until(begun, 3_000 + 200 * n as u64);
        let attempt = Attempt {
            id: format!("brief-{n}"),
            part: part.clone(),
            events: 1,
            deadline_ms: 12_000,
            ..Attempt::default()
        };
        send_once(address, &attempt, journal);
    }
    let callers = first[..STREAMS].iter().enumerate().map(|(n, part)| {
        let attempt = Attempt {
            id: format!("long-{n}"),
            part: part.clone(),
            events: 16,
            pause_ms: 200,
            deadline_ms: 12_000,
            ..Attempt::default()
        };
        let journal = journal.clone();
        thread::sleep(ms(40));
        thread::spawn(move || send_once(address, &attempt, &journal))
    });
    let callers: Vec<_> = callers.collect();
    case.sleep_until(begun, 5_000);
    crash(0);
    case.sleep_until(begun, 8_000);
    if case.is_troubled {
        journal.line("the store answers again");
        store.set_mode(Mode::Healthy);
    }
    let outcomes = callers.into_iter().map(|c| c.join().unwrap_or_default());
    let outcomes: Vec<_> = outcomes.collect();
    let mixed = outcomes.iter().filter(|o| o.versions().len() > 1).count();
    case.finish(mixed, 2, "streams with events of two software versions")
}

/// All four entries are stopped and started in turn, one each 1.8 s, during a release. A stream that
/// the first one cuts as it ends is taken up at the fourth, where it waits for a runner of its
/// version as that entry ends as well.
fn shutdown(case: &Case) -> i32 {
    const IDS: [(&str, &str); 4] = [
        ("i-x", "5.1"),
        ("i-y", "5.1"),
        ("i-z1", "5.2"),
        ("i-z2", "5.2"),
    ];
    const SLOTS: usize = 4;
    const LOSS_SLACK: Duration = Duration::from_millis(200);
    // Callers give up after four times the objective.
    const PATIENCE: Duration = Duration::from_secs(6);
    const FILLERS: usize = 9;
    const STREAMS: usize = 3;
    let journal = &case.journal;
    let store = Store::open(Ipv4Addr::new(127, 88, 2, 100));
    store.put("keyed.op", "config", &configuration(SLOTS, 1_500));
    let ip = Ipv4Addr::new(127, 88, 2, 200);
    let runners = IDS.map(|(id, version)| Runner::open((id, version, SLOTS), ip, &store, journal));
    let mut entries = Entry::prepare(&ips(2, 4), &store, &case.scratch);
    start_all(&mut entries, journal);
    let (one, four) = (entries[0].callers, entries[3].callers);
    let rotation = Rotation::follow(&entries);
    let homes = find_homes(one, 80, journal);
    let parts = |id: &str| homes.get(id).cloned().unwrap_or_default();
    let (at_x, at_y) = (parts("i-x"), parts("i-y"));
    if at_x.len() < STREAMS || at_y.len() < FILLERS {
        give_up("no parts of prompts have their homes at the runners of the first version");
    }
    let begun = Instant::now() + ms(1_000);
    let until = |at_ms: u64| {
        let at = begun + ms(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    // Machines are stopped and started in turn.
    let (stop, troubled) = (Arc::new(AtomicBool::new(false)), case.is_troubled);
    let rolling = {
        let (journal, stop) = (journal.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            let mut ended = [None; 4];
            let mut stopped = 0;
            while troubled && !stop.load(Ordering::SeqCst) {
                if stopped < 4 && Instant::now() >= begun + ms(1_800 * stopped as u64) {
                    entries[stopped].signal("TERM", &journal);
                    stopped += 1;
                }
                for (n, entry) in entries.iter_mut().enumerate().take(stopped) {
                    if entry.has_ended() {
                        journal.line(&format!("{} has ended", entry.name));
                        ended[n] = Some(Instant::now());
                    }
                    // It starts again after a short delay.
                    if ended[n].is_some_and(|at| at.elapsed() >= ms(1_000)) {
                        ended[n] = None;
                        entry.start(&journal);
                    }
                }
                thread::sleep(ms(10));
            }
            entries
        })
    };
    // Clients with a kept channel to the first machine.
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (journal, part, rotation) = (journal.clone(), at_x[n].clone(), rotation.clone());
            thread::spawn(move || {
                let mut channel = Channel::open(one).unwrap_or_else(|| give_up("no channel"));
                let brief = Attempt {
                    id: format!("brief-{n}"),
                    part: part.clone(),
                    events: 1,
                    deadline_ms: 12_000,
                    ..Attempt::default()
                };
                channel.send(&brief, &journal);
                let at = begun + ms(2_600 + 20 * n as u64);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let (sent, id) = (Instant::now(), format!("stream-{n}"));
                let attempt = Attempt {
                    id: id.clone(),
                    part,
                    events: 38,
                    pause_ms: 240,
                    deadline_ms: 12_000,
                    ..Attempt::default()
                };
                let outcome = channel.send(&attempt, &journal);
                if outcome.is_complete || outcome.events.is_empty() {
                    return (outcome, None);
                }
                let left = 12_000_u64.saturating_sub(sent.elapsed().as_millis() as u64);
                let again = Attempt {
                    id: format!("{id}-again"),
                    deadline_ms: left,
                    resumes: Some((id, outcome.last_id)),
                    ..attempt
                };
                // The platform sends the new channel to any machine that takes some.
                if !rotation.takes_channels(3) {
                    journal.line("the platform sends no channels to the fourth machine");
                    return (outcome, None);
                }
                let sent = Instant::now();
                let second = send_once(four, &again, &journal);
                let took = second.at.map_or(Duration::ZERO, |at| at - sent);
                (outcome, Some((second, took, ms(left), again.id)))
            })
        })
        .collect();
    // Other streams fill the runner of the first version that stays.
    until(4_300);
    let fillers: Vec<_> = (0..FILLERS)
        .map(|n| {
            let attempt = Attempt {
                id: format!("other-{n}"),
                part: at_y[n].clone(),
                events: 45,
                pause_ms: 240,
                deadline_ms: 12_000,
                ..Attempt::default()
            };
            let journal = journal.clone();
            thread::sleep(ms(60));
            thread::spawn(move || send_once(four, &attempt, &journal))
        })
        .collect();
    until(5_200);
    runners[0].drain();
    let mut cut = 0;
    for stream in streams {
        let Ok((_, Some((second, took, left, id)))) = stream.join() else {
            continue;
        };
        // Read in full: a channel with unread bytes is reset as its process ends.
        let was_read = !second.was_reset && took > LOSS_SLACK;
        let is_unanswered = second.status == 0 && second.events.is_empty();
        let has_run = runners
            .iter()
            .any(|runner| runner.state.0.lock().unwrap().ran.contains(&id));
        // Before the caller gives up, and before its time limit.
        let is_awaited = took < PATIENCE.min(left);
        journal.line(&format!(
            "{id}: read {was_read}, unanswered {is_unanswered} after {took:.1?} of {left:.1?}, run {has_run}"
        ));
        cut += usize::from(was_read && is_unanswered && !has_run && is_awaited);
    }
    for filler in fillers {
        let _ = filler.join();
    }
    stop.store(true, Ordering::SeqCst);
    let _ = rolling.join();
    case.finish(
        cut,
        0,
        "requests that were read and ended without an answer",
    )
}

/// A runner crashes and is back after 2 s under its id. Streams begin there at once. Some seconds later
/// it crashes once more, and the callers take their streams up at other entries, while the other
/// runners of its software version serve.
fn taken_up(case: &Case) -> i32 {
    const IDS: [(&str, &str); 8] = [
        ("i-a1", "5.1"),
        ("i-a2", "5.1"),
        ("i-a3", "5.1"),
        ("i-a4", "5.1"),
        ("i-b1", "5.2"),
        ("i-b2", "5.2"),
        ("i-b3", "5.2"),
        ("i-b4", "5.2"),
    ];
    const STREAMS: usize = 20;
    // Streams from which on the rule counts.
    const MIN_TAKEN_UP: usize = 12;
    let journal = &case.journal;
    let store = Store::open(Ipv4Addr::new(127, 88, 3, 100));
    store.put("keyed.op", "config", &configuration(64, 1_500));
    let ip = Ipv4Addr::new(127, 88, 3, 200);
    let runners = IDS.map(|(id, version)| Runner::open((id, version, 64), ip, &store, journal));
    let mut entries = Entry::prepare(&ips(3, 4), &store, &case.scratch);
    start_all(&mut entries, journal);
    let one = entries[0].callers;
    let others: Vec<_> = entries[1..].iter().map(|e| e.callers).collect();
    let homes = find_homes(one, 300, journal);
    let parts = homes.get("i-a1").cloned().unwrap_or_default();
    if parts.len() <= STREAMS {
        give_up("too few parts of prompts have their homes at the runner that crashes");
    }
    let begun = Instant::now();
    if case.is_troubled {
        runners[0].crash(ms(2_000));
    }
    case.sleep_until(begun, 2_020);
    let brief = Attempt {
        id: "brief".to_owned(),
        part: parts[STREAMS].clone(),
        events: 1,
        deadline_ms: 12_000,
        ..Attempt::default()
    };
    send_once(one, &brief, journal);
    let callers: Vec<_> = parts[..STREAMS]
        .iter()
        .enumerate()
        .map(|(n, part)| {
            let (journal, other) = (journal.clone(), others[n % others.len()]);
            let attempt = Attempt {
                id: format!("stream-{n}"),
                part: part.clone(),
                events: 45,
                pause_ms: 200,
                deadline_ms: 12_000,
                ..Attempt::default()
            };
            thread::sleep(ms(4));
            thread::spawn(move || {
                let sent = Instant::now();
                let first = send_once(one, &attempt, &journal);
                if first.is_complete || first.events.is_empty() {
                    return None;
                }
                let left = 12_000_u64.saturating_sub(sent.elapsed().as_millis() as u64);
                let again = Attempt {
                    id: format!("{}-again", attempt.id),
                    deadline_ms: left,
                    resumes: Some((attempt.id.clone(), first.last_id)),
                    ..attempt
                };
                let second = send_once(other, &again, &journal);
                Some(!second.events.is_empty())
            })
        })
        .collect();
    case.sleep_until(begun, 6_500);
    if case.is_troubled {
        runners[0].crash(ms(2_000));
    }
    // New streams at the same entries, at the same time.
    let new: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (journal, other) = (journal.clone(), others[n % others.len()]);
            let attempt = Attempt {
                id: format!("new-{n}"),
                part: format!("{:x}", 0x7a11_0000 + n),
                events: 5,
                pause_ms: 100,
                deadline_ms: 12_000,
                ..Attempt::default()
            };
            thread::sleep(ms(10));
            thread::spawn(move || !send_once(other, &attempt, &journal).events.is_empty())
        })
        .collect();
    let share = |all: &[bool]| {
        all.iter().filter(|goes_on| **goes_on).count() as f64 / all.len().max(1) as f64
    };
    let taken_up: Vec<_> = callers
        .into_iter()
        .filter_map(|c| c.join().unwrap_or(None))
        .collect();
    let new: Vec<_> = new.into_iter().map(|c| c.join().unwrap_or(false)).collect();
    let (gone_on, begun) = (share(&taken_up), share(&new));
    journal.line(&format!(
        "{} streams taken up, share that goes on {gone_on:.2}; share of new streams that begin {begun:.2}",
        taken_up.len()
    ));
    let is_broken = taken_up.len() >= MIN_TAKEN_UP && gone_on < begun / 2.0;
    case.finish(
        usize::from(is_broken),
        0,
        "shares of streams taken up below half of new ones",
    )
}

/// A kind of request of the site's sheet: path, objective and time limit, tokens of the shared part and
/// of the request's own, events, and how many of a hundred requests are of it.
struct Kind {
    path: &'static str,
    objective_ms: u64,
    limit_ms: u64,
    tokens: (u64, u64),
    events: u64,
    share: u64,
}

const KINDS: [Kind; 3] = [
    Kind {
        path: "/digest/",
        objective_ms: 1_000,
        limit_ms: 12_000,
        tokens: (13_300, 3_720),
        events: 40,
        share: 36,
    },
    Kind {
        path: "/advice/",
        objective_ms: 1_500,
        limit_ms: 6_000,
        tokens: (6_300, 2_890),
        events: 17,
        share: 25,
    },
    Kind {
        path: "/note/",
        objective_ms: 1_500,
        limit_ms: 12_000,
        tokens: (350, 1_110),
        events: 57,
        share: 39,
    },
];

fn sheet_configuration() -> String {
    let plain = configuration(64, 1_000);
    let (start, rest) = plain.split_once("\"routes\":[").unwrap_or_default();
    let (_, end) = rest.split_once("],\"services\"").unwrap_or_default();
    let routes: Vec<String> = KINDS
        .iter()
        .map(|kind| {
            format!(
                "{{\"name\":\"{0}\",\"hostname\":\"h.example\",\"path_prefix\":\"{0}\",\"route_type\":\"streaming\",\
                 \"timeout_ms\":{1},\"target_latency_ms\":{2},\"priority\":1,\"service\":\"chive-llm\",\"max_attempts\":2,\
                 \"anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":250}}",
                kind.path, kind.limit_ms, kind.objective_ms
            )
        })
        .collect();
    format!("{start}\"routes\":[{}],\"services\"{end}", routes.join(","))
}

/// A quarter of the runners crash under the usual traffic and are back after 2 s. The callers take up
/// the streams that broke, at other entries, while the other runners serve.
fn crash(case: &Case) -> i32 {
    const RUNNERS: usize = 18;
    const CRASHING: usize = 4;
    // Requests a second, as on the sheet; traffic before the crash, and in all.
    const PER_S: f64 = 144.0;
    const CRASH_AT: Duration = Duration::from_secs(14);
    const TRAFFIC: Duration = Duration::from_secs(22);
    const MIN_TAKEN_UP: usize = 12;
    let journal = &case.journal;
    let store = Store::open(Ipv4Addr::new(127, 88, 4, 100));
    store.put("keyed.op", "config", &sheet_configuration());
    let ip = Ipv4Addr::new(127, 88, 4, 200);
    let runners: Vec<_> = (0..RUNNERS)
        .map(|n| {
            let id: &'static str = Box::leak(format!("i-{n}").into_boxed_str());
            let runner = Runner::open((id, "5.1", 64), ip, &store, journal);
            runner.speed.store(379, Ordering::SeqCst);
            runner
        })
        .collect();
    let mut entries = Entry::prepare(&ips(4, 4), &store, &case.scratch);
    start_all(&mut entries, journal);
    let addresses: Vec<_> = entries.iter().map(|e| e.callers).collect();
    let begun = Instant::now();
    let mut callers = Vec::new();
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut next = move |below: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % below
    };
    let mut crashed_at = None;
    let mut n = 0_usize;
    while begun.elapsed() < TRAFFIC {
        if crashed_at.is_none() && begun.elapsed() >= CRASH_AT {
            crashed_at = Some(Instant::now());
            for runner in runners.iter().take(CRASHING).filter(|_| case.is_troubled) {
                runner.crash(ms(2_000));
            }
        }
        let at = begun + Duration::from_secs_f64(n as f64 / PER_S);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        n += 1;
        let draw = next(100);
        let which = usize::from(draw >= KINDS[0].share)
            + usize::from(draw >= KINDS[0].share + KINDS[1].share);
        let kind = &KINDS[which];
        let (entry, other, thing) = (next(4) as usize, next(4) as usize, next(80));
        let attempt = Attempt {
            id: format!("stream-{n}"),
            path: Some(kind.path),
            tokens: Some(kind.tokens),
            part: format!("{:x}", 0x1000 * (which as u64 + 1) + thing),
            events: kind.events,
            pause_ms: 40,
            deadline_ms: kind.limit_ms,
            ..Attempt::default()
        };
        let (one, two) = (addresses[entry], addresses[other]);
        let journal = journal.clone();
        callers.push(thread::spawn(move || {
            let sent = Instant::now();
            let limit = attempt.deadline_ms;
            let first = send_once(one, &attempt, &journal);
            if first.is_complete || first.events.is_empty() {
                return (sent, !first.events.is_empty(), None);
            }
            let left = limit.saturating_sub(sent.elapsed().as_millis() as u64);
            let again = Attempt {
                id: format!("{}-again", attempt.id),
                deadline_ms: left,
                resumes: Some((attempt.id.clone(), first.last_id)),
                ..attempt
            };
            let second = send_once(two, &again, &journal);
            (sent, true, Some(!second.events.is_empty()))
        }));
    }
    let outcomes: Vec<_> = callers.into_iter().filter_map(|c| c.join().ok()).collect();
    let taken_up: Vec<bool> = outcomes.iter().filter_map(|(.., again)| *again).collect();
    // New streams since the crash, which lowers their share.
    let since = |sent: &Instant| crashed_at.is_some_and(|at| *sent >= at);
    let new: Vec<bool> = outcomes
        .iter()
        .filter(|(sent, ..)| since(sent))
        .map(|(_, began, _)| *began)
        .collect();
    let share = |all: &[bool]| all.iter().filter(|b| **b).count() as f64 / all.len().max(1) as f64;
    let (gone_on, begin) = (share(&taken_up), share(&new));
    journal.line(&format!(
        "{} streams taken up, share that goes on {gone_on:.2}; of {} new streams since the crash {begin:.2} begin; of all {} streams {:.2}",
        taken_up.len(),
        new.len(),
        outcomes.len(),
        outcomes.iter().filter(|(_, began, _)| *began).count() as f64 / outcomes.len().max(1) as f64,
    ));
    let is_broken = taken_up.len() >= MIN_TAKEN_UP && gone_on < begin / 2.0;
    case.finish(
        usize::from(is_broken),
        0,
        "shares of streams taken up below half of new ones",
    )
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, name, dir] = &args[..] else {
        give_up("usage: standin-2 CASE DIR");
    };
    let scratch = env::var("SCRATCH").unwrap_or_else(|_| give_up("no SCRATCH"));
    let case = Case {
        dir: dir.clone(),
        journal: Journal::open(dir),
        is_troubled: env::var("TROUBLE").as_deref() != Ok("0"),
        scratch,
    };
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        end_children();
        give_up("it takes too long");
    });
    let run = match &name[..] {
        "versions" => versions,
        "shutdown" => shutdown,
        "taken_up" => taken_up,
        "crash" => crash,
        _ => give_up("no such case"),
    };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&case)));
    end_children();
    process::exit(played.unwrap_or(2))
}
