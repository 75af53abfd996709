//! Applies the platform's list to the membership table.

use std::{collections, time};

use crate::decide::member::{Event, Listing, Member, Table, digest};

/// Time for which most of the list must be missing before its processes count as deregistered. A
/// list that lost its content looks the same as a fleet that died, and it is likelier that the
/// fleet is alive.
const MASS_REMOVAL_GRACE: time::Duration = time::Duration::from_secs(300);

/// Number of processes that may vanish from the list at once without the list being doubted. In a
/// fleet this small, most of it may run on one machine.
const MASS_REMOVAL_FLOOR: usize = 4;

/// A row of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The process; its incarnation is 0 if the platform does not know it.
    pub member: Member,
    /// True if the platform reports the process as leaving.
    pub leaving: bool,
}

impl Table {
    /// Applies the platform's list, which lags and never takes precedence over a process's own
    /// statements.
    pub fn observe_list(&mut self, now: time::Duration, list: &[Listed]) {
        for listed in list {
            if listed.member.id != self.own.id {
                self.observe_listed(now, listed);
            }
        }
        let ids: collections::HashSet<&str> = list.iter().map(|l| l.member.id.as_str()).collect();
        let present = self
            .rows
            .values()
            .filter(|row| row.listing == Listing::Present);
        let (there, gone): (Vec<_>, Vec<_>) = present
            .map(|row| row.member.id.clone())
            .partition(|id| ids.contains(id.as_str()));
        if gone.len() > there.len().max(MASS_REMOVAL_FLOOR) {
            let since = *self.mass_removal_since.get_or_insert(now);
            if now.saturating_sub(since) < MASS_REMOVAL_GRACE {
                return;
            }
        } else {
            self.mass_removal_since = None;
        }
        for id in gone {
            if let Some(row) = self.rows.get_mut(&id) {
                row.listing = Listing::Deregistered(now);
            }
        }
    }

    fn observe_listed(&mut self, now: time::Duration, listed: &Listed) {
        let incarnation = listed.member.incarnation;
        // An old list still contains dead processes.
        let tombstone = self.tombstones.get(&listed.member.id);
        if tombstone.is_some_and(|tombstone| incarnation <= tombstone.incarnation) {
            return;
        }
        let known = self.rows.get(&listed.member.id);
        if known.is_none_or(|row| incarnation > row.member.incarnation) {
            self.tombstones.remove(&listed.member.id);
            self.insert_row(now, listed.member.clone(), Listing::Present);
            // Other processes have the list too; repeating every row as a change would fill the
            // digests of a starting fleet for minutes.
            if let Some(row) = self.rows.get_mut(&listed.member.id) {
                row.repeats = digest::HEARTBEAT_REPEATS;
            }
        }
        let repeats = self.repeats();
        let Some(row) = self.rows.get_mut(&listed.member.id) else {
            return;
        };
        if incarnation != 0 && incarnation < row.member.incarnation {
            return;
        }
        row.listing = Listing::Present;
        let was = row.listed_leaving || row.member.leaving;
        row.listed_leaving = listed.leaving;
        // Without an incarnation the platform may mean the process before a restart: its statement
        // then holds only until the next list and is not passed on.
        if listed.leaving && incarnation != 0 && !row.member.leaving {
            row.member.leaving = true;
            row.repeats = repeats;
            self.has_urgent_change = true;
        }
        if listed.leaving != was {
            self.version += 1;
        }
        if listed.leaving && !was {
            self.events.push(Event::Leaving(listed.member.id.clone()));
        }
    }
}
