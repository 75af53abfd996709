//! Cases of parts of prompts, which may crash backend servers in whatever request they are.

use std::{collections, time};

use smallvec::SmallVec;

use super::{Case, Crash, Fingerprint, Loss, Standing, Table};

/// Maximum number of parts whose completions are remembered.
const MAX_COMPLETED: usize = 4_096;

/// Requests with a part of the prompt that were lost in one crash.
#[derive(Clone, Debug)]
pub struct PartLoss {
    /// The part.
    pub part: Fingerprint,
    /// Hashes of the other parts that all of these requests share.
    pub companions: SmallVec<[u64; 4]>,
    /// Hash of the content of one of the requests.
    pub request: u64,
    /// Longest time that one of them had been running.
    pub ran: time::Duration,
    /// True if one of them ran as the only suspect.
    pub alone: bool,
}

impl PartLoss {
    /// Returns the losses of one crash by the parts of their prompts.
    pub fn of_crash(lost: &[Loss]) -> Vec<Self> {
        let mut parts: collections::BTreeMap<Fingerprint, Self> = collections::BTreeMap::new();
        for loss in lost {
            for part in &loss.parts {
                let others = loss.parts.iter().filter(|other| *other != part);
                let companions: SmallVec<[u64; 4]> = others.map(|p| p.content).collect();
                let known = parts.entry(*part).or_insert_with(|| Self {
                    part: *part,
                    companions: companions.clone(),
                    request: loss.fingerprint.content,
                    ran: time::Duration::ZERO,
                    alone: false,
                });
                known.companions.retain(|part| companions.contains(part));
                known.ran = loss.ran.max(known.ran);
                if loss.alone {
                    (known.request, known.alone) = (loss.fingerprint.content, true);
                }
            }
        }
        parts.into_values().collect()
    }
}

impl Table {
    /// Returns the restrictions that apply to a request because of one of its parts. A quarantined
    /// part without one of its companions may be innocent, and is tried as a suspect.
    pub fn part_standing(&self, part: Fingerprint, parts: &[Fingerprint]) -> Standing {
        let Some(case) = self.cases.get(&part) else {
            return Standing::Clear;
        };
        let is_there = |companion: &u64| parts.iter().any(|part| part.content == *companion);
        match case.standing() {
            Standing::Quarantined if !case.companions.iter().all(is_there) => Standing::Suspect,
            standing => standing,
        }
    }

    /// Returns the part under which most backend servers crashed, if there is a suspect, so that all
    /// attempts with it meet at one backend server.
    ///
    /// # Errors
    ///
    /// The quarantined part, if there is one.
    pub fn suspect_part(&self, parts: &[Fingerprint]) -> Result<Option<Fingerprint>, Fingerprint> {
        let mut suspect = None;
        for part in parts.iter().copied() {
            match self.part_standing(part, parts) {
                Standing::Clear => {}
                Standing::Suspect => {
                    let crashes = self.get(part).map_or(0, |case| case.crashes.len());
                    suspect = suspect.max(Some((crashes, part)));
                }
                Standing::Quarantined => return Err(part),
            }
        }
        Ok(suspect.map(|(_, part)| part))
    }

    /// Records that a backend server, one of `servers`, crashed under requests with a part of the
    /// prompt. `server` is the hash of its process.
    pub fn on_part_crash(
        &mut self,
        now: time::Duration,
        loss: &PartLoss,
        server: u64,
        servers: usize,
    ) {
        self.record_crash(now, server);
        // A request may have run alone because of another part.
        let is_suspect = self.standing(loss.part) == Standing::Suspect;
        let crash = Crash {
            server,
            at: now,
            alone: loss.alone && is_suspect,
            chance: self.chance(now, servers, loss.ran),
            request: loss.request,
        };
        self.make_room(loss.part);
        let case = self.cases.entry(loss.part).or_default();
        case.is_part = true;
        case.intersect_companions(&loss.companions);
        self.add_crash(loss.part, crash);
        self.apply_completion(loss.part);
    }

    /// Records that a request with this part ran to completion. Returns whether this cleared the
    /// part of earlier crashes.
    pub fn on_part_completion(&mut self, now: time::Duration, part: Fingerprint) -> bool {
        let is_known = self.completed.contains_key(&part);
        if !is_known && self.completed.len() >= MAX_COMPLETED {
            return false;
        }
        self.completed.insert(part, now);
        let clears = self.cases.get(&part).is_some_and(Case::is_open);
        if clears {
            self.apply_completion(part);
        }
        clears
    }

    // Applies the last completion here to the case of a part.
    pub(super) fn apply_completion(&mut self, part: Fingerprint) {
        let completed = self.completed.get(&part).copied();
        if let Some(case) = self.cases.get_mut(&part).filter(|case| case.is_part) {
            case.completed_at = case.completed_at.max(completed);
            case.forget_cleared();
            self.update_digest();
        }
    }
}
