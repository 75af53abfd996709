//! Starts the processes of the fleet from the binaries of the same build.

use std::io::{BufRead, BufReader};
use std::{env, fs, net, path, process, time};

use chivebend::{catalogue, client, cmd};

use crate::Error;

/// API key of the only customer.
pub const KEY: &str = "load-key";

/// Maximum time to wait until the catalogue is accepted.
const PUBLISH_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A running process; it is killed when the handle is dropped.
pub struct Process {
    child: process::Child,
    first_line: String,
}

impl Process {
    /// Starts a program and reads the line in which it prints its addresses.
    pub fn start(name: &str, args: &[String]) -> Result<Self, Error> {
        let mut program = env::current_exe()?;
        // The example is target/release/examples/load; the binaries are one directory up.
        program.pop();
        program.pop();
        program.push(name);
        let mut child = process::Command::new(&program)
            .args(args)
            .env("CHIVEBEND_SECRET", "a-secret-for-loopback")
            .env("CHIVEBEND_LOG_LEVEL", "error")
            .stdout(process::Stdio::piped())
            .spawn()
            .map_err(|err| format!("{}: {err}: build the binaries first", program.display()))?;
        let mut line = String::new();
        let stdout = child.stdout.take().ok_or("no output")?;
        BufReader::new(stdout).read_line(&mut line)?;
        Ok(Self {
            child,
            first_line: line,
        })
    }

    /// Returns the address that follows `prefix` in the line printed at start.
    pub fn addr(&self, prefix: &str) -> Result<net::SocketAddr, Error> {
        let mut words = self.first_line.split_whitespace();
        let addr = words.find_map(|word| word.strip_prefix(prefix));
        Ok(addr
            .ok_or_else(|| format!("{prefix} is missing in {:?}", self.first_line))?
            .parse()?)
    }

    /// Returns a field of `/proc/PID/status`, in KiB.
    pub fn status_kib(&self, name: &str) -> u64 {
        let path = path::PathBuf::from(format!("/proc/{}/status", self.child.id()));
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(name));
        let word = line.and_then(|line| line.split_whitespace().nth(1));
        word.and_then(|word| word.parse().ok()).unwrap_or_default()
    }

    /// Returns the processor time used so far, in clock ticks of 10 ms.
    pub fn cpu_ticks(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let fields = text.rsplit(')').next().unwrap_or_default();
        let words: Vec<_> = fields.split_whitespace().collect();
        let word = |at: usize| words.get(at).and_then(|word| word.parse::<u64>().ok());
        word(11).unwrap_or_default() + word(12).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Publishes a catalogue with one model service with the given concurrency window.
pub fn publish(log: net::SocketAddr, window: &str) -> Result<(), Error> {
    let hash = catalogue::digest(KEY);
    let hash: String = hash
        .iter()
        .fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"));
    let toml = format!(
        "[class.standard]\nweight = 1.0\n\n[[customer]]\nname = \"load\"\nowner = \"load\"\n\
         class = \"standard\"\nkey_hashes = [\"{hash}\"]\n\n[[service]]\nname = \"llm\"\n\
         owner = \"load\"\nkind = \"model\"\nmodels = [\"default\"]\nwindow = {window}\n"
    );
    let request = cmd::publish::Request {
        change_id: "load".to_owned(),
        base: None,
        over_gap: false,
        author: "load".to_owned(),
        toml,
    };
    cmd::publish::publish(&client::log::open(log), &request, PUBLISH_TIMEOUT)?;
    Ok(())
}

/// Returns the command-line arguments that all processes need.
pub fn common_args(id: &str, log: &Process, list: &Process) -> Result<Vec<String>, Error> {
    let (log, list) = (log.addr("listening=")?, list.addr("listening=")?);
    let args = [
        ("--id", id.to_owned()),
        ("--zone", "a".to_owned()),
        ("--log-address", log.to_string()),
        ("--instances-address", list.to_string()),
    ];
    let args = args.into_iter();
    Ok(args
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect())
}
