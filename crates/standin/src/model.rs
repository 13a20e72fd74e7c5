//! The stand-in model: its text is a pure function of the prompt and of the layers run, in order.
//!
//! Each layer mixes its input with a cache that carries all earlier positions, so that a layer that
//! is skipped, run twice or swapped, or another request's activation, changes every later token.

/// Cached state of one layer.
pub type Cache = u64;

const EMBED: u64 = 0x9e37_79b9_7f4a_7c15;
const LAYER: u64 = 0xbf58_476d_1ce4_e5b9;
const CACHE: u64 = 0x94d0_49bb_1331_11eb;
const VOCABULARY: u64 = 50_000;

fn mix(mut value: u64) -> u64 {
    value ^= value >> 30;
    value = value.wrapping_mul(LAYER);
    value ^= value >> 27;
    value = value.wrapping_mul(CACHE);
    value ^ (value >> 31)
}

/// Returns the input of the first layer for a token.
#[must_use]
pub fn embed(token: u64, position: u64) -> u64 {
    mix(token.wrapping_mul(EMBED) ^ mix(position))
}

/// Runs one layer at one position; the cache moves on.
#[must_use]
pub fn layer(number: u32, position: u64, input: u64, cache: &mut Cache) -> u64 {
    let key = mix(u64::from(number) + 1).wrapping_add(position);
    let output = mix(input ^ mix(*cache ^ key));
    *cache = mix(cache.wrapping_mul(EMBED) ^ output);
    output
}

/// Returns the token that the last layer's output stands for.
#[must_use]
pub fn sample(output: u64) -> u64 {
    mix(output) % VOCABULARY
}

/// The naive version: one process, one request, all layers.
///
/// # Examples
///
/// ```
/// # use jujube_standin::model::generate;
/// let tokens = generate(12, &[1, 2, 3], 5);
/// assert_eq!(tokens.len(), 5);
/// assert_ne!(tokens, generate(11, &[1, 2, 3], 5));
/// ```
#[must_use]
pub fn generate(layers: u32, prompt: &[u64], max_tokens: usize) -> Vec<u64> {
    let mut caches = vec![0; layers as usize];
    let mut sequence = prompt.to_vec();
    let mut answer = Vec::new();
    let mut position = 0;
    while answer.len() < max_tokens {
        let mut value = embed(sequence[position], position as u64);
        for number in 0..layers {
            value = layer(number, position as u64, value, &mut caches[number as usize]);
        }
        position += 1;
        if position == sequence.len() {
            let token = sample(value);
            sequence.push(token);
            answer.push(token);
        }
    }
    answer
}
