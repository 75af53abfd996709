//! Measures the overhead of an idle fleet: processor time and memory without any request.

use std::{thread, time};

use crate::Error;
use crate::process::{self, Process};

/// Numbers of entries and sidecars of each measurement.
const FLEET_SIZES: [(usize, usize); 4] = [(2, 8), (2, 32), (8, 8), (8, 32)];

/// Time for the processes to connect and settle before the measurement.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(8);

/// Time over which processor time is measured.
const MEASURE_TIME: time::Duration = time::Duration::from_secs(20);

struct Usage {
    core_percent: f64,
    memory_kib: u64,
}

/// Measures all fleet sizes; returns the result line of the last one.
pub fn run() -> Result<String, Error> {
    println!("entries sidecars entry_core_percent entry_KiB sidecar_core_percent sidecar_KiB");
    let mut last = String::new();
    for (entries, sidecars) in FLEET_SIZES {
        let [entry, sidecar] = measure(entries, sidecars)?;
        println!(
            "{entries} {sidecars} {:.3} {} {:.3} {}",
            entry.core_percent, entry.memory_kib, sidecar.core_percent, sidecar.memory_kib
        );
        last = format!(
            "case=idle entries={entries} sidecars={sidecars} entry_core_percent={:.3} \
             sidecar_core_percent={:.3}",
            entry.core_percent, sidecar.core_percent
        );
    }
    Ok(last)
}

/// Returns the mean usage of an entry and of a sidecar.
fn measure(entries: usize, sidecars: usize) -> Result<[Usage; 2], Error> {
    let log = Process::start("chivebend-standin", &["log".to_owned()])?;
    let list = Process::start("chivebend-standin", &["instances".to_owned()])?;
    process::publish(log.addr("listening=")?, "8")?;
    let start = |role: &str, count: usize, extra_args: &[&str]| -> Result<Vec<Process>, Error> {
        (0..count)
            .map(|number| {
                let mut args = process::common_args(&format!("{role}{number}"), &log, &list)?;
                args.extend(extra_args.iter().map(|word| (*word).to_owned()));
                Process::start(&format!("chivebend-{role}"), &args)
            })
            .collect()
    };
    let backend = ["--service", "llm", "--backend-address", "127.0.0.1:9"];
    let fleet = [
        start("entry", entries, &[])?,
        start("sidecar", sidecars, &backend)?,
    ];
    thread::sleep(SETTLE_TIME);
    let cpu_ticks = |processes: &[Process]| processes.iter().map(Process::cpu_ticks).sum::<u64>();
    let ticks_before = fleet.each_ref().map(|processes| cpu_ticks(processes));
    let started = time::Instant::now();
    thread::sleep(MEASURE_TIME);
    let seconds = started.elapsed().as_secs_f64();
    let usage = |at: usize| {
        let processes = &fleet[at];
        let ticks = (cpu_ticks(processes) - ticks_before[at]) as f64;
        let memory = processes.iter().map(|process| process.status_kib("VmRSS:"));
        Usage {
            // A tick is 10 ms, so ticks per second are per cent of a core. Over all processes of a
            // role the resolution is below 0.01%.
            core_percent: ticks / seconds / processes.len() as f64,
            memory_kib: memory.sum::<u64>() / processes.len() as u64,
        }
    };
    Ok([usage(0), usage(1)])
}
