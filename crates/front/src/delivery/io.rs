//! A caller's connection that records what it takes.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use jujube_program::clock;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::Delivery;
use super::End;
use super::IDLE_TIMEOUT;
use super::Intake;
use super::intake::Admission;
use super::intake::READ_STEP;
use crate::turn_away;

/// A caller's connection that records its progress.
pub struct Io {
    stream: Take<TcpStream>,
    delivery: Rc<Delivery>,
    intake: Rc<Intake>,
    /// Wakes the connection while it is blocked; left armed when data is taken again, and armed anew
    /// when it expires early.
    idle: Option<Pin<Box<Sleep>>>,
}

impl Io {
    /// Wraps a caller's connection.
    pub fn new(stream: TcpStream, delivery: Rc<Delivery>, intake: Rc<Intake>) -> Self {
        Self {
            stream: stream.take(READ_STEP),
            delivery,
            intake,
            idle: None,
        }
    }

    fn handle_write(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match polled {
            Poll::Ready(Ok(bytes)) => {
                self.delivery.record_written(bytes);
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(error)) => {
                if error.kind() == io::ErrorKind::TimedOut {
                    self.delivery.record_idle();
                }
                Poll::Ready(Err(error))
            }
            Poll::Pending => {
                self.delivery.record_blocked(context);
                self.poll_idle(context).map(Err)
            }
        }
    }

    /// Returns an error if the caller was evicted: its memory is no longer counted.
    fn check_evicted(&self) -> io::Result<()> {
        match self.delivery.end.get() {
            End::Evicted => Err(io::ErrorKind::ConnectionAborted.into()),
            End::Disconnected | End::Idle => Ok(()),
        }
    }

    /// Returns an error once the caller has taken nothing for [`IDLE_TIMEOUT`] or was evicted.
    fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        if let Err(evicted) = self.check_evicted() {
            return Poll::Ready(evicted);
        }
        let idle = clock::now().since(self.delivery.last_taken.get());
        let Some(left) = IDLE_TIMEOUT.checked_sub(Duration::from_millis(idle.0)) else {
            self.delivery.record_idle();
            return Poll::Ready(io::ErrorKind::TimedOut.into());
        };
        let left = left.max(Duration::from_millis(1));
        let sleep = self
            .idle
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(left)));
        while sleep.as_mut().poll(context).is_ready() {
            let deadline = tokio::time::Instant::now() + left;
            sleep.as_mut().reset(deadline);
        }
        Poll::Pending
    }
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.intake.admit(context, self.delivery.is_blocked()) {
            Admission::Read => {}
            Admission::Wait => return Poll::Pending,
            Admission::Refused => {
                self.delivery.record_refused();
                turn_away::answer(self.stream.get_ref());
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
        }
        self.stream.set_limit(READ_STEP);
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Err(error)) = &polled {
            // The system reports its user timeout to whichever operation comes first.
            if error.kind() == io::ErrorKind::TimedOut && self.delivery.is_blocked() {
                self.delivery.record_idle();
            }
        }
        self.intake.record_read(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_evicted()?;
        let polled = Pin::new(self.stream.get_mut()).poll_write(context, bytes);
        self.handle_write(context, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_evicted()?;
        let polled = Pin::new(self.stream.get_mut()).poll_write_vectored(context, slices);
        self.handle_write(context, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(self.stream.get_mut()).poll_flush(context);
        if matches!(polled, Poll::Ready(Ok(()))) {
            // The HTTP layer flushes only once it has written all that it was given.
            self.delivery.record_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(context)
    }
}
