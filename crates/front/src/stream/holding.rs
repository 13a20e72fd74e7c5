//! What a stream holds while its caller is behind, and how much of it is reserved.

use std::cell::Cell;

use bytes::Bytes;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;

use crate::memory;
use crate::memory::Reservation;

/// The memory that a stream holds for its caller.
///
/// What the caller's connection was given counts until the connection has taken every byte: the HTTP
/// layer keeps the whole of it until then.
#[derive(Default)]
pub(super) struct Holding {
    /// The data in the queue.
    queued: Cell<u64>,
    /// The data that the connection was given and may not have written yet.
    passed: Cell<u64>,
    /// How often the connection had taken every byte when data was last passed to it.
    flushes: Cell<u64>,
    /// What is reserved.
    reserved: Cell<u64>,
}

impl Holding {
    /// Records how often the connection had taken every byte.
    pub(super) fn record_flushes(&self, flushes: u64) {
        if self.flushes.replace(flushes) != flushes {
            self.passed.set(0);
        }
    }

    /// Records that data was passed to the connection.
    pub(super) fn record_passed(&self, bytes: &Bytes) {
        self.passed
            .set(self.passed.get() + memory::kept_size(bytes).0);
    }

    /// Records that data was added to the queue.
    pub(super) fn record_queued(&self, bytes: &Bytes) {
        self.queued
            .set(self.queued.get() + memory::kept_size(bytes).0);
    }

    /// Records that data was taken from the queue and passed to the connection.
    pub(super) fn record_popped(&self, bytes: &Bytes) {
        let size = memory::kept_size(bytes).0;
        self.queued.set(self.queued.get().saturating_sub(size));
        self.record_passed(bytes);
    }

    /// Reserves what is held and not reserved yet, or releases what is no longer held; `reading` is held
    /// for the server's response. Returns whether there was room.
    pub(super) fn adjust(&self, reservation: &Reservation, reading: Size) -> bool {
        let missing = self.held(reading).saturating_sub(self.reserved.get());
        if missing == 0 {
            self.shrink(reservation, reading);
            return true;
        }
        let reserved = reservation.reserve(Cause::ReadAhead, Size(missing));
        if reserved.is_ok() {
            self.reserved.set(self.reserved.get() + missing);
        }
        reserved.is_ok()
    }

    /// Releases what is reserved and no longer held.
    pub(super) fn shrink(&self, reservation: &Reservation, reading: Size) {
        let held = self.held(reading);
        let surplus = self.reserved.get().saturating_sub(held);
        if surplus > 0 {
            reservation.release(Cause::ReadAhead, Size(surplus));
            self.reserved.set(held);
        }
    }

    /// Releases all that is reserved.
    pub(super) fn release(&self, reservation: &Reservation) {
        let reserved = self.reserved.take();
        reservation.release(Cause::ReadAhead, Size(reserved));
    }

    fn held(&self, reading: Size) -> u64 {
        self.queued.get() + self.passed.get() + reading.0
    }
}
