//! `jujube-entry`: see the help below.

use std::io;
use std::io::Write;
use std::process::ExitCode;

use anyhow::Result;
use jujube_entry::Settings;
use jujube_program::arguments::Daemon;
use jujube_program::logs;
use jujube_program::shutdown::Termination;

const HELP: &str = "\
jujube-entry: the process between callers and sidecars

USAGE:
  jujube-entry --settings FILE [--check]
  jujube-entry --help | --version

OPTIONS:
  --settings FILE  settings in INI; see docs/SETTINGS.md
  --check          check the settings and exit

EXIT CODES:
  0  stopped as asked, nothing cut; or the settings hold
  1  it could not start or run
  2  wrong arguments or settings
";

fn main() -> ExitCode {
    let daemon = Daemon {
        name: "jujube-entry",
        help: HELP,
        version: env!("CARGO_PKG_VERSION"),
        variable: None,
        read: Settings::read,
        check: |path| Settings::read(path).map(drop),
        run,
    };
    daemon.main()
}

fn run(settings: Settings, mut termination: Termination) -> Result<()> {
    logs::start("entry", &settings.telemetry.level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads.max(1))
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let handle = tokio::select! {
            () = termination.requested() => return Ok(()),
            handle = jujube_entry::start(settings) => handle?,
        };
        // The addresses are in the log too.
        let _nobody_reads = writeln!(
            io::stdout(),
            "entry http://{} peer {}",
            handle.address,
            handle.peer
        );
        termination.requested().await;
        handle.drain().await;
        Ok(())
    })
}
