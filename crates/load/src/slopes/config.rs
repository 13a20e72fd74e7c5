//! What a configuration costs: bytes, and the time to check and take one.

use std::fmt::Write;

use anyhow::Result;
use anyhow::anyhow;
use jujube_core::bundle;
use jujube_core::bundle::Signed;
use jujube_core::bundle::Trust;
use jujube_core::delta::Delta;
use jujube_core::head;
use jujube_core::head::Config;
use jujube_core::head::Generation;
use jujube_core::head::Head;

use super::Slope;
use super::micros;
use super::shortest;

const SIZES: [usize; 4] = [30, 500, 2_000, 5_000];
const CUSTOMERS: usize = 580;

fn text(servers: usize) -> Result<String> {
    let mut text = String::from("[bundle]\nserial = 1\n\n");
    for index in 0..CUSTOMERS.min(servers) {
        let key = bundle::digest(&index.to_string());
        writeln!(text, "[customer c{index}]\nkeys = {key}\nweight = 1\n")?;
    }
    writeln!(text, "[service m]\nkind = model\nlayers = 48\n")?;
    writeln!(text, "[accelerator a]\nlayer-tokens = 10000\n")?;
    for index in 0..servers {
        let (start, port) = (index % 4 * 12, 1024 + index % 60_000);
        writeln!(
            text,
            "[server s{index}]\nservice = m\naddress = 10.{}.{}.1:{port}\nzone = z{}\n\
             accelerator = a\nlayers = {start}-{}\nslots = 16\n",
            index / 256,
            index % 256,
            index % 36,
            start + 12
        )?;
    }
    Ok(text)
}

fn config(servers: usize) -> Result<(Config, Trust)> {
    const SECRETS: [[u8; 32]; 2] = [[1; 32], [2; 32]];
    let text = text(servers)?;
    let digest = bundle::digest(&text);
    let signatures: Vec<_> = SECRETS
        .iter()
        .map(|secret| bundle::sign(secret, &digest))
        .collect();
    let keys = signatures
        .iter()
        .map(|signature| signature.key.as_str().into())
        .collect();
    let head = Head {
        generation: Generation(1),
        bundle: digest.to_string(),
        ..Head::default()
    };
    let config = Config {
        head: head.signed(&SECRETS[0]),
        signed: Signed {
            text: text.into(),
            signatures,
        },
    };
    Ok((config, Trust { keys }))
}

/// Returns the configuration with one backend server out of use.
fn changed(config: &Config) -> Config {
    let mut newer = config.clone();
    newer.head.generation = newer.head.generation.next();
    let text = config
        .signed
        .text
        .replace("[server s7]\n", "[server s7]\nin-use = false\n");
    newer.signed.text = text.into();
    newer
}

pub(super) fn measure() -> Result<Vec<Slope>> {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    let mut deltas = Vec::new();
    let mut joins = Vec::new();
    for size in SIZES {
        let (config, trust) = config(size)?;
        let json = serde_json::to_string(&config)?;
        bytes.push((size as f64, json.len() as f64));
        head::accept(Generation(0), &config, &trust).map_err(|error| anyhow!("{error}"))?;
        let took = shortest(3, || {
            let _accepted = head::accept(Generation(0), &config, &trust);
        });
        times.push((size as f64, micros(took) / 1000.0));
        let newer = changed(&config);
        let delta = Delta::between(&config, &newer);
        deltas.push((size as f64, serde_json::to_string(&delta)?.len() as f64));
        let took = shortest(3, || {
            let _newer = delta.apply(&config);
        });
        joins.push((size as f64, micros(took)));
    }
    Ok(vec![
        Slope {
            what: "configuration passed on whole",
            size: "backend servers",
            unit: "bytes",
            points: bytes,
        },
        Slope {
            what: "configuration checked and taken",
            size: "backend servers",
            unit: "ms",
            points: times,
        },
        Slope {
            what: "configuration passed on as a difference of one backend server",
            size: "backend servers",
            unit: "bytes",
            points: deltas,
        },
        Slope {
            what: "difference put together",
            size: "backend servers",
            unit: "microseconds",
            points: joins,
        },
    ])
}
