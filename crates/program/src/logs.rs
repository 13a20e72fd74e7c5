//! Structured log lines, one for each change of state.

use std::io;
use std::io::Write;
use std::str::FromStr;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;

use anyhow::Context;
use anyhow::Result;
use log::Level;
use log::LevelFilter;

use crate::clock;
use crate::word::Line;

/// Returns a dispatch that writes `time=... level=... role=... message`; other crates' lines below
/// `warn` are left out.
fn lines(role: &'static str) -> fern::Dispatch {
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let time = clock::unix_millis();
            let level = record.level();
            out.finish(format_args!(
                "{}",
                Line(format_args!(
                    "time={time} level={level} role={role} {message}"
                ))
            ));
        })
        .level(LevelFilter::Warn)
}

/// Starts logging to standard error, as `time=... level=... target=... message`.
///
/// A second call in the same process changes nothing: the local program starts many roles.
///
/// # Errors
///
/// The level is none.
pub fn start(role: &'static str, level: &str) -> Result<()> {
    let level = LevelFilter::from_str(level).context("log level")?;
    let dispatch = lines(role)
        // Deadlines that pass are counted; the library would write a line for each.
        .level_for("tarpc", LevelFilter::Off)
        .level_for("jujube_entry", level)
        .level_for("jujube_program", level)
        .level_for("jujube_sidecar", level)
        .level_for("jujube_store", level)
        .level_for("jujube_standin", level)
        .chain(io::stderr());
    let _already_started = dispatch.apply();
    Ok(())
}

/// How many lines may wait for standard output. At some 200 bytes a line that is 400 kB; a reader
/// that stalls longer than it takes to fill loses lines, which are counted.
const WAITING: usize = 2_048;

/// How many lines of each level are written in a second; the rest is counted. A line takes some
/// microseconds of the entry's fifth of a core; requests that end well log three lines at `info`,
/// those that fail log at `warn`, so that a flood of the first does not hide the second.
const BUDGETS: [(Level, u64); 3] = [(Level::Error, 100), (Level::Warn, 200), (Level::Info, 300)];
/// How many lines of the levels below `info` are written in a second.
const BUDGET_BELOW: u64 = 200;

/// Counts the lines of one level in the current second.
#[derive(Debug, Default)]
struct Budget {
    second: AtomicU64,
    written: AtomicU64,
    left_out: AtomicU64,
}

static SPENT: [Budget; 5] = [const { Budget::new() }; 5];

impl Budget {
    const fn new() -> Self {
        Self {
            second: AtomicU64::new(0),
            written: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// Tells whether one more line may be written in this second.
    fn take(&self, second: u64, most: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        let is_within = self.written.fetch_add(1, Ordering::Relaxed) < most;
        if !is_within {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        is_within
    }
}

fn is_within_budget(level: Level) -> bool {
    let budget = BUDGETS.iter().find(|(known, _)| *known == level);
    let most = budget.map_or(BUDGET_BELOW, |(_, most)| *most);
    let second = clock::now().0 / 1000;
    SPENT[level as usize - 1].take(second, most)
}

static QUEUE: OnceLock<SyncSender<Message>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Hands whole lines to the thread that writes them.
#[derive(Default)]
struct Queue(Vec<u8>);

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.0);
        let Some(queue) = QUEUE.get() else {
            return Ok(());
        };
        if queue.try_send(Message::Line(line)).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Starts logging to standard output without ever waiting for its reader.
///
/// A thread of its own writes the lines: a reader that stalls would otherwise stop every request.
/// Lines that find the queue full are dropped, and their number is logged.
///
/// # Errors
///
/// The level is none: `info` is used. The thread cannot be had: nothing is logged.
pub fn to_stdout(role: &'static str, level: &str) -> Result<()> {
    let parsed = LevelFilter::from_str(level).context("log level");
    let (sender, receiver) = mpsc::sync_channel(WAITING);
    if QUEUE.set(sender).is_err() {
        return Ok(());
    }
    std::thread::Builder::new()
        .name("logs".into())
        .spawn(move || write_lines(&receiver))?;
    let dispatch = lines(role)
        // The level in force is that of the logger as a whole, which a reload may change.
        .level_for("jujube_front", LevelFilter::Trace)
        .level_for("jujube_program", LevelFilter::Trace)
        .level_for("jujube_store", LevelFilter::Trace)
        .filter(|metadata| is_within_budget(metadata.level()))
        .chain(Box::new(Queue::default()) as Box<dyn Write + Send>);
    let _already_started = dispatch.apply();
    log::set_max_level(*parsed.as_ref().unwrap_or(&LevelFilter::Info));
    parsed.map(|_| ())
}

/// Tells on standard error what is wrong. Each of its lines begins with the name of the program.
pub fn tell(name: &str, error: &anyhow::Error) {
    for line in format!("{error:#}").lines() {
        // With standard error closed, nobody is left to tell.
        let _best_effort = writeln!(io::stderr(), "{}", Line(format_args!("{name}: {line}")));
    }
}

fn write_lines(receiver: &mpsc::Receiver<Message>) {
    let mut output = io::stdout();
    while let Ok(message) = receiver.recv() {
        let left_out = SPENT.iter().map(|b| b.left_out.swap(0, Ordering::Relaxed));
        let dropped = DROPPED.swap(0, Ordering::Relaxed) + left_out.sum::<u64>();
        if dropped > 0 {
            // A standard output that is closed leaves nowhere to say so.
            let _nowhere_to_say = writeln!(output, "event=log-lines-left-out count={dropped}");
        }
        match message {
            Message::Line(line) => {
                let _nowhere_to_say = output.write_all(&line);
            }
            Message::Flush(done) => {
                let _nowhere_to_say = output.flush();
                let _nobody_waits = done.try_send(());
            }
        }
    }
}

/// Changes the level of a process that logs to standard output.
///
/// # Errors
///
/// The level is none.
pub fn set_level(level: &str) -> Result<()> {
    let level = LevelFilter::from_str(level).context("log level")?;
    log::set_max_level(level);
    Ok(())
}

/// Waits until the lines so far are written, for a second at most.
pub fn flush() {
    const LONGEST: std::time::Duration = std::time::Duration::from_secs(1);
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (done, written) = mpsc::sync_channel(1);
    if queue.try_send(Message::Flush(done)).is_ok() {
        let _in_vain = written.recv_timeout(LONGEST);
    }
}
