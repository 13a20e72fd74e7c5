//! A fleet of separate processes on loopback.

#![allow(dead_code, reason = "each test file uses its part")]
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a fixture that fails must panic"
)]

pub mod streams;
pub mod wire;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use jujube_core::bundle::Bundle;
use jujube_core::bundle::digest;
use jujube_ctl::roll;
use jujube_local::caller::Caller;
use jujube_program::http;
use serde_json::Value;
use tempfile::TempDir;

pub const KEY: &str = "test-key";
pub const MODEL: &str = "writer";
pub const DESK: &str = "desk";
/// How long an event may take before a test gives up on it.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
    /// The words of its first line.
    pub line: Vec<String>,
}

impl Process {
    pub fn start(binary: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a binary that cargo built");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("its first line");
        let line = line.split_whitespace().map(str::to_string).collect();
        Self { child, line }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .expect("kill");
        assert!(sent.success());
    }

    /// Returns the processor time used so far, in clock ticks of 10 ms.
    pub fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let after_name = stat.rsplit(')').next().unwrap();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        // User and system time are the 14th and 15th field; the name is the second.
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Returns the resident memory, in KiB.
    pub fn resident(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Waits for the process to end by itself.
    pub fn ended(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("its status") {
                return status;
            }
            assert!(start.elapsed() < PATIENCE, "{:?} did not end", self.line);
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended_already = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// A backend server of the fleet.
pub struct Backend {
    pub engine: Process,
    pub sidecar: Process,
    /// Where the engine or service listens.
    pub url: String,
}

/// What a fleet consists of.
pub struct Layout {
    pub layers: u32,
    /// Name, accelerator, layers held.
    pub stages: Vec<(&'static str, &'static str, &'static str)>,
    pub desks: Vec<&'static str>,
    pub entries: usize,
    /// Microseconds that one layer takes.
    pub base_micros: u64,
    /// Requests that each stage holds.
    pub slots: usize,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            layers: 12,
            stages: vec![
                ("a1", "large", "0-4"),
                ("a2", "large", "0-4"),
                ("b1", "mid", "4-8"),
                ("b2", "mid", "4-8"),
                ("c1", "small", "8-12"),
                ("c2", "small", "8-12"),
            ],
            desks: vec!["d1", "d2"],
            entries: 2,
            base_micros: 50,
            slots: 64,
        }
    }
}

/// All processes of a fleet.
pub struct Fleet {
    pub directory: TempDir,
    pub kv: Process,
    pub vms: Process,
    pub backends: BTreeMap<String, Backend>,
    pub entries: Vec<Process>,
    pub bundle: Bundle,
    pub text: String,
    base_micros: u64,
    http: http::Client,
}

fn bin(name: &str) -> &'static str {
    match name {
        "entry" => env!("CARGO_BIN_EXE_jujube-entry"),
        "sidecar" => env!("CARGO_BIN_EXE_jujube-sidecar"),
        "standin" => env!("CARGO_BIN_EXE_jujube-standin"),
        _ => env!("CARGO_BIN_EXE_jujube-ctl"),
    }
}

/// Runs the operators' tool and returns what it prints.
pub fn ctl(arguments: &[&str]) -> Result<String, String> {
    let output = Command::new(bin("ctl"))
        .args(arguments)
        .output()
        .expect("jujube-ctl");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    if output.status.success() {
        return Ok(text(output.stdout));
    }
    Err(text(output.stderr))
}

impl Fleet {
    pub async fn start(layout: Layout) -> Self {
        let directory = TempDir::new().expect("a directory");
        let path = |name: &str| directory.path().join(name).display().to_string();
        let author = ctl(&["keygen", &path("author")])
            .expect("keygen")
            .trim()
            .to_string();
        let reviewer = ctl(&["keygen", &path("reviewer")])
            .expect("keygen")
            .trim()
            .to_string();
        let trust = format!("[trust]\nkeys = {author}, {reviewer}\n[telemetry]\nlevel = warn\n");
        let kv = Process::start(bin("standin"), &["kv"]);
        let vms = Process::start(bin("standin"), &["vms"]);

        let mut text = head(&layout);
        let mut backends = BTreeMap::new();
        let slots = layout.slots;
        for (name, accelerator, held) in &layout.stages {
            let layers = layout.layers.to_string();
            let base = layout.base_micros.to_string();
            let arguments = [
                "engine",
                "--layers",
                &layers,
                "--held",
                held,
                "--base-micros",
                &base,
            ];
            let engine = Process::start(bin("standin"), &arguments);
            let backend = beside(&path(name), name, engine, &trust, &kv.line[1]);
            let address = &backend.sidecar.line[1];
            write!(
                text,
                "[server {name}]\nservice = {MODEL}\naddress = {address}\nzone = z-{accelerator}\n\
                 accelerator = {accelerator}\nlayers = {held}\nslots = {slots}\n\n"
            )
            .unwrap();
            backends.insert((*name).to_string(), backend);
        }
        for name in &layout.desks {
            let service = Process::start(bin("standin"), &["plain"]);
            let backend = beside(&path(name), name, service, &trust, &kv.line[1]);
            let address = &backend.sidecar.line[1];
            write!(
                text,
                "[server {name}]\nservice = {DESK}\naddress = {address}\nzone = z-large\n\n"
            )
            .unwrap();
            backends.insert((*name).to_string(), backend);
        }
        let entries = (0..layout.entries).map(|index| {
            let settings = format!(
                "[entry]\nlisten = 127.0.0.1:0\npeer = 127.0.0.1:0\nkv = {}\nvms = {}\n\
                 notice-ms = 200\n{trust}",
                kv.line[1], vms.line[1]
            );
            let file = path(&format!("entry-{index}.ini"));
            std::fs::write(&file, settings).unwrap();
            Process::start(bin("entry"), &["--settings", &file])
        });
        let entries: Vec<Process> = entries.collect();
        let urls: Vec<&str> = entries.iter().map(|entry| entry.line[1].as_str()).collect();
        let settings = format!(
            "[ctl]\nkv = {}\noperator = tester\nkey = {}\nentries = {}\n\
             [trust]\nkeys = {author}, {reviewer}\n",
            kv.line[1],
            path("author"),
            urls.join(", ")
        );
        std::fs::write(path("ctl.ini"), settings).unwrap();
        let mut fleet = Self {
            bundle: roll::check(&text).expect("a bundle that holds"),
            text,
            kv,
            vms,
            backends,
            entries,
            directory,
            base_micros: layout.base_micros,
            http: http::Client::new(Duration::from_secs(2)),
        };
        let text = fleet.text.clone();
        fleet
            .roll_out("first.ini", &text)
            .expect("the first roll-out");
        fleet.until_up().await;
        fleet
    }

    pub fn path(&self, name: &str) -> String {
        let path: PathBuf = self.directory.path().join(name);
        path.display().to_string()
    }

    /// Writes a bundle, has it signed by both people, and rolls it out.
    pub fn roll_out(&mut self, name: &str, text: &str) -> Result<String, String> {
        let file = self.path(name);
        std::fs::write(&file, text).unwrap();
        ctl(&["sign", &file, "--key", &self.path("author")])?;
        ctl(&["sign", &file, "--key", &self.path("reviewer")])?;
        let settings = self.path("ctl.ini");
        ctl(&["rollout", &file, "--settings", &settings, "--reason", name])
    }

    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(&self.entries[entry].line[1], KEY)
    }

    pub async fn status(&self, entry: usize) -> Value {
        let url = format!("{}/status", self.entries[entry].line[1]);
        let status = self.http.get(&url, Duration::from_secs(2)).await;
        status.unwrap_or_default()
    }

    /// Waits until a condition holds of an entry's status.
    pub async fn until(&self, entry: usize, what: &str, holds: impl Fn(&Value) -> bool) {
        let start = Instant::now();
        while !holds(&self.status(entry).await) {
            assert!(start.elapsed() < PATIENCE, "not within a minute: {what}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until every entry sees every backend server as up.
    pub async fn until_up(&self) {
        for entry in 0..self.entries.len() {
            self.until(entry, "all backend servers up", |status| {
                let servers = status["servers"].as_array().cloned().unwrap_or_default();
                let up = servers
                    .iter()
                    .filter(|server| server["state"] == "up")
                    .count();
                up == self.backends.len()
            })
            .await;
        }
    }

    /// Returns the state that an entry sees a backend server in.
    pub async fn state_of(&self, entry: usize, server: &str) -> String {
        let status = self.status(entry).await;
        let servers = status["servers"].as_array().cloned().unwrap_or_default();
        let found = servers.iter().find(|found| found["server"] == server);
        found
            .map(|found| found["state"].as_str().unwrap_or("-").into())
            .unwrap_or_default()
    }

    /// Starts a model's backend server again, at the addresses that it had.
    pub fn revive(&mut self, name: &str) {
        let file = self.path(&format!("{name}.ini"));
        let old = self.backends.remove(name).expect("a backend server");
        let Backend {
            engine,
            sidecar,
            url,
        } = old;
        let member = &self.bundle.servers[&name.into()];
        let held = member.layers.to_string();
        let listen = url.trim_start_matches("http://").to_string();
        let settings = settings_at(&file, &sidecar);
        drop((engine, sidecar));
        std::fs::write(&file, settings).unwrap();
        let layers = self.bundle.services[&MODEL.into()].layers.to_string();
        let base = self.base_micros.to_string();
        let arguments = [
            "engine",
            "--listen",
            &listen,
            "--layers",
            &layers,
            "--held",
            &held,
            "--base-micros",
            &base,
        ];
        let engine = Process::start(bin("standin"), &arguments);
        let sidecar = Process::start(bin("sidecar"), &["--settings", &file]);
        let backend = Backend {
            engine,
            sidecar,
            url,
        };
        self.backends.insert(name.into(), backend);
    }

    /// Starts a backend server's sidecar again, at the addresses that it had, before another service.
    pub fn move_sidecar(&mut self, name: &str, to: &str) {
        let file = self.path(&format!("{name}.ini"));
        let old = self.backends.remove(name).expect("a backend server");
        let Backend {
            engine,
            sidecar,
            url,
        } = old;
        let settings = settings_at(&file, &sidecar).replace(&url, to);
        drop(sidecar);
        std::fs::write(&file, settings).unwrap();
        let backend = Backend {
            sidecar: Process::start(bin("sidecar"), &["--settings", &file]),
            engine,
            url: to.into(),
        };
        self.backends.insert(name.into(), backend);
    }

    /// Starts one more entry.
    pub fn add_entry(&mut self, settings: &str) {
        self.entries
            .push(Process::start(bin("entry"), &["--settings", settings]));
    }

    /// Sets the VM list.
    pub async fn set_vms(&self, list: &Value) {
        let url = format!("{}/vms", self.vms.line[1]);
        let _list: Value = self
            .http
            .post(&url, list, Duration::from_secs(2))
            .await
            .expect("vms");
    }

    /// Gets a stand-in's page.
    pub async fn page(&self, url: &str) -> Value {
        self.http
            .get(url, Duration::from_secs(2))
            .await
            .expect("a page")
    }

    /// Switches a stand-in's faults.
    pub async fn fault(&self, url: &str, fault: Value) {
        let url = format!("{url}/faults");
        let set: bool = self
            .http
            .post(&url, &fault, Duration::from_secs(2))
            .await
            .expect("faults");
        assert!(set);
    }

    /// Returns how often an idempotency key ran at all desks together.
    pub async fn runs(&self, key: &str) -> u64 {
        let mut runs = 0;
        for backend in self
            .backends
            .values()
            .filter(|backend| backend.engine.line[0] == "plain")
        {
            let counter = self.page(&format!("{}/counter", backend.url)).await;
            runs += counter[key].as_u64().unwrap_or(0);
        }
        runs
    }

    /// Returns how many steps all engines refused: each would have broken an answer.
    pub async fn violations(&self) -> u64 {
        let mut violations = 0;
        for backend in self
            .backends
            .values()
            .filter(|backend| backend.engine.line[0] == "engine")
        {
            let url = format!("{}/v1/state", backend.url);
            // An engine that was killed has nothing to say.
            let state: Value = self
                .http
                .get(&url, Duration::from_secs(2))
                .await
                .unwrap_or_default();
            violations += state["violations"].as_u64().unwrap_or(0);
        }
        violations
    }
}

/// Starts the sidecar beside an engine or service.
fn beside(file: &str, name: &str, engine: Process, trust: &str, kv: &str) -> Backend {
    let url = engine.line[1].clone();
    let settings = format!(
        "[sidecar]\nserver = {name}\nlisten = 127.0.0.1:0\nhttp = 127.0.0.1:0\nbackend = {url}\n\
         kv = {kv}\n{trust}"
    );
    let file = format!("{file}.ini");
    std::fs::write(&file, settings).unwrap();
    Backend {
        sidecar: Process::start(bin("sidecar"), &["--settings", &file]),
        engine,
        url,
    }
}

/// Returns the part of the bundle that names no address.
fn head(layout: &Layout) -> String {
    let layers = layout.layers;
    let mut text = format!(
        "[bundle]\nserial = 1\n\n[customer tester]\nkeys = {}\nmax-in-flight = 500\n\n\
         [service {MODEL}]\nkind = model\nlayers = {layers}\n\n",
        digest(KEY)
    );
    if !layout.desks.is_empty() {
        write!(text, "[service {DESK}]\nkind = plain\n\n").unwrap();
    }
    for accelerator in ["large", "mid", "small"] {
        write!(
            text,
            "[accelerator {accelerator}]\nlayer-tokens = 100000\n\n"
        )
        .unwrap();
    }
    text
}

/// Returns the settings of a sidecar with the addresses that it has.
fn settings_at(file: &str, sidecar: &Process) -> String {
    let (address, http) = (&sidecar.line[1], &sidecar.line[3]);
    std::fs::read_to_string(file)
        .unwrap()
        .replace("listen = 127.0.0.1:0", &format!("listen = {address}"))
        .replace("http = 127.0.0.1:0", &format!("http = {http}"))
}
