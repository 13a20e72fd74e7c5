//! Fleets of backend servers of three sizes, with the model that they serve and its traffic.

#![allow(dead_code, reason = "each test file uses its part")]

use jujube_core::pipeline::model::Model;
use jujube_core::pipeline::model::Profile;
use jujube_core::pipeline::placement::Holder;

use super::pipeline::holders;
use super::pipeline::model;
use super::pipeline::region;

/// How long a stream holds KV memory at normal traffic, in seconds.
const STREAM_SECONDS: f64 = 2.0;
/// The accelerators of the middle fleet that [`super::pipeline::profile`] does not know.
const LARGE: Profile = Profile {
    memory_mb: 36_000.0,
    step_factor: 3.1,
    prefill_factor: 3.2,
};
const SMALL: Profile = Profile {
    memory_mb: 14_400.0,
    step_factor: 15.0,
    prefill_factor: 15.0,
};

/// The servers of a deployment, without layers.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub model: Model,
    pub holders: Vec<Holder>,
    /// KV memory of the requests in flight at normal traffic, in tokens.
    pub normal_tokens: f64,
}

impl Fleet {
    fn new(model: Model, holders: Vec<Holder>, streams_per_second: f64) -> Self {
        let tokens = model.mean_prompt_tokens + model.mean_answer_tokens;
        Self {
            model,
            holders,
            normal_tokens: streams_per_second * STREAM_SECONDS * tokens,
        }
    }
}

/// Returns 33 servers in three availability zones, of which five load at full speed.
pub fn small() -> Fleet {
    Fleet::new(model(), region(), 79.0)
}

/// Returns 59 servers of smaller accelerators, of which nine load at full speed.
pub fn middle() -> Fleet {
    let model = Model {
        kv_bytes_per_token: 328_000.0,
        concurrent_loads: 9,
        mean_answer_tokens: 138.0,
        profiles: [("large", LARGE), ("small", SMALL)]
            .map(|(name, profile)| (name.into(), profile))
            .into(),
        ..model()
    };
    let mut all = Vec::new();
    for (zone, large, l4, small) in [("a", 1, 13, 7), ("b", 2, 5, 9), ("c", 1, 8, 13)] {
        all.extend(of_profile(zone, "large", large, LARGE));
        all.extend(holders(zone, &[("l4", l4)]));
        all.extend(of_profile(zone, "small", small, SMALL));
    }
    Fleet::new(model, all, 115.0)
}

/// Returns 114 servers in five availability zones, of which nineteen load at full speed.
pub fn large() -> Fleet {
    let model = Model {
        kv_bytes_per_token: 459_000.0,
        concurrent_loads: 19,
        ..model()
    };
    let zones = [
        ("a", 2, 7, 17),
        ("b", 2, 11, 9),
        ("c", 4, 4, 11),
        ("d", 2, 7, 17),
        ("e", 1, 11, 9),
    ];
    let servers =
        |(zone, a100, l40s, l4)| holders(zone, &[("a100", a100), ("l40s", l40s), ("l4", l4)]);
    Fleet::new(model, zones.into_iter().flat_map(servers).collect(), 485.0)
}

fn of_profile(zone: &str, name: &str, count: usize, profile: Profile) -> Vec<Holder> {
    let servers = holders(zone, &[(name, count)]).into_iter();
    servers.map(|holder| Holder { profile, ..holder }).collect()
}
