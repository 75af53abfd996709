//! The one sidecar of a service that decides about an explicit idempotency key.
//!
//! Fault: the same non-idempotent request arrives at two entries whose views of the fleet differ,
//! while sidecars crash, restart empty, pause, or are cut off. Without one deciding place the call
//! runs twice. The home of a key is the first sidecar by rendezvous hash (Thaler & Ravishankar,
//! 1998); it runs the call itself and refuses whenever another sidecar may have run it or may yet.
//!
//! Rules, each of which the interleaving test in `tests/home.rs` needs:
//! 1. A sidecar starts keyed calls only within [`Terms::lease`] of its last confirmation by the
//!    list, counted from when that read was sent.
//! 2. A member that leaves the list is remembered for [`Terms::hold`]; meanwhile nobody takes over
//!    the keys it decided about, unless it gave all of them away.
//! 3. A sidecar that joins decides about a key only once the member that decided before has
//!    recorded it, refuses the key from then on, and has given what it remembers.
//! 4. A reply tells which members the replier knows and which of them it has dealt with, so that
//!    a joining sidecar learns of members that its own list does not show.
//! 5. Without a settled replier the history is unknown: nothing is decided for a whole hold.
//! 6. A sidecar unconfirmed for the retention may be forgotten by others, so it joins again.
//!
//! The proof assumes that a read of the list shows all changes older than [`Terms::list_lag`], that
//! a relisted instance stays listed for longer than lease and lag, and that a monotonic clock goes
//! on during a pause. See `docs/design/idempotency.md`.

use std::{sync, time};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::code;

/// How long a key is remembered from its start. Callers that ask again do so within a few
/// minutes, and the table of keys has to hold this long at full rate.
pub const RETENTION: time::Duration = time::Duration::from_secs(300);
/// How long a confirmation by the list lasts: several reads may fail before keyed calls stop.
pub const LEASE: time::Duration = time::Duration::from_secs(10);
/// Assumed bound on the lag of the platform's list. A platform that lags more needs a higher one.
pub const LIST_LAG: time::Duration = time::Duration::from_secs(5);
/// Allowance for clock rates that differ and for the time from the check to the start.
pub const MARGIN: time::Duration = time::Duration::from_secs(3);

/// Durations that all sidecars of a service must agree on.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// See [`RETENTION`].
    pub retention: time::Duration,
    /// See [`LEASE`].
    pub lease: time::Duration,
    /// See [`LIST_LAG`].
    pub list_lag: time::Duration,
    /// See [`MARGIN`].
    pub margin: time::Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            retention: RETENTION,
            lease: LEASE,
            list_lag: LIST_LAG,
            margin: MARGIN,
        }
    }
}

impl Terms {
    /// How long a vanished member is remembered: its last start came at most a lag and a lease
    /// after it left the list, and one more lag passes until its return is seen everywhere.
    pub fn hold(&self) -> time::Duration {
        self.retention + self.lease + 2 * self.list_lag + self.margin
    }
}

/// What is known about the service's past when a sidecar starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum History {
    /// Other sidecars may have run keyed calls within the hold.
    Unknown,
    /// The operator states that no sidecar of this service ran within the hold.
    Fresh,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Identity of the sidecar.
    pub id: sync::Arc<str>,
    /// Incarnation, if the list tells it.
    pub incarnation: Option<u64>,
}

/// A member as one sidecar describes it to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// Identity of the member.
    pub id: sync::Arc<str>,
    /// Its incarnation, 0 if not known.
    pub incarnation: u64,
    /// How long ago it vanished, `None` if it is live.
    pub gone_age: Option<time::Duration>,
    /// It left and gave all its keys to the sidecar that says this.
    pub complete: bool,
    /// It knows the sidecar that says this as a member and has handed over to it.
    pub handed: bool,
}

/// A question that [`Table::asks`] wants sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The member to ask.
    pub id: sync::Arc<str>,
    /// Number of the join this question belongs to; replies to earlier joins are ignored.
    pub round: u64,
}

/// The answer to a question; the keys travel beside it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// False if the asked sidecar is leaving or knows a newer incarnation of the asker.
    pub accepted: bool,
    /// Incarnation of the asked sidecar.
    pub incarnation: u64,
    /// Every sidecar that could decide about a key knows the asked one as a member.
    pub settled: bool,
    /// Members that the asked sidecar knows.
    pub members: Vec<Known>,
    /// Newest incarnation of the asker known before the question, 0 if none.
    pub known_incarnation: u64,
}

/// Whether this sidecar decides about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It does, and may start the call now.
    Mine,
    /// Another sidecar does.
    Elsewhere(sync::Arc<str>),
    /// A sidecar that decided before was lost with its memory.
    Lost {
        /// When the key can be decided about again, if nothing else is lost.
        until: time::Duration,
    },
    /// A member that decided before has not handed over yet.
    NotReady,
    /// The lease has lapsed.
    Fenced,
    /// This sidecar is leaving.
    Leaving,
}

impl Verdict {
    /// The result code of a refusal, `None` if the call may start.
    pub fn code(&self) -> Option<code::Code> {
        match self {
            Self::Mine => None,
            Self::Lost { .. } => Some(code::Code::KeyHomeLost),
            Self::Leaving => Some(code::Code::Leaving),
            Self::Elsewhere(_) | Self::NotReady | Self::Fenced => {
                Some(code::Code::KeyHomeUnreachable)
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Listed after this sidecar settled, and has not asked: it decides nothing of ours yet.
    Joining,
    Live,
    Gone {
        since: time::Duration,
    },
}

/// What a member said about another one when it handed over.
#[derive(Clone, Copy, Debug)]
struct Vouch {
    hash: u64,
    incarnation: u64,
    complete: bool,
}

#[derive(Clone, Debug)]
struct Member {
    id: sync::Arc<str>,
    hash: u64,
    incarnation: u64,
    state: State,
    /// It has recorded this sidecar as a member and given what it remembers.
    handed: bool,
    /// It left and gave everything to this sidecar.
    complete: bool,
    /// It was settled when it handed over.
    settled: bool,
    vouches: Vec<Vouch>,
}

impl Member {
    fn live(&self) -> bool {
        self.state == State::Live
    }

    fn vouch(&self, other: &Self) -> Option<&Vouch> {
        self.vouches
            .iter()
            .find(|v| v.hash == other.hash && v.incarnation == other.incarnation)
    }
}

/// One sidecar's view of who decides about keys in its service.
#[derive(Clone, Debug)]
pub struct Table {
    terms: Terms,
    id: sync::Arc<str>,
    hash: u64,
    incarnation: u64,
    history: History,
    members: Vec<Member>,
    /// Number of the current join.
    round: u64,
    joined_at: time::Duration,
    first_confirmed: Option<time::Duration>,
    confirmed: Option<time::Duration>,
    viewed: Option<time::Duration>,
    /// The history is known; it stays known until the next join.
    known: bool,
    leaving: bool,
}

impl Table {
    /// The table of a sidecar that has just started.
    pub fn open(
        now: time::Duration,
        id: &str,
        incarnation: u64,
        terms: Terms,
        history: History,
    ) -> Self {
        Self {
            terms,
            id: id.into(),
            hash: xxh3::xxh3_64(id.as_bytes()),
            incarnation,
            history,
            members: Vec::new(),
            round: 0,
            joined_at: now,
            first_confirmed: None,
            confirmed: None,
            viewed: None,
            known: false,
            leaving: false,
        }
    }

    /// Takes in a list that was asked for at `asked_at`. Failed reads are not reported.
    pub fn listed(&mut self, asked_at: time::Duration, now: time::Duration, list: &[Listed]) {
        let gap = self
            .viewed
            .is_none_or(|at| at + self.terms.lease < asked_at);
        self.viewed = Some(asked_at);
        if list
            .iter()
            .any(|l| l.id == self.id && l.incarnation.is_none_or(|i| i == self.incarnation))
        {
            self.confirm(asked_at, now);
        }
        let settled = self.settled();
        let own = sync::Arc::clone(&self.id);
        for l in list.iter().filter(|l| l.id != own) {
            self.see(l, now, settled);
        }
        for m in &mut self.members {
            let listed = list
                .iter()
                .any(|l| l.id == m.id && matches(l, m.incarnation));
            match m.state {
                State::Live if !listed => m.state = State::Gone { since: now },
                // A member may have come and gone while this sidecar was not looking.
                State::Gone { .. } if gap => m.state = State::Gone { since: now },
                _ => {}
            }
        }
        let hold = self.terms.hold();
        self.members.retain(|m| match m.state {
            State::Joining => list
                .iter()
                .any(|l| l.id == m.id && matches(l, m.incarnation)),
            State::Live => true,
            State::Gone { since } => since + hold > asked_at,
        });
        self.learn(asked_at);
    }

    /// The members that have to hand over to this sidecar. Ask each until it has replied.
    pub fn asks(&self) -> SmallVec<[Ask; 8]> {
        self.members
            .iter()
            .filter(|m| m.live() && !m.handed)
            .map(|m| Ask {
                id: sync::Arc::clone(&m.id),
                round: self.round,
            })
            .collect()
    }

    /// Answers a sidecar that joins. From now on this one refuses the keys for which
    /// [`Table::outranked`] is true, and the reply has to carry what it remembers of them.
    pub fn answer(&mut self, now: time::Duration, id: &str, incarnation: u64) -> Reply {
        let known_incarnation = self.newest(id);
        let accepted = !self.leaving && known_incarnation <= incarnation && *self.id != *id;
        let settled = self.settled();
        if accepted {
            self.admit(now, id, incarnation, settled);
        }
        Reply {
            accepted,
            incarnation: self.incarnation,
            settled,
            members: self.describe(now, id, incarnation),
            known_incarnation,
        }
    }

    /// Takes in a reply whose keys have all been stored. If they could not be, leave it out.
    pub fn handed(&mut self, now: time::Duration, ask: &Ask, reply: &Reply) {
        if ask.round != self.round || !reply.accepted {
            return;
        }
        for known in &reply.members {
            self.hear(now, known);
        }
        self.replace(now, &ask.id, reply.incarnation);
        let Some(at) = self.find(&ask.id, reply.incarnation) else {
            return;
        };
        let m = &mut self.members[at];
        m.handed = true;
        m.settled = reply.settled;
        m.vouches = reply
            .members
            .iter()
            .filter(|k| k.complete || k.handed)
            .map(|k| Vouch {
                hash: xxh3::xxh3_64(k.id.as_bytes()),
                incarnation: k.incarnation,
                complete: k.complete,
            })
            .collect();
        self.learn(self.viewed.unwrap_or_default());
    }

    /// A member that leaves has given all its keys, and they have been stored.
    pub fn given(&mut self, now: time::Duration, id: &str, incarnation: u64) {
        self.replace(now, id, incarnation);
        let at = self.find(id, incarnation).unwrap_or_else(|| {
            self.members.push(member(id, incarnation, State::Live));
            self.members.len() - 1
        });
        let m = &mut self.members[at];
        m.complete = true;
        if !matches!(m.state, State::Gone { .. }) {
            m.state = State::Gone { since: now };
        }
    }

    /// Stops deciding. Give every key remembered to each of the members returned.
    pub fn leave(&mut self) -> SmallVec<[sync::Arc<str>; 8]> {
        self.leaving = true;
        let live = self
            .members
            .iter()
            .filter(|m| !matches!(m.state, State::Gone { .. }));
        live.map(|m| sync::Arc::clone(&m.id)).collect()
    }

    /// Whether a member ranks above this sidecar for a key, so that its handover contains the key.
    pub fn outranked(&self, id: &str, customer: &str, key: &str) -> bool {
        let key = hash(customer, key);
        let other = xxh3::xxh3_64(id.as_bytes());
        order(other, key) > order(self.hash, key)
    }

    /// Whether this sidecar may start the call with this key now. Check it at the moment of start.
    pub fn verdict(&self, now: time::Duration, customer: &str, key: &str) -> Verdict {
        if self.leaving {
            return Verdict::Leaving;
        }
        if self.confirmed.is_none_or(|at| at + self.terms.lease <= now) {
            return Verdict::Fenced;
        }
        let key = hash(customer, key);
        let own = order(self.hash, key);
        let above = self
            .members
            .iter()
            .filter(|m| m.live() && order(m.hash, key) > own);
        if let Some(home) = above.max_by_key(|m| order(m.hash, key)) {
            return Verdict::Elsewhere(sync::Arc::clone(&home.id));
        }
        self.inherit(key)
    }

    /// The verdict if no live member ranks above this sidecar.
    fn inherit(&self, key: u64) -> Verdict {
        let cover = self
            .members
            .iter()
            .filter(|m| m.live() && m.handed && m.settled)
            .max_by_key(|m| order(m.hash, key));
        let mut waits = false;
        let mut lost = None;
        if !self.known && cover.is_none() {
            lost = Some(self.joined_at);
        }
        for m in self.members.iter().filter(|m| self.matters(m, cover, key)) {
            match m.state {
                State::Joining => {}
                State::Live => waits = true,
                State::Gone { since } => lost = lost.max(Some(since)),
            }
        }
        match lost {
            Some(since) => Verdict::Lost {
                until: since + self.terms.hold(),
            },
            None if waits => Verdict::NotReady,
            None => Verdict::Mine,
        }
    }

    /// Whether a member may have run the key, or may yet, without this sidecar's knowledge.
    fn matters(&self, m: &Member, cover: Option<&Member>, key: u64) -> bool {
        let vouch = cover.and_then(|c| c.vouch(m));
        if m.complete || vouch.is_some_and(|v| v.complete) {
            return false;
        }
        // An earlier incarnation of this sidecar has the same rank and counts as above.
        if order(m.hash, key) >= order(self.hash, key) {
            return true;
        }
        let covered = cover.is_some_and(|c| order(c.hash, key) > order(m.hash, key));
        !(m.handed || covered && vouch.is_some())
    }

    fn confirm(&mut self, asked_at: time::Duration, now: time::Duration) {
        if self
            .confirmed
            .is_some_and(|at| at + self.terms.retention <= now)
        {
            self.rejoin(now);
        }
        self.confirmed = self.confirmed.max(Some(asked_at));
        self.first_confirmed = self.first_confirmed.or(Some(now));
    }

    fn rejoin(&mut self, now: time::Duration) {
        self.round += 1;
        self.joined_at = now;
        self.first_confirmed = None;
        self.history = History::Unknown;
        self.known = false;
        for m in &mut self.members {
            m.handed = false;
            m.settled = false;
            m.vouches.clear();
            if m.state == State::Joining {
                m.state = State::Live;
            }
        }
    }

    fn see(&mut self, l: &Listed, now: time::Duration, settled: bool) {
        if let Some(incarnation) = l.incarnation {
            self.replace(now, &l.id, incarnation);
        }
        let at = match l.incarnation {
            Some(incarnation) => self.find(&l.id, incarnation),
            None => self.find_newest(&l.id),
        };
        match at.map(|at| &mut self.members[at]) {
            Some(m) if matches!(m.state, State::Gone { .. }) && !m.complete => {
                m.state = State::Live;
            }
            Some(_) => {}
            None => {
                let state = if settled { State::Joining } else { State::Live };
                let incarnation = l.incarnation.unwrap_or(0);
                self.members.push(member(&l.id, incarnation, state));
            }
        }
    }

    /// Adds a member that a reply names. What the reply says of its keys holds only together with
    /// the replier's, so it is kept there.
    fn hear(&mut self, now: time::Duration, known: &Known) {
        let same = *known.id == *self.id;
        if same && known.incarnation == self.incarnation {
            return;
        }
        // A member without a known incarnation is the one that is known here with its own.
        if known.incarnation == 0 && self.newest(&known.id) > 0 {
            return;
        }
        if !same {
            self.replace(now, &known.id, known.incarnation);
        }
        let since = now.saturating_sub(known.gone_age.unwrap_or_default());
        let gone = State::Gone { since };
        if let Some(at) = self.find(&known.id, known.incarnation) {
            let m = &mut self.members[at];
            if known.complete && !matches!(m.state, State::Gone { .. }) {
                m.state = gone;
            }
            return;
        }
        let newer = self.newest(&known.id) > known.incarnation;
        let live = known.gone_age.is_none() && !same && !newer;
        let state = if live { State::Live } else { gone };
        self.members
            .push(member(&known.id, known.incarnation, state));
    }

    fn admit(&mut self, now: time::Duration, id: &str, incarnation: u64, settled: bool) {
        self.replace(now, id, incarnation);
        if let Some(at) = self.find(id, incarnation) {
            let m = &mut self.members[at];
            m.handed |= settled && m.state == State::Joining;
            m.state = State::Live;
            return;
        }
        let mut m = member(id, incarnation, State::Live);
        m.handed = settled;
        self.members.push(m);
    }

    /// Older incarnations of a member are gone once a newer one is known.
    fn replace(&mut self, now: time::Duration, id: &str, incarnation: u64) {
        for m in self.members.iter_mut().filter(|m| *m.id == *id) {
            if m.incarnation == 0 {
                m.incarnation = incarnation;
            } else if m.incarnation < incarnation && !matches!(m.state, State::Gone { .. }) {
                m.state = State::Gone { since: now };
            }
        }
    }

    /// Latches that the history is known.
    fn learn(&mut self, asked_at: time::Duration) {
        let handed = self.members.iter().filter(|m| m.live()).all(|m| m.handed);
        let told = handed && self.members.iter().any(|m| m.live() && m.settled);
        let wait = match self.history {
            History::Unknown => Some(self.joined_at + self.terms.hold()),
            History::Fresh => self.first_confirmed.map(|at| at + self.terms.list_lag),
        };
        self.known |= told || wait.is_some_and(|at| at <= asked_at);
    }

    fn settled(&self) -> bool {
        self.known && self.members.iter().filter(|m| m.live()).all(|m| m.handed)
    }

    fn describe(&self, now: time::Duration, id: &str, incarnation: u64) -> Vec<Known> {
        let others = self
            .members
            .iter()
            .filter(|m| *m.id != *id || m.incarnation != incarnation);
        others
            .map(|m| Known {
                id: sync::Arc::clone(&m.id),
                incarnation: m.incarnation,
                gone_age: match m.state {
                    State::Gone { since } => Some(now.saturating_sub(since)),
                    State::Joining | State::Live => None,
                },
                complete: m.complete,
                handed: m.handed,
            })
            .collect()
    }

    fn find(&self, id: &str, incarnation: u64) -> Option<usize> {
        let same = |m: &Member| *m.id == *id && m.incarnation == incarnation;
        self.members.iter().position(same)
    }

    fn find_newest(&self, id: &str) -> Option<usize> {
        let newest = self.newest(id);
        self.find(id, newest)
    }

    fn newest(&self, id: &str) -> u64 {
        let same = self.members.iter().filter(|m| *m.id == *id);
        same.map(|m| m.incarnation).max().unwrap_or(0)
    }
}

/// The sidecars in the order in which they decide about a key, the home first.
pub fn rank<'a>(
    ids: impl IntoIterator<Item = &'a str>,
    customer: &str,
    key: &str,
) -> SmallVec<[&'a str; 16]> {
    let key = hash(customer, key);
    let mut ids: SmallVec<[&str; 16]> = ids.into_iter().collect();
    ids.sort_by_cached_key(|id| std::cmp::Reverse(order(xxh3::xxh3_64(id.as_bytes()), key)));
    ids
}

fn member(id: &str, incarnation: u64, state: State) -> Member {
    Member {
        id: id.into(),
        hash: xxh3::xxh3_64(id.as_bytes()),
        incarnation,
        state,
        handed: false,
        complete: false,
        settled: false,
        vouches: Vec::new(),
    }
}

fn matches(l: &Listed, incarnation: u64) -> bool {
    l.incarnation.is_none_or(|i| i == incarnation)
}

fn hash(customer: &str, key: &str) -> u64 {
    xxh3::xxh3_64_with_seed(key.as_bytes(), xxh3::xxh3_64(customer.as_bytes()))
}

/// Rank of a member for a key; ties are broken by the member's hash.
fn order(member: u64, key: u64) -> (u64, u64) {
    (xxh3::xxh3_64_with_seed(&key.to_le_bytes(), member), member)
}
