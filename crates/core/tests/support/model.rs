//! The naive version: a model whose text depends on every layer run, in order.

use jujube_core::layer::Range;

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^ (value >> 29)
}

/// Runs one layer at one position; the cache moves on.
pub fn layer(number: u32, input: u64, cache: &mut u64) -> u64 {
    let output = mix(input ^ mix(*cache).wrapping_add(u64::from(number) + 1));
    *cache = mix(*cache ^ output);
    output
}

/// How many tokens a sampler draws from: two engines need not draw the same.
const DRAWN: u64 = 8;

/// Returns a token for the last layer's output, as one life of an engine draws it.
pub fn sample(output: u64, life: u64) -> u64 {
    output % 1000 * DRAWN + mix(life) % DRAWN
}

/// The naive version: one process, one request, all layers. Returns the first token that does not
/// follow from the prompt and the tokens before it, whichever engine drew those.
pub fn first_wrong(layers: Range, prompt: &[u64], tokens: &[u64]) -> Option<usize> {
    let mut caches = vec![0; layers.end as usize];
    let sequence: Vec<u64> = prompt.iter().chain(tokens).copied().collect();
    for (position, input) in sequence.iter().enumerate() {
        let mut value = *input;
        for number in layers.start..layers.end {
            value = layer(number, value, &mut caches[number as usize]);
        }
        let next = sequence.get(position + 1)?;
        if position + 1 >= prompt.len() && next / DRAWN != value % 1000 {
            return Some(position + 1 - prompt.len());
        }
    }
    None
}
