//! The command line that the daemons share.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::bail;
use pico_args::Arguments;

use crate::logs;
use crate::shutdown::Beginning;
use crate::shutdown::Termination;

/// What a daemon was asked to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Print the help and exit 0.
    Help,
    /// Print the version and exit 0.
    Version,
    /// Check the settings and exit.
    Check(PathBuf),
    /// Run with these settings.
    Run(PathBuf),
}

/// Reads a daemon's arguments.
///
/// # Errors
///
/// `--settings` is missing, or an argument is unknown.
///
/// # Examples
///
/// ```
/// # use jujube_program::arguments::Command;
/// # use jujube_program::arguments::daemon;
/// let arguments = pico_args::Arguments::from_vec(vec!["--help".into()]);
/// assert_eq!(daemon(arguments).unwrap(), Command::Help);
/// ```
pub fn daemon(arguments: Arguments) -> Result<Command> {
    daemon_or(arguments, None)
}

/// Reads a daemon's arguments; a variable of the environment may name the settings instead.
fn daemon_or(mut arguments: Arguments, variable: Option<&str>) -> Result<Command> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let check = arguments.contains("--check");
    let named: Option<PathBuf> = arguments.opt_value_from_str("--settings")?;
    finish(arguments)?;
    let from_variable = || variable.and_then(std::env::var_os).map(PathBuf::from);
    let Some(settings) = named.or_else(from_variable) else {
        bail!("--settings is missing; see --help");
    };
    Ok(if check {
        Command::Check(settings)
    } else {
        Command::Run(settings)
    })
}

/// A daemon's program: everything that differs from one to the next.
pub struct Daemon<S> {
    /// The program's name.
    pub name: &'static str,
    /// What `--help` prints.
    pub help: &'static str,
    /// What `--version` prints after the name.
    pub version: &'static str,
    /// A variable of the environment that may name the settings.
    pub variable: Option<&'static str>,
    /// Reads the settings to run with.
    pub read: fn(&Path) -> Result<S>,
    /// Checks the settings; refuses also what a program that runs replaces.
    pub check: fn(&Path) -> Result<()>,
    /// Runs until stopped.
    pub run: fn(S, Termination) -> Result<()>,
}

/// The exit code of a program that could not start or run.
const FAILED: u8 = 1;
/// The exit code of wrong arguments or settings.
const MISUSED: u8 = 2;

/// How long a daemon that starts waits for settings that can be used.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// How often it reads them meanwhile.
const READ_INTERVAL: Duration = Duration::from_millis(100);

impl<S> Daemon<S> {
    /// Does what the command line asks, and returns the exit code.
    pub fn main(&self) -> ExitCode {
        let command = match daemon_or(Arguments::from_env(), self.variable) {
            Ok(command) => command,
            Err(error) => return fail(self.name, MISUSED, &error),
        };
        let path = match &command {
            Command::Help => {
                print!("{}", self.help);
                return ExitCode::SUCCESS;
            }
            Command::Version => {
                println!("{} {}", self.name, self.version);
                return ExitCode::SUCCESS;
            }
            Command::Check(path) => return self.check(path),
            Command::Run(path) => path,
        };
        let beginning = match Beginning::new() {
            Ok(beginning) => beginning,
            Err(error) => return fail(self.name, FAILED, &error.into()),
        };
        let Some((settings, termination)) = beginning.run(self.read_settled(path)) else {
            return ExitCode::SUCCESS;
        };
        let settings = match settings {
            Ok(settings) => settings,
            Err(error) => return fail(self.name, MISUSED, &error),
        };
        match (self.run)(settings, termination) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(self.name, FAILED, &error),
        }
    }

    fn check(&self, path: &Path) -> ExitCode {
        if let Err(error) = (self.check)(path) {
            return fail(self.name, MISUSED, &error);
        }
        println!("{}: ok", path.display());
        ExitCode::SUCCESS
    }

    /// Reads the settings, for some time again and again: a file that is being replaced while the
    /// process starts may be empty, cut off or not there.
    async fn read_settled(&self, path: &Path) -> Result<S> {
        let started = Instant::now();
        loop {
            match (self.read)(path) {
                Err(_) if started.elapsed() < SETTLE_TIME => {
                    tokio::time::sleep(READ_INTERVAL).await;
                }
                outcome => return outcome,
            }
        }
    }
}

/// A tool's program: everything that differs from one to the next.
pub struct Tool<C> {
    /// The program's name.
    pub name: &'static str,
    /// What `--help` prints.
    pub help: &'static str,
    /// What `--version` prints after the name.
    pub version: &'static str,
    /// Reads the command line.
    pub read: fn(Arguments) -> Result<C>,
    /// Does what it asks.
    pub run: fn(C) -> Result<()>,
}

impl<C> Tool<C> {
    /// Does what the command line asks, and returns the exit code.
    pub fn main(&self) -> ExitCode {
        let mut arguments = Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            print!("{}", self.help);
            return ExitCode::SUCCESS;
        }
        if arguments.contains(["-V", "--version"]) {
            println!("{} {}", self.name, self.version);
            return ExitCode::SUCCESS;
        }
        let command = match (self.read)(arguments) {
            Ok(command) => command,
            Err(error) => return fail(self.name, MISUSED, &error),
        };
        match (self.run)(command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(self.name, FAILED, &error),
        }
    }
}

/// Says on standard error what is wrong, and returns the exit code.
fn fail(name: &str, code: u8, error: &anyhow::Error) -> ExitCode {
    logs::tell(name, error);
    ExitCode::from(code)
}

/// Refuses what was not read.
///
/// # Errors
///
/// An argument is left.
pub fn finish(arguments: Arguments) -> Result<()> {
    let left = arguments.finish();
    if let Some(first) = left.first() {
        bail!("unknown argument `{}`; see --help", first.to_string_lossy());
    }
    Ok(())
}
