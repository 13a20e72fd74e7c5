//! The performance profile of a model and of the accelerators that run it.

use std::collections::BTreeMap;

use crate::layer::Range;
use crate::name::Accelerator;

/// The performance of one accelerator type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Decode step time, as a multiple of [`Model::step_ms`].
    pub step_factor: f64,
    /// Prefill time, as a multiple of the time at [`Model::prefill_tokens_per_second`].
    pub prefill_factor: f64,
}

impl Profile {
    /// Returns a key that equal profiles share, for grouping servers by accelerator.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::model::Profile;
    /// let profile = Profile { memory_mb: 36_000.0, step_factor: 3.1, prefill_factor: 3.2 };
    /// let slower = Profile { step_factor: 15.0, ..profile };
    /// assert_eq!(profile.key(), profile.key());
    /// assert_ne!(profile.key(), slower.key());
    /// ```
    #[must_use]
    pub fn key(self) -> [u64; 3] {
        [self.memory_mb, self.step_factor, self.prefill_factor].map(f64::to_bits)
    }
}

/// A model whose layers are distributed over backend servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Number of layers.
    pub layers: u32,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// KV memory of one token over all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// Decode step time over all layers at a step factor of 1, in milliseconds.
    pub step_ms: f64,
    /// Step time added by each request in the batch, in milliseconds.
    pub step_ms_per_request: f64,
    /// Step time added by each 1,000 context tokens of a request in the batch, in milliseconds.
    pub step_ms_per_1000_context: f64,
    /// Prefill rate over all layers at a prefill factor of 1.
    pub prefill_tokens_per_second: f64,
    /// Maximum prompt tokens prefilled in one step; 0 if unknown.
    pub prefill_chunk: f64,
    /// Answer tokens per event.
    pub tokens_per_event: f64,
    /// Time to load all layers, in seconds.
    pub load_seconds: f64,
    /// Servers that can load at full speed at the same time; more share the bandwidth. 0 if
    /// unknown.
    pub concurrent_loads: u32,
    /// Mean prompt length.
    pub mean_prompt_tokens: f64,
    /// Mean answer length.
    pub mean_answer_tokens: f64,
    /// Performance by accelerator type.
    pub profiles: BTreeMap<Accelerator, Profile>,
}

const BYTES_PER_MB: f64 = 1e6;
/// The most layers of a model whose layers are placed, several times those of the largest models in
/// use. The memory of a plan grows with their number, and its time with the square.
const MAX_PLACED_LAYERS: u32 = 1_024;

impl Model {
    /// Returns the number of layers that fit when weights may use `share` of the memory.
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

    /// Returns whether the layers of this model can be placed; servers keep those of others.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::model::Model;
    /// let of = |layers| Model { layers, ..Model::default() };
    /// assert!(of(80).is_placeable());
    /// assert!(!of(0).is_placeable());
    /// assert!(!of(u32::MAX).is_placeable());
    /// ```
    #[must_use]
    pub fn is_placeable(&self) -> bool {
        (1..=MAX_PLACED_LAYERS).contains(&self.layers)
    }

    /// Returns whether the range lies within this model. A server may report layers of another
    /// model, and a path through them would run past the last layer.
    #[must_use]
    pub fn contains(&self, layers: Range) -> bool {
        layers.end <= self.layers
    }

    /// Returns the time to load `layers` layers at full speed, in milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::model::Model;
    /// let model = Model { layers: 80, load_seconds: 16.0, ..Model::default() };
    /// assert_eq!(model.load_ms(20), 4_000.0);
    /// ```
    #[must_use]
    pub fn load_ms(&self, layers: u32) -> f64 {
        const MILLISECONDS: f64 = 1e3;
        let share = f64::from(layers) / f64::from(self.layers.max(1));
        self.load_seconds * MILLISECONDS * share
    }

    /// Returns the KV capacity left beside the weights of `held` layers, in token-layers.
    #[must_use]
    pub fn kv_capacity(&self, profile: Profile, held: u32) -> f64 {
        let left_mb = profile.memory_mb - f64::from(held) * self.layer_mb;
        let per_token_and_layer = self.kv_bytes_per_token / f64::from(self.layers.max(1));
        (left_mb * BYTES_PER_MB / per_token_and_layer.max(1.0)).max(0.0)
    }

    /// Returns the step time in a batch relative to a single request, for requests of mean length
    /// halfway through their answers.
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

    /// Returns the time to prefill `tokens` tokens on a server that runs `held` layers for
    /// `requests` requests, in milliseconds.
    ///
    /// Prefill chunks alternate with decode steps. A server's batch contains the share of its
    /// requests that are in its part of the path.
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
        let compute_ms =
            tokens / self.prefill_tokens_per_second.max(1.0) * 1e3 * profile.prefill_factor * share;
        let batch = (requests as f64 * share).ceil() as u64;
        let step_ms = self.step_ms * profile.step_factor * share * self.batch_factor(batch);
        let steps = if self.prefill_chunk > 0.0 {
            tokens / self.prefill_chunk
        } else {
            0.0
        };
        compute_ms + steps * step_ms
    }

    /// Returns the profile of an accelerator type, if configured.
    #[must_use]
    pub fn profile(&self, accelerator: Option<&Accelerator>) -> Option<Profile> {
        self.profiles.get(accelerator?).copied()
    }
}
