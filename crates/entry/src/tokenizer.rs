//! Text to tokens and back.
//!
//! A real deployment puts its model's tokenizer behind [`Tokenizer`]; [`Words`] is the one that the
//! stand-in model goes with.

/// A model's tokenizer.
pub trait Tokenizer: Clone + Send + Sync + 'static {
    /// Returns a prompt's tokens.
    fn encode(&self, text: &str) -> Vec<u64>;

    /// Returns the text of one token of an answer.
    fn decode(&self, token: u64) -> String;
}

/// One token a word.
///
/// # Examples
///
/// ```
/// # use jujube_entry::tokenizer::Tokenizer;
/// # use jujube_entry::tokenizer::Words;
/// assert_eq!(Words.encode("two words").len(), 2);
/// assert_eq!(Words.decode(0), " ra");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Words;

const CONSONANTS: [char; 8] = ['k', 's', 't', 'n', 'h', 'm', 'y', 'r'];
const VOWELS: [char; 5] = ['a', 'i', 'u', 'e', 'o'];

impl Tokenizer for Words {
    fn encode(&self, text: &str) -> Vec<u64> {
        // FNV-1a: a published hash that is the same on every machine.
        let hash = |word: &str| {
            word.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            })
        };
        text.split_whitespace().map(hash).collect()
    }

    fn decode(&self, token: u64) -> String {
        const SYLLABLES: u64 = (CONSONANTS.len() * VOWELS.len()) as u64;
        const LAST_CONSONANT: usize = CONSONANTS.len() - 1;
        let mut text = String::from(" ");
        let mut rest = token;
        loop {
            let syllable = (rest % SYLLABLES) as usize;
            text.push(CONSONANTS[LAST_CONSONANT - syllable % CONSONANTS.len()]);
            text.push(VOWELS[syllable / CONSONANTS.len()]);
            rest /= SYLLABLES;
            if rest == 0 {
                return text;
            }
        }
    }
}
