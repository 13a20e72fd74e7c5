//! What is known of a model and of the accelerators that run it.

use std::collections::BTreeMap;

use crate::layer::Range;
use crate::name::Accelerator;

/// One kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Its memory, in megabytes.
    pub memory_mb: f64,
    /// How many times the model's step time it takes for a token, for all layers.
    pub step_factor: f64,
    /// How many times the model's time it takes to read a prompt.
    pub prefill_factor: f64,
}

/// A model spread by layers over backend servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// How many layers the model has.
    pub layers: u32,
    /// The memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// The memory of one token in all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// The time of one token on an accelerator of pace 1, all layers, in milliseconds.
    pub step_ms: f64,
    /// How much longer each request in a batch makes a token, in milliseconds, on an accelerator of
    /// pace 1 with all layers.
    pub step_ms_per_request: f64,
    /// How much longer 1,000 tokens of context of one request make it.
    pub step_ms_per_1000_context: f64,
    /// Prompt tokens read in a second at reading pace 1.
    pub prefill_tokens_per_second: f64,
    /// The most prompt tokens that a server reads between two tokens of the requests that it runs; 0
    /// when that is not known.
    pub prefill_chunk: f64,
    /// How many tokens of an answer one event carries.
    pub tokens_per_event: f64,
    /// How long loading all layers takes, in seconds.
    pub load_seconds: f64,
    /// How many servers load at full speed at a time; more share it. 0 when that is not known.
    pub concurrent_loads: u32,
    /// Mean prompt tokens of a request.
    pub mean_prompt_tokens: f64,
    /// Mean answer tokens of a request.
    pub mean_answer_tokens: f64,
    /// The accelerators.
    pub profiles: BTreeMap<Accelerator, Profile>,
}

const BYTES_PER_MB: f64 = 1e6;

impl Model {
    /// Returns how many layers fit into an accelerator when `share` of its memory may hold weights.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::model::Model;
    /// # use jujube_core::pipeline::model::Profile;
    /// let model = Model { layers: 80, layer_mb: 1750.0, ..Model::default() };
    /// let profile = Profile { memory_mb: 21_600.0, step_factor: 16.0, prefill_factor: 8.2 };
    /// assert_eq!(model.max_layers(profile, 1.0), 12);
    /// ```
    #[must_use]
    pub fn max_layers(&self, profile: Profile, share: f64) -> u32 {
        let layers = profile.memory_mb * share / self.layer_mb.max(1.0);
        (layers.max(0.0) as u32).min(self.layers)
    }

    /// Tells whether layers are all of this model. A server may say that it holds others; a path through
    /// them would end beyond the model.
    #[must_use]
    pub fn contains(&self, layers: Range) -> bool {
        layers.end <= self.layers
    }

    /// Returns the memory left for requests beside `held` layers, in tokens times layers.
    #[must_use]
    pub fn kv_capacity(&self, profile: Profile, held: u32) -> f64 {
        let left_mb = profile.memory_mb - f64::from(held) * self.layer_mb;
        let per_token_and_layer = self.kv_bytes_per_token / f64::from(self.layers.max(1));
        (left_mb * BYTES_PER_MB / per_token_and_layer.max(1.0)).max(0.0)
    }

    /// Returns how many times longer a token takes in a batch than alone, for requests of the usual
    /// size halfway through their answers.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::model::Model;
    /// let model = Model { step_ms: 1.0, step_ms_per_request: 0.01, ..Model::default() };
    /// assert_eq!(model.batch_factor(100), 2.0);
    /// ```
    #[must_use]
    pub fn batch_factor(&self, requests: u64) -> f64 {
        let context = (self.mean_prompt_tokens + self.mean_answer_tokens / 2.0) / 1e3;
        let each_ms = self.step_ms_per_request + self.step_ms_per_1000_context * context;
        1.0 + requests as f64 * each_ms / self.step_ms.max(f64::MIN_POSITIVE)
    }

    /// Returns how many milliseconds a server that holds `held` layers and runs `requests` requests
    /// takes to read `tokens` tokens.
    ///
    /// It reads them in pieces, between the tokens of the requests that it runs; requests are spread
    /// over the parts of their paths, so a share of them is in each of its batches.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::model::Model;
    /// # use jujube_core::pipeline::model::Profile;
    /// let model = Model {
    ///     layers: 80,
    ///     step_ms: 1.0,
    ///     prefill_tokens_per_second: 100_000.0,
    ///     prefill_chunk: 500.0,
    ///     ..Model::default()
    /// };
    /// let profile = Profile { memory_mb: 0.0, step_factor: 16.0, prefill_factor: 8.0 };
    /// assert_eq!(model.prefill_ms(profile, 10, 1_000.0, 0), 14.0);
    /// ```
    #[must_use]
    pub fn prefill_ms(&self, profile: Profile, held: u32, tokens: f64, requests: u64) -> f64 {
        let share = f64::from(held) / f64::from(self.layers.max(1));
        let reading_ms =
            tokens / self.prefill_tokens_per_second.max(1.0) * 1e3 * profile.prefill_factor * share;
        let batch = (requests as f64 * share).ceil() as u64;
        let step_ms = self.step_ms * profile.step_factor * share * self.batch_factor(batch);
        let steps = if self.prefill_chunk > 0.0 {
            tokens / self.prefill_chunk
        } else {
            0.0
        };
        reading_ms + steps * step_ms
    }

    /// Returns the kind of an accelerator, if the model names it.
    #[must_use]
    pub fn profile(&self, accelerator: Option<&Accelerator>) -> Option<Profile> {
        self.profiles.get(accelerator?).copied()
    }
}
