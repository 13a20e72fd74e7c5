//! `jujube-ctl`: see the help below.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use jujube_core::bundle;
use jujube_core::head::Generation;
use jujube_ctl::keys;
use jujube_ctl::roll;
use jujube_ctl::roll::Operator;
use jujube_ctl::settings::Settings;
use jujube_ctl::show;
use jujube_program::arguments;
use jujube_program::arguments::Tool;
use jujube_store::head;
use jujube_store::kv::Etcd;
use pico_args::Arguments;

const HELP: &str = "\
jujube-ctl: the operators' tool

USAGE:
  jujube-ctl keygen FILE                     draw a key; prints the public one
  jujube-ctl hash-key KEY                    print the digest of an API key, for a bundle
  jujube-ctl check BUNDLE                    check a bundle
  jujube-ctl diff OLD NEW                    compare two bundles and ask the guard
  jujube-ctl sign BUNDLE --key FILE          sign; author and reviewer each once
  jujube-ctl rollout BUNDLE --settings FILE --reason TEXT
  jujube-ctl rollback GENERATION --settings FILE --reason TEXT
  jujube-ctl status --settings FILE          generation, capacity and drains by entry
  jujube-ctl audit --settings FILE           who rolled what, and why
  jujube-ctl --help | --version

EXIT CODES:
  0  done
  1  refused or failed; the message says whether anything is in force
  2  wrong arguments or settings
";

fn main() -> ExitCode {
    let tool = Tool {
        name: "jujube-ctl",
        help: HELP,
        version: env!("CARGO_PKG_VERSION"),
        read: Command::read,
        run: Command::run,
    };
    tool.main()
}

enum Command {
    Keygen(PathBuf),
    HashKey(String),
    Check(PathBuf),
    Diff(PathBuf, PathBuf),
    Sign(PathBuf, PathBuf),
    Rollout(PathBuf, Settings, String),
    Rollback(Generation, Settings, String),
    Status(Settings),
    Audit(Settings),
}

impl Command {
    fn read(mut arguments: Arguments) -> Result<Self> {
        let name = arguments
            .subcommand()?
            .context("expected a command; see --help")?;
        let command = match name.as_str() {
            "keygen" => Self::Keygen(arguments.free_from_str()?),
            "hash-key" => Self::HashKey(arguments.free_from_str()?),
            "check" => Self::Check(arguments.free_from_str()?),
            "diff" => Self::Diff(arguments.free_from_str()?, arguments.free_from_str()?),
            "sign" => {
                let key = arguments.value_from_str("--key")?;
                Self::Sign(arguments.free_from_str()?, key)
            }
            "rollout" => {
                let (settings, reason) = with_reason(&mut arguments)?;
                Self::Rollout(arguments.free_from_str()?, settings, reason)
            }
            "rollback" => {
                let (settings, reason) = with_reason(&mut arguments)?;
                Self::Rollback(arguments.free_from_str()?, settings, reason)
            }
            "status" => Self::Status(settings(&mut arguments)?),
            "audit" => Self::Audit(settings(&mut arguments)?),
            _ => bail!("unknown command `{name}`; see --help"),
        };
        arguments::finish(arguments)?;
        Ok(command)
    }

    fn run(self) -> Result<()> {
        match self {
            Self::Keygen(path) => println!("{}", keys::create(&path)?),
            Self::HashKey(key) => println!("{}", bundle::digest(&key)),
            Self::Check(path) => {
                let bundle = roll::check(&keys::load(&path)?.text)?;
                println!("{}: ok, serial {}", path.display(), bundle.serial);
            }
            Self::Diff(older, newer) => return diff(&older, &newer),
            Self::Sign(path, key) => {
                roll::check(&keys::load(&path)?.text)?;
                keys::sign(&path, &keys::read(&key)?)?;
                println!("{}: signed", path.display());
            }
            Self::Rollout(path, settings, reason) => {
                let signed = keys::load(&path)?;
                let operator = operator(&settings, reason)?;
                let store = Etcd::new(&settings.kv);
                let rolled =
                    roll::forward(&store, signed, &settings.trust, settings.guard, &operator);
                println!("generation {} is in force", block_on(rolled)?);
            }
            Self::Rollback(to, settings, reason) => {
                let operator = operator(&settings, reason)?;
                let store = Etcd::new(&settings.kv);
                let rolled = roll::back(&store, to, &settings.trust, &operator);
                println!("generation {} is in force", block_on(rolled)?);
            }
            Self::Status(settings) => print!("{}", block_on(show::status(&settings.entries))?),
            Self::Audit(settings) => {
                let store = Etcd::new(&settings.kv);
                let trail = block_on(async { Ok(head::audit(&store).await?) })?;
                print!("{}", show::audit(&trail, &settings.trust));
            }
        }
        Ok(())
    }
}

fn diff(older: &Path, newer: &Path) -> Result<()> {
    let older = roll::check(&keys::load(older)?.text)?;
    let newer = roll::check(&keys::load(newer)?.text)?;
    for change in bundle::diff(&older, &newer) {
        println!("{change}");
    }
    for fault in bundle::guard(&older, &newer, bundle::Guard::default()) {
        println!("guard: {fault}");
    }
    Ok(())
}

fn settings(arguments: &mut Arguments) -> Result<Settings> {
    let path: PathBuf = arguments.value_from_str("--settings")?;
    Settings::read(&path)
}

fn with_reason(arguments: &mut Arguments) -> Result<(Settings, String)> {
    let settings = settings(arguments)?;
    Ok((settings, arguments.value_from_str("--reason")?))
}

fn operator(settings: &Settings, reason: String) -> Result<Operator> {
    Ok(Operator {
        name: settings.operator.as_str().into(),
        key: keys::read(&settings.key)?,
        reason: reason.into(),
    })
}

fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(future)
}
