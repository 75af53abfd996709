//! Asking a backend server about itself after its process may have ended.
//!
//! One that has started again is asked how long it stays cold before it gets requests, whatever the list says, and
//! without a list. The entry that decides about it asks, and broadcasts the answer; the others ask only if they hear nothing for long.

use std::{io, rc, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use prost::Message as _;

use super::peer::{self, message};
use super::{conn, dialect, forward, plan, state};
use crate::decide::{place, restart};
use crate::key;

/// Time for an answer: a backend server with a free slot needs a few milliseconds.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Pauses between tries while nobody listens at the address: the first for one that is back at once, the last bounds what one that
/// stays away costs.
const RETRY_FIRST: time::Duration = time::Duration::from_millis(100);
const RETRY_MAX: time::Duration = time::Duration::from_secs(1);

/// Time for which other entries wait for the deciding one's answer, which may be cut off from the backend server.
const DECIDER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Most bytes of an answer's body.
const BODY_BYTES: usize = 64 * 1024;

/// Why an answer can't be had.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// Nobody listens there, or the way there is cut.
    #[error("connect: {0}")]
    Connect(#[from] io::Error),
    /// No answer in time.
    #[error("no answer in time")]
    Silent,
    /// The connection broke, or the answer can't be read.
    #[error("broken: {0}")]
    Broken(String),
    /// Another instance has the address.
    #[error("another instance answers")]
    Replaced,
    /// It isn't listed any more, or doesn't describe itself.
    #[error("nothing to ask")]
    Nothing,
}

// What is to be asked, and whom.
struct Target {
    server: plan::Server,
    health_path: String,
    engine: bool,
}

impl state::Entry {
    /// Whether a backend server's answers tell one start of it from another.
    pub(super) fn describes_itself(&self, server: key::Sidecar) -> bool {
        let target = self.target(server);
        target.is_some_and(|t| !t.health_path.is_empty() || t.asks_report(&self.dialect))
    }

    fn target(&self, server: key::Sidecar) -> Option<Target> {
        let plan = self.plan()?;
        let backends = self.backends.borrow();
        let server = backends.get(server)?.server.clone();
        let service = plan.services.get(server.service.as_str())?;
        let health_path = if service.tells_cold() {
            service.health_path.clone()
        } else {
            String::new()
        };
        Some(Target {
            engine: service.engine,
            server,
            health_path,
        })
    }

    /// What is known of a backend server's process.
    pub(super) fn known_process(
        &self,
        server: key::Sidecar,
        lost_ago: time::Duration,
    ) -> restart::Known {
        let start = self
            .backends
            .borrow()
            .get(server)
            .map(|b| b.server.report.start);
        let service = self.target(server).and_then(|t| {
            let plan = self.plan()?;
            plan.services.get(t.server.service.as_str()).cloned()
        });
        restart::Known {
            start: start.unwrap_or_default(),
            cold: self.fleet.borrow().cold_for(self.now(), server),
            cold_start: service.map_or(time::Duration::ZERO, |s| s.cold_start),
            lost_ago,
        }
    }

    /// The process of a backend server may be another one than before: it gets nothing until it has been asked how cold it is.
    pub(super) fn suspend(self: &rc::Rc<Self>, server: key::Sidecar, is_broadcast: bool) {
        let tells_cold = self
            .target(server)
            .is_some_and(|t| !t.health_path.is_empty());
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(server).filter(|_| tells_cold) else {
            return;
        };
        if std::mem::replace(&mut backend.unverified, true) {
            return;
        }
        backend.idle.clear();
        let hash = backend.hash;
        self.log
            .line("backend_suspended")
            .with("backend", &backend.server.id);
        drop(backends);
        verify_pending(self);
        self.judge();
        if is_broadcast {
            self.broadcast_inspection(message::Inspection {
                server: hash,
                ended: true,
                ..message::Inspection::default()
            });
        }
    }

    fn is_unverified(&self, server: key::Sidecar) -> bool {
        let backends = self.backends.borrow();
        backends.get(server).is_some_and(|b| b.unverified)
    }

    /// Takes in what a backend server says of itself, and broadcasts it; it may get requests again.
    pub(super) fn verified(&self, server: key::Sidecar, answer: restart::Answer) {
        let Some(hash) = self.server_hash(server) else {
            return;
        };
        self.log
            .line("backend_verified")
            .with("backend", self.server_id(server))
            .with("start", answer.start)
            .ms("cold_ms", answer.cold.unwrap_or_default());
        self.fleet.borrow_mut().forget_parts(server);
        self.apply_answer(server, answer);
        let cold_ms = answer.cold.unwrap_or_default().as_millis() as u32;
        self.broadcast_inspection(message::Inspection {
            server: hash,
            start: answer.start,
            cold_ms,
            ended: false,
        });
    }

    fn apply_answer(&self, server: key::Sidecar, answer: restart::Answer) {
        let server = self.replace_process(server, answer);
        if let Some(backend) = self.backends.borrow_mut().get_mut(server) {
            backend.unverified = false;
            backend.ended = time::Duration::ZERO;
        }
        self.set_cold_for(server, answer.cold);
        self.judge();
    }

    fn set_cold_for(&self, server: key::Sidecar, cold: Option<time::Duration>) {
        let (Some(cold), Some(plan)) = (cold, self.plan()) else {
            return;
        };
        let per_s = {
            let backends = self.backends.borrow();
            let service = backends.get(server).map(|b| b.server.service.as_str());
            let service = service.and_then(|service| plan.services.get(service));
            service.map_or(0.0, |service| service.cold_per_s)
        };
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_cold(now, server, now + cold, per_s);
    }

    // Forgets what is known of an earlier process if the answer is of a later one. Returns the key of the process that answered.
    fn replace_process(&self, server: key::Sidecar, answer: restart::Answer) -> key::Sidecar {
        let known = self.backends.borrow().get(server).map(|b| b.server.clone());
        let earlier = known.filter(|k| k.report.start != 0 && k.report.start < answer.start);
        let Some(earlier) = earlier else {
            return server;
        };
        let id = earlier.id.clone();
        let report = plan::Report {
            start: answer.start,
            number: 0,
        };
        let cold_ms = answer.cold.unwrap_or_default().as_millis() as u32;
        self.take(plan::News::Listed(plan::Server {
            cold_ms,
            report,
            ..earlier
        }));
        self.keys.borrow().get(&id).copied().unwrap_or(server)
    }

    fn broadcast_inspection(&self, inspection: message::Inspection) {
        let Some(link) = &self.link else { return };
        if !inspection.ended {
            self.inspections.add(inspection);
        }
        let datagram = message::Datagram {
            inspections: vec![inspection],
            ..peer::envelope(self, link)
        };
        let bytes = datagram.encode_to_vec();
        for address in self.peers.borrow().addresses() {
            link.send_bytes(address, &bytes);
        }
    }

    /// Another entry found that a backend server's process ended, or what it says of itself since.
    pub(super) fn on_inspection(self: &rc::Rc<Self>, inspection: &message::Inspection) {
        let Some(server) = self.server_by_hash(inspection.server) else {
            return;
        };
        if inspection.ended {
            self.suspend(server, false);
            return;
        }
        let answer = restart::Answer {
            start: inspection.start,
            cold: Some(time::Duration::from_millis(inspection.cold_ms.into())),
        };
        self.apply_answer(server, answer);
    }

    /// Whether another entry decides about a cold backend server, so that this one leaves it alone.
    pub fn leaves_to_decider(&self, server: key::Sidecar) -> bool {
        let cold = self.fleet.borrow().cold_for(self.now(), server);
        let hash = self.server_hash(server);
        !cold.is_zero() && hash.is_some_and(|hash| !self.peers.borrow().decides(hash))
    }

    /// Takes in how many other entries may decide about cold backend servers as well.
    pub(super) fn share_cold(&self) {
        let peers = self.peers.borrow();
        let share = place::cold_share(peers.entries(), peers.lost());
        let now = self.now();
        self.fleet.borrow_mut().set_cold_share(now, share);
    }

    /// A backend server said in an answer for how long it stays cold.
    pub(super) fn said_cold(&self, server: key::Sidecar, cold: time::Duration) {
        let was_cold = !self.fleet.borrow().cold_for(self.now(), server).is_zero();
        self.set_cold_for(server, Some(cold));
        let Some(hash) = self
            .server_hash(server)
            .filter(|_| !was_cold && !cold.is_zero())
        else {
            return;
        };
        self.broadcast_inspection(message::Inspection {
            server: hash,
            cold_ms: cold.as_millis() as u32,
            ..message::Inspection::default()
        });
    }
}

/// Asks the backend servers of which nobody does so yet whether they may get requests.
pub fn verify_pending(entry: &rc::Rc<state::Entry>) {
    let mut pending = smallvec::SmallVec::<[key::Sidecar; 8]>::new();
    for (server, backend) in entry.backends.borrow_mut().iter_mut() {
        if backend.unverified && !std::mem::replace(&mut backend.is_asked, true) {
            pending.push(server);
        }
    }
    for server in pending {
        tokio::task::spawn_local(verify(rc::Rc::clone(entry), server));
    }
}

// Asks a backend server that may have started again until it answers or another entry tells.
async fn verify(entry: rc::Rc<state::Entry>, server: key::Sidecar) {
    ask_until_known(&entry, server).await;
    if let Some(backend) = entry.backends.borrow_mut().get_mut(server) {
        backend.is_asked = false;
    }
}

async fn ask_until_known(entry: &rc::Rc<state::Entry>, server: key::Sidecar) {
    let begun = entry.now();
    let mut pause = RETRY_FIRST;
    while entry.is_unverified(server) {
        let waited = entry.now().saturating_sub(begun);
        let hash = entry.server_hash(server).unwrap_or_default();
        let decides = entry.peers.borrow().decides(hash);
        let may_ask = entry.may_ask(server);
        if may_ask && (decides || waited >= DECIDER_TIMEOUT) {
            match ask(entry, server).await {
                Ok(answer) => {
                    let answer = restart::Answer {
                        cold: answer.cold.or(entry.full_cold(server)),
                        ..answer
                    };
                    if entry.is_unverified(server) {
                        entry.verified(server, answer);
                    }
                    return;
                }
                Err(Error::Replaced) => return entry.replaced(server),
                Err(err) => {
                    entry.meter.count("inspections", "failed");
                    log::debug!(event = "inspection_failed", error:% = err; "");
                }
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}

impl state::Entry {
    // A zone that is evacuated gets no questions either.
    pub(super) fn may_ask(&self, server: key::Sidecar) -> bool {
        let backends = self.backends.borrow();
        backends
            .get(server)
            .is_some_and(|b| !self.zones.contain(&b.server))
    }

    // What to take for its time if it has started again and doesn't say.
    fn full_cold(&self, server: key::Sidecar) -> Option<time::Duration> {
        let plan = self.plan()?;
        let backends = self.backends.borrow();
        let service = plan
            .services
            .get(backends.get(server)?.server.service.as_str())?;
        Some(service.cold_start)
    }
}

impl Target {
    // Only processes that start again under their id say when they started.
    fn asks_report(&self, dialect: &dialect::Dialect) -> bool {
        self.engine && self.server.report.start != 0 && !dialect.report_path.is_empty()
    }
}

/// What a backend server says of itself.
pub(super) async fn ask(
    entry: &state::Entry,
    server: key::Sidecar,
) -> Result<restart::Answer, Error> {
    let target = entry.target(server).ok_or(Error::Nothing)?;
    entry.meter.count("inspections", "asked");
    entry.meter.count("connections", "backend");
    let asked = ask_target(&entry.dialect, &target);
    tokio::time::timeout(ANSWER_TIMEOUT + entry.slack(), asked)
        .await
        .unwrap_or(Err(Error::Silent))
}

async fn ask_target(dialect: &dialect::Dialect, target: &Target) -> Result<restart::Answer, Error> {
    let mut conn = conn::open(target.server.address).await?;
    let mut answer = restart::Answer::default();
    if !target.health_path.is_empty() {
        let (head, _) = get(&mut conn, target, &target.health_path).await?;
        let instance = head.headers.get(&dialect.instance);
        if instance.is_some_and(|i| i.as_bytes() != target.server.id.as_bytes()) {
            return Err(Error::Replaced);
        }
        answer.cold = cold(dialect, &head.headers);
        if forward::closes(&head.headers) && target.asks_report(dialect) {
            conn = conn::open(target.server.address).await?;
        }
    }
    if target.asks_report(dialect) {
        let (_, body) = get(&mut conn, target, dialect.report_path).await?;
        answer.start = (dialect.report_start)(&body).unwrap_or_default();
    }
    Ok(answer)
}

async fn get(
    conn: &mut conn::Conn,
    target: &Target,
    path: &str,
) -> Result<(http::response::Parts, Bytes), Error> {
    let broken = |err: &dyn std::fmt::Display| Error::Broken(err.to_string());
    if !conn.ready().await {
        return Err(Error::Broken("closed".into()));
    }
    let req = http::Request::get(path)
        .header(http::header::HOST, target.server.address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|err| broken(&err))?;
    let response = conn.send(req).await.map_err(|err| match err {
        conn::Failure::NotSent(err) | conn::Failure::Lost(err) => broken(&err),
    })?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, BODY_BYTES).collect().await;
    let body = body.map_err(|err| broken(&err))?;
    Ok((head, body.to_bytes()))
}

/// For how long a backend server stays cold by an answer's headers, if they say so.
pub(super) fn cold(
    dialect: &dialect::Dialect,
    headers: &http::HeaderMap,
) -> Option<time::Duration> {
    let ms: f64 = headers
        .get(&dialect.cold)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    let is_time = ms.is_finite() && ms >= 0.0;
    is_time.then(|| time::Duration::from_secs_f64(ms.min(MAX_COLD_MS) / 1e3))
}

/// Longest time for which a backend server is taken for cold by its word; a slip of its units costs no more.
const MAX_COLD_MS: f64 = 600_000.0;
