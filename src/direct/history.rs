//! How the list of backend servers changed of late, so that other entries are told what has changed and not all of it.
//!
//! Load pattern: three thousand backend servers, some of which come or go in any second, and three hundred entries that take
//! the list over from two. As a whole it is half a megabyte, for each of them and each time.

use std::collections;

use xxhash_rust::xxh3;

use super::plan;

/// Changes of the list that are remembered: those of a minute in which each second brings a few.
const STEPS: usize = 256;

/// Backend servers that one change names at most. A whole list is as good beyond that.
const NAMED: usize = 256;

/// A change of the list.
#[derive(Debug)]
struct Step {
    // Digest of the list before it.
    before: u64,
    ids: Vec<String>,
}

/// The list's digest, and its last changes.
#[derive(Debug, Default)]
pub struct History {
    lines: collections::HashMap<String, u64>,
    digest: u64,
    steps: collections::VecDeque<Step>,
}

impl History {
    /// Takes in the list as it is now; returns its digest.
    pub fn note<'a>(&mut self, servers: impl Iterator<Item = &'a plan::Server>) -> u64 {
        let lines: collections::HashMap<_, _> = servers.map(|s| (s.id.clone(), line(s))).collect();
        let changed = lines
            .iter()
            .filter(|(id, l)| self.lines.get(*id) != Some(l));
        let gone = self.lines.keys().filter(|id| !lines.contains_key(*id));
        let ids: Vec<String> = changed.map(|(id, _)| id).chain(gone).cloned().collect();
        // A sum, so that the order doesn't matter.
        let digest = lines.values().copied().fold(0, u64::wrapping_add);
        if ids.len() > NAMED {
            self.steps.clear();
        } else if !ids.is_empty() {
            let before = self.digest;
            self.steps.push_back(Step { before, ids });
        }
        if self.steps.len() > STEPS {
            self.steps.pop_front();
        }
        (self.lines, self.digest) = (lines, digest);
        digest
    }

    /// Ids of the backend servers that were added, changed or removed since the list had this digest; `None` if that
    /// isn't known any more.
    pub fn since(&self, digest: u64) -> Option<collections::BTreeSet<&str>> {
        let at = self.steps.iter().rposition(|step| step.before == digest)?;
        let ids = self.steps.range(at..).flat_map(|step| &step.ids);
        Some(ids.map(String::as_str).collect())
    }
}

// What other entries would act on, as a hash: not the number of a report.
fn line(server: &plan::Server) -> u64 {
    let start = server.report.start;
    let (id, service, address) = (&server.id, &server.service, server.address);
    let text = format!("{id} {service} {address} {} {start}", server.leaving);
    xxh3::xxh3_64(text.as_bytes())
}
