//! `jujube-local`: see the help below.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use jujube_local::cluster::Cluster;
use jujube_local::cluster::Plan;
use jujube_local::trial;
use jujube_program::arguments;
use jujube_program::arguments::Tool;
use jujube_program::logs;
use jujube_program::shutdown;
use pico_args::Arguments;

const HELP: &str = "\
jujube-local: every role and stand-in in one process, on loopback

USAGE:
  jujube-local [--port N] [--bundle FILE]
                            serve a bundle until stopped; that of examples/hoshizaki if not given
  jujube-local --once       serve one completion and one plain request, check both, and exit
  jujube-local --help | --version

OPTIONS:
  --port N   where the entry listens; 8080 if not given, any free port with --once

The trial API key is `jj-trial`; the services of examples/hoshizaki are survey-writer and register-desk. The page
/services/register-desk/counter tells how often each idempotency key ran.

EXIT CODES:
  0  all as expected, or stopped as asked
  1  something failed
  2  wrong arguments
";

const BUNDLE: &str = include_str!("../../../../examples/hoshizaki/bundle.ini");
const DEFAULT_PORT: u16 = 8080;

fn main() -> ExitCode {
    let tool = Tool {
        name: "jujube-local",
        help: HELP,
        version: env!("CARGO_PKG_VERSION"),
        read,
        run,
    };
    tool.main()
}

/// What the command line asks.
struct Wish {
    once: bool,
    port: u16,
    bundle: String,
}

fn read(mut arguments: Arguments) -> Result<Wish> {
    let once = arguments.contains("--once");
    let port = arguments.opt_value_from_str("--port")?;
    let file: Option<PathBuf> = arguments.opt_value_from_str("--bundle")?;
    arguments::finish(arguments)?;
    if once && file.is_some() {
        bail!("--once checks the services of examples/hoshizaki; it takes no --bundle");
    }
    let bundle = match file {
        Some(file) => std::fs::read_to_string(&file).with_context(|| file.display().to_string())?,
        None => BUNDLE.into(),
    };
    Ok(Wish {
        once,
        port: port.unwrap_or(if once { 0 } else { DEFAULT_PORT }),
        bundle,
    })
}

fn run(wish: Wish) -> Result<()> {
    let Wish { once, port, bundle } = wish;
    let listen = SocketAddr::from(([127, 0, 0, 1], port));
    // An entry waits for a port that is taken; somebody at a laptop is told.
    drop(TcpListener::bind(listen).with_context(|| format!("listen on {listen}"))?);
    logs::start("local", if once { "warn" } else { "info" })?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let plan = Plan {
            bundle,
            listen,
            ..Plan::default()
        };
        let cluster = Cluster::start(plan).await?;
        println!("entry {}", cluster.url(0));
        if once {
            trial::once(&cluster).await?;
        } else {
            shutdown::terminated().await?;
        }
        cluster.drain().await;
        Ok(())
    })
}
