//! Decisions that a deployment switches on.

use std::str;

/// Decisions that are switched on; by default none is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
pub struct Features {
    /// Learn how fast each model engine is, and weigh the homes of prompt parts by it.
    pub learned_capacity: bool,
    /// Send requests to a second home if that costs their callers and the fleet less.
    pub second_homes: bool,
    /// Start with what peers, engines and the store know of speeds and cached prompt parts.
    pub warm_start: bool,
    /// Give prompt parts a home in the availability zone that asks for them, where that has room.
    pub near_homes: bool,
    /// Leave the balancer's choice by the rate of arrivals, before the process is behind.
    pub early_leave: bool,
    /// Learn how much each model engine reads beside running streams without pausing them.
    pub pause_limit: bool,
}

/// A list of features that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown feature \"{0}\"; known are {known}", known = known())]
pub struct Error(pub String);

/// Accesses the switch of a feature.
type Switch = fn(&mut Features) -> &mut bool;

/// Names of the features.
const SWITCHES: [(&str, Switch); 6] = [
    ("learned_capacity", |f| &mut f.learned_capacity),
    ("second_homes", |f| &mut f.second_homes),
    ("warm_start", |f| &mut f.warm_start),
    ("near_homes", |f| &mut f.near_homes),
    ("early_leave", |f| &mut f.early_leave),
    ("pause_limit", |f| &mut f.pause_limit),
];

fn known() -> String {
    SWITCHES.map(|(name, _)| name).join(", ")
}

impl str::FromStr for Features {
    type Err = Error;

    /// Reads a list of names, separated by commas. An empty list switches nothing on.
    fn from_str(text: &str) -> Result<Self, Error> {
        let mut features = Self::default();
        for name in text.split(',').map(str::trim).filter(|n| !n.is_empty()) {
            let switch = SWITCHES.iter().find(|(known, _)| *known == name);
            let (_, switch) = switch.ok_or_else(|| Error(name.to_owned()))?;
            *switch(&mut features) = true;
        }
        Ok(features)
    }
}
