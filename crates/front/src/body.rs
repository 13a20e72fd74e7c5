//! Bodies of the answers that callers get.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::dialect::Dialect;
use crate::stream::Live;

/// The body of an answer.
pub enum Body<D> {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// Events are passed on as they come.
    Live(Box<Live<D>>),
}

impl<D> Body<D> {
    /// Returns a body that is whole.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// Returns a body of text.
    pub fn text(text: impl Into<String>) -> Self {
        Self::whole(text.into().into())
    }
}

impl<D: Dialect> hyper::body::Body for Body<D> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Live(live) => live.poll(context).map(|next| Some(next?.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Live(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Live(_) => SizeHint::default(),
        }
    }
}
