//! `jujube-load`: see the help below.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use jujube_core::path::Policy;
use jujube_core::time::Span;
use jujube_load::account::Account;
use jujube_load::account::Target;
use jujube_load::bound;
use jujube_load::compare;
use jujube_load::compare::Load;
use jujube_load::drive;
use jujube_load::experiment::Experiment;
use jujube_load::report;
use jujube_load::result::Outcome;
use jujube_load::slopes;
use jujube_program::arguments;
use jujube_program::arguments::Tool;
use pico_args::Arguments;

/// The window over which the account counts requests.
const ACCOUNT_WINDOW: Span = Span(2_000);

const HELP: &str = "\
jujube-load: load and experiments

USAGE:
  jujube-load bound BUNDLE                     the highest token rate any router could reach
  jujube-load run EXPERIMENT --out FILE        open-loop load on running entries; result in JSON
  jujube-load report RESULT [RESULT] --out DIR a page that sets results side by side
  jujube-load compare BUNDLE --model NAME --key KEY [--streams N] [--seconds N]
                                               ways of choosing paths, against the bound
  jujube-load slopes                           slopes for docs/CAPACITY.md, as a table
  jujube-load account LOG [--first-event MS] [--pause MS] [--plot FILE]
                                               late and lost requests by cause, from entries' logs
  jujube-load --help | --version

EXIT CODES:
  0  done
  1  failed
  2  wrong arguments
";

fn main() -> ExitCode {
    let tool = Tool {
        name: "jujube-load",
        help: HELP,
        version: env!("CARGO_PKG_VERSION"),
        read: Command::read,
        run: Command::run,
    };
    tool.main()
}

enum Command {
    Bound(PathBuf),
    Run(Experiment, PathBuf),
    Report(Vec<PathBuf>, PathBuf),
    Compare(Load),
    Slopes,
    Account(PathBuf, Target, Option<PathBuf>),
}

impl Command {
    fn read(mut arguments: Arguments) -> Result<Self> {
        let name = arguments
            .subcommand()?
            .context("expected a command; see --help")?;
        let command = match name.as_str() {
            "bound" => Self::Bound(arguments.free_from_str()?),
            "run" => {
                let out = arguments.value_from_str("--out")?;
                let path: PathBuf = arguments.free_from_str()?;
                Self::Run(Experiment::read(&path)?, out)
            }
            "report" => {
                let out = arguments.value_from_str("--out")?;
                let mut results = vec![arguments.free_from_str()?];
                results.extend(arguments.opt_free_from_str::<PathBuf>()?);
                Self::Report(results, out)
            }
            "compare" => Self::Compare(load(&mut arguments)?),
            "slopes" => Self::Slopes,
            "account" => {
                let target = target(&mut arguments)?;
                let plot = arguments.opt_value_from_str("--plot")?;
                Self::Account(arguments.free_from_str()?, target, plot)
            }
            _ => bail!("unknown command `{name}`; see --help"),
        };
        arguments::finish(arguments)?;
        Ok(command)
    }

    fn run(self) -> Result<()> {
        match self {
            Self::Bound(path) => {
                let text = std::fs::read_to_string(&path).context(path.display().to_string())?;
                print!("{}", bound::describe(&text)?);
            }
            Self::Run(experiment, out) => {
                let outcome = block_on(drive::run(&experiment, say_progress))?;
                std::fs::write(&out, serde_json::to_string_pretty(&outcome)?)?;
                print!("{}", report::page(&[outcome])?);
            }
            Self::Report(paths, out) => {
                let read = |path: &PathBuf| -> Result<Outcome> {
                    let text = std::fs::read_to_string(path).context(path.display().to_string())?;
                    Ok(serde_json::from_str(&text)?)
                };
                let results: Result<Vec<Outcome>> = paths.iter().map(read).collect();
                report::write(&results?, &out)?;
                println!("{}", out.join("report.md").display());
            }
            Self::Compare(load) => block_on(compare_all(&load))??,
            Self::Slopes => {
                let slopes = slopes::measure(say)?;
                print!("{}", slopes::page(&slopes)?);
            }
            Self::Account(path, target, plot) => {
                let log = std::fs::read_to_string(&path).context(path.display().to_string())?;
                let account = Account::read(log.lines(), target, ACCOUNT_WINDOW);
                print!("{}", account.page()?);
                if let Some(plot) = plot {
                    account.plot(&plot)?;
                }
            }
        }
        Ok(())
    }
}

fn target(arguments: &mut Arguments) -> Result<Target> {
    let mut milliseconds = |name: &'static str, usual: Span| -> Result<Span> {
        let given = arguments.opt_value_from_str(name)?;
        Ok(given.map_or(usual, Span))
    };
    let usual = Target::default();
    Ok(Target {
        first_event: milliseconds("--first-event", usual.first_event)?,
        pause: milliseconds("--pause", usual.pause)?,
    })
}

fn load(arguments: &mut Arguments) -> Result<Load> {
    let model = arguments.value_from_str("--model")?;
    let key = arguments.value_from_str("--key")?;
    let streams = arguments.opt_value_from_str("--streams")?.unwrap_or(64);
    let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(5);
    let path: PathBuf = arguments.free_from_str()?;
    Ok(Load {
        bundle: std::fs::read_to_string(&path).context(path.display().to_string())?,
        model,
        key,
        streams,
        max_tokens: 32,
        length: Duration::from_secs(seconds),
    })
}

async fn compare_all(load: &Load) -> Result<()> {
    let policies = [
        ("flow", Policy::Flow),
        ("least-in-flight", Policy::LeastInFlight),
        ("round-robin", Policy::RoundRobin),
        ("random", Policy::Random),
    ];
    println!("| policy | streams | positions a second | bound | share | between tokens p95 |");
    println!("|---|---|---|---|---|---|");
    for (name, policy) in policies {
        let point = compare::run(load, policy).await?;
        let share = 100.0 * point.rate / point.bound;
        let (streams, rate, bound) = (point.streams, point.rate, point.bound);
        let between = point.between_p95;
        println!("| {name} | {streams} | {rate:.0} | {bound:.0} | {share:.0}% | {between:.0} ms |");
    }
    Ok(())
}

fn say_progress(second: u64, sent: u64) {
    say(&format!("{second} s: {sent} requests sent"));
}

/// Progress goes to standard error: standard output holds the result.
fn say(line: &str) {
    let _best_effort = writeln!(std::io::stderr(), "{line}");
}

fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(future))
}
