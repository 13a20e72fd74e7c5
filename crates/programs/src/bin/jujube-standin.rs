//! `jujube-standin`: see the help below.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use jujube_core::layer::Range;
use jujube_program::arguments;
use jujube_program::arguments::Tool;
use jujube_program::shutdown;
use jujube_program::shutdown::Signal;
use jujube_standin::engine;
use jujube_standin::engine::Engine;
use jujube_standin::kv;
use jujube_standin::plain::Plain;
use jujube_standin::vms::Vms;
use jujube_standin::weights::Weights;
use pico_args::Arguments;
use tokio::net::TcpListener;

const HELP: &str = "\
jujube-standin: small stand-ins of what surrounds jujubeshore

USAGE:
  jujube-standin kv      [--listen ADDRESS]
  jujube-standin vms     [--listen ADDRESS]
  jujube-standin weights [--listen ADDRESS] [--a-second N]
  jujube-standin plain   [--listen ADDRESS]
  jujube-standin engine  [--listen ADDRESS] --layers N --held START-END
                         [--base-micros N] [--layer-tokens N] [--ignore-fencing]
  jujube-standin --help | --version

Each prints `ROLE http://ADDRESS` when it serves. POST /faults with
{\"down\": bool, \"delay_millis\": N, \"lose_answers\": N} switches faults.

EXIT CODES:
  0  stopped as asked
  1  it could not start or run
  2  wrong arguments
";

fn main() -> ExitCode {
    let tool = Tool {
        name: "jujube-standin",
        help: HELP,
        version: env!("CARGO_PKG_VERSION"),
        read,
        run,
    };
    tool.main()
}

enum Role {
    Kv,
    Vms,
    Weights(u64),
    Plain,
    Engine(engine::Settings),
}

fn read(mut arguments: Arguments) -> Result<(Role, SocketAddr)> {
    let name = arguments
        .subcommand()?
        .context("expected a role; see --help")?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = arguments.opt_value_from_str("--listen")?.unwrap_or(any);
    let role = match name.as_str() {
        "kv" => Role::Kv,
        "vms" => Role::Vms,
        "weights" => Role::Weights(arguments.opt_value_from_str("--a-second")?.unwrap_or(2)),
        "plain" => Role::Plain,
        "engine" => Role::Engine(read_engine(&mut arguments)?),
        _ => bail!("unknown role `{name}`; see --help"),
    };
    arguments::finish(arguments)?;
    Ok((role, listen))
}

fn read_engine(arguments: &mut Arguments) -> Result<engine::Settings> {
    let defaults = engine::Settings::default();
    let layers = arguments.value_from_str("--layers")?;
    let held: Range = arguments.value_from_str("--held")?;
    let base = arguments.opt_value_from_str("--base-micros")?;
    let speed = arguments.opt_value_from_str("--layer-tokens")?;
    Ok(engine::Settings {
        layers,
        held,
        base_micros: base.unwrap_or(defaults.base_micros),
        layer_tokens: speed.unwrap_or(defaults.layer_tokens),
        fences: !arguments.contains("--ignore-fencing"),
    })
}

fn run((role, listen): (Role, SocketAddr)) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(listen).await.context("listen")?;
        let address = listener.local_addr()?;
        let (trigger, stop) = shutdown::pair();
        println!("{} http://{address}", role.name());
        let served = tokio::spawn(role.serve(listener, stop));
        shutdown::terminated().await?;
        trigger.stop();
        served.await??;
        Ok(())
    })
}

impl Role {
    fn name(&self) -> &'static str {
        match self {
            Self::Kv => "kv",
            Self::Vms => "vms",
            Self::Weights(_) => "weights",
            Self::Plain => "plain",
            Self::Engine(_) => "engine",
        }
    }

    async fn serve(self, listener: TcpListener, stop: Signal) -> std::io::Result<()> {
        match self {
            Self::Kv => kv::Service::default().serve(listener, stop).await,
            Self::Vms => Vms::default().serve(listener, stop).await,
            Self::Weights(a_second) => Weights::new(a_second).serve(listener, stop).await,
            Self::Plain => Plain::default().serve(listener, stop).await,
            Self::Engine(settings) => Engine::start(settings).serve(listener, stop).await,
        }
    }
}
