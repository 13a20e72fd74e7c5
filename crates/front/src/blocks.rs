//! Bytes that are kept in blocks of one size.

use std::convert::Infallible;
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// The size of a block. A connection's buffers have it too, so that what one of them frees is of use to the
/// next; a gap of another size may be of use to nobody.
pub const BLOCK: usize = 16 << 10;

/// Bytes in blocks. A clone shares them.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    all: Rc<[Bytes]>,
    /// The first that was not taken by the reader of this body.
    next: usize,
}

impl Blocks {
    /// Returns those that are left.
    fn left(&self) -> &[Bytes] {
        self.all.get(self.next..).unwrap_or_default()
    }

    /// Returns the blocks.
    pub fn iter(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.left().iter().map(|block| &block[..])
    }

    /// Returns the number of bytes.
    pub fn size(&self) -> u64 {
        self.iter().map(|block| block.len() as u64).sum()
    }
}

/// One block, of any size.
impl From<Bytes> for Blocks {
    fn from(bytes: Bytes) -> Self {
        let all = (!bytes.is_empty()).then_some(bytes);
        Self {
            all: all.into_iter().collect(),
            next: 0,
        }
    }
}

impl Body for Blocks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.left().first().cloned();
        self.next += usize::from(block.is_some());
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.left().is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.size())
    }
}

/// Blocks to which bytes are added.
#[derive(Default)]
pub struct Growing {
    full: Vec<Bytes>,
    last: Vec<u8>,
}

impl Growing {
    /// Returns the number of bytes.
    pub fn size(&self) -> u64 {
        (self.full.len() * BLOCK + self.last.len()) as u64
    }

    /// Adds bytes. If `is_spare`, there is memory for whole blocks, otherwise for these bytes only.
    pub fn extend(&mut self, mut data: &[u8], is_spare: bool) {
        while !data.is_empty() {
            if self.last.len() == BLOCK {
                self.full.push(mem::take(&mut self.last).into());
            }
            let free = BLOCK - self.last.len();
            let (now, later) = data.split_at(free.min(data.len()));
            let room = if is_spare { free } else { now.len() };
            self.last.reserve_exact(room);
            self.last.extend_from_slice(now);
            data = later;
        }
    }

    /// Returns the blocks, without room for more.
    pub fn finish(mut self) -> Blocks {
        if !self.last.is_empty() {
            self.last.shrink_to_fit();
            self.full.push(self.last.into());
        }
        Blocks {
            all: self.full.into(),
            next: 0,
        }
    }
}
