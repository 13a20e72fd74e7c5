//! A reference model whose tokens depend on each layer run and their order.

use jujube_core::layer::Range;

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^ (value >> 29)
}

/// Runs one layer at one position and updates its cache.
pub fn layer(number: u32, input: u64, cache: &mut u64) -> u64 {
    let output = mix(input ^ mix(*cache).wrapping_add(u64::from(number) + 1));
    *cache = mix(*cache ^ output);
    output
}

/// The number of tokens that a sampler chooses from; two engines may choose differently.
const SAMPLED: u64 = 8;

/// Samples a token from the output of the last layer; the choice depends on the run of the engine.
pub fn sample(output: u64, sampler: u64) -> u64 {
    output % 1000 * SAMPLED + mix(sampler) % SAMPLED
}

/// Runs all layers in one process and returns the index of the first token that does not follow from
/// the prompt and the tokens before it.
pub fn first_wrong(layers: Range, prompt: &[u64], tokens: &[u64]) -> Option<usize> {
    let mut caches = vec![0; layers.end as usize];
    let sequence: Vec<u64> = prompt.iter().chain(tokens).copied().collect();
    for (position, input) in sequence.iter().enumerate() {
        let mut value = *input;
        for number in layers.start..layers.end {
            value = layer(number, value, &mut caches[number as usize]);
        }
        let next = sequence.get(position + 1)?;
        if position + 1 >= prompt.len() && next / SAMPLED != value % 1000 {
            return Some(position + 1 - prompt.len());
        }
    }
    None
}
