//! What the fleet spends on itself: processor time and memory of processes without a request.

use std::{thread, time};

use crate::Error;
use crate::process::{self, Process};

/// Entries and sidecars of each point.
const POINTS: [(usize, usize); 4] = [(2, 8), (2, 32), (8, 8), (8, 32)];

/// How long the fleet gets to link and settle.
const SETTLE: time::Duration = time::Duration::from_secs(8);

/// How long processor time is counted.
const COUNTED: time::Duration = time::Duration::from_secs(20);

struct Spent {
    core_percent: f64,
    kib: u64,
}

/// Measures all points.
pub fn run() -> Result<String, Error> {
    println!("entries sidecars entry_core_percent entry_KiB sidecar_core_percent sidecar_KiB");
    let mut last = String::new();
    for (entries, sidecars) in POINTS {
        let [entry, sidecar] = point(entries, sidecars)?;
        println!(
            "{entries} {sidecars} {:.3} {} {:.3} {}",
            entry.core_percent, entry.kib, sidecar.core_percent, sidecar.kib
        );
        last = format!(
            "case=idle entries={entries} sidecars={sidecars} entry_core_percent={:.3} \
             sidecar_core_percent={:.3}",
            entry.core_percent, sidecar.core_percent
        );
    }
    Ok(last)
}

fn point(entries: usize, sidecars: usize) -> Result<[Spent; 2], Error> {
    let log = Process::start("chivebend-standin", &["log".to_owned()])?;
    let list = Process::start("chivebend-standin", &["instances".to_owned()])?;
    process::publish(log.addr("listening=")?, "8")?;
    let start = |role: &str, count: usize, more: &[&str]| -> Result<Vec<Process>, Error> {
        (0..count)
            .map(|number| {
                let mut args = process::settings(&format!("{role}{number}"), &log, &list)?;
                args.extend(more.iter().map(|word| (*word).to_owned()));
                Process::start(&format!("chivebend-{role}"), &args)
            })
            .collect()
    };
    let backend = ["--service", "llm", "--backend-address", "127.0.0.1:9"];
    let fleet = [
        start("entry", entries, &[])?,
        start("sidecar", sidecars, &backend)?,
    ];
    thread::sleep(SETTLE);
    let ticks = |processes: &[Process]| processes.iter().map(Process::ticks).sum::<u64>();
    let before = fleet.each_ref().map(|processes| ticks(processes));
    let began = time::Instant::now();
    thread::sleep(COUNTED);
    let seconds = began.elapsed().as_secs_f64();
    let spent = |at: usize| {
        let processes = &fleet[at];
        let used = (ticks(processes) - before[at]) as f64;
        let memory = processes.iter().map(|process| process.status("VmRSS:"));
        Spent {
            // A tick is 10 ms: over all processes of a role its grain is below a hundredth of a
            // per cent.
            core_percent: used / seconds / processes.len() as f64,
            kib: memory.sum::<u64>() / processes.len() as u64,
        }
    };
    Ok([spent(0), spent(1)])
}
