//! A text as its difference from an earlier one.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// The character after which a text is cut into pieces. Each object of a JSON text ends with it, so
/// that a changed route or customer is one piece of hundreds.
const PIECE_END: char = '}';

/// A part of a text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Part {
    /// So many bytes of the earlier text, from an offset.
    Copied { start: u32, length: u32 },
    /// Bytes that the earlier text does not have there.
    New(String),
}

/// A text as its difference from an earlier one.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::difference::Difference;
/// let earlier = r#"{"a":{"x":1},"b":{"x":2},"c":{"x":3}}"#;
/// let later = r#"{"a":{"x":1},"b":{"x":9},"c":{"x":3}}"#;
/// let difference = Difference::new(earlier, later);
/// assert_eq!(difference.apply(earlier).as_deref(), Some(later));
/// assert_eq!(difference.apply("{}"), None, "not the text that it was made from");
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    parts: Vec<Part>,
    /// The digest of the whole later text.
    digest: [u8; 32],
}

impl Difference {
    /// Returns the difference between two texts.
    #[must_use]
    pub fn new(earlier: &str, later: &str) -> Self {
        let mut offsets: HashMap<&str, usize> = HashMap::new();
        for (offset, piece) in pieces(earlier) {
            offsets.entry(piece).or_insert(offset);
        }
        let mut parts: Vec<Part> = Vec::new();
        for (_, piece) in pieces(later) {
            if extend(&mut parts, earlier, piece) {
                continue;
            }
            match (parts.last_mut(), offsets.get(piece)) {
                (_, Some(offset)) => parts.push(Part::Copied {
                    start: *offset as u32,
                    length: piece.len() as u32,
                }),
                (Some(Part::New(text)), None) => text.push_str(piece),
                (_, None) => parts.push(Part::New(piece.into())),
            }
        }
        Self {
            parts,
            digest: Sha256::digest(later).into(),
        }
    }

    /// Returns the later text; `None` if `earlier` is not the text that the difference was made
    /// from.
    #[must_use]
    pub fn apply(&self, earlier: &str) -> Option<String> {
        let mut later = String::new();
        for part in &self.parts {
            match part {
                Part::Copied { start, length } => {
                    let end = start.checked_add(*length)?;
                    later.push_str(earlier.get(*start as usize..end as usize)?);
                }
                Part::New(text) => later.push_str(text),
            }
        }
        let digest: [u8; 32] = Sha256::digest(&later).into();
        (digest == self.digest).then_some(later)
    }

    /// Returns about how many bytes the difference takes on the wire.
    #[must_use]
    pub fn size(&self) -> usize {
        let part_size = |part: &Part| match part {
            Part::Copied { .. } => 8,
            Part::New(text) => text.len(),
        };
        self.digest.len() + self.parts.iter().map(part_size).sum::<usize>()
    }
}

/// Extends the last part if it was copied and the piece follows it in the earlier text too. Equal
/// pieces, such as empty objects, would otherwise be copied one by one.
fn extend(parts: &mut [Part], earlier: &str, piece: &str) -> bool {
    let Some(Part::Copied { start, length }) = parts.last_mut() else {
        return false;
    };
    let end = (*start + *length) as usize;
    let follows = earlier
        .get(end..)
        .is_some_and(|rest| rest.starts_with(piece));
    if follows {
        *length += piece.len() as u32;
    }
    follows
}

/// Returns the pieces of a text with their offsets.
fn pieces(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let mut offset = 0;
    text.split_inclusive(PIECE_END).map(move |piece| {
        let start = offset;
        offset += piece.len();
        (start, piece)
    })
}
