//! What a stream holds while its caller is behind, and how much of it is reserved.

use std::cell::Cell;

use bytes::Bytes;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;

use crate::memory;
use crate::memory::Reservation;

/// What a stream holds of its events without a reservation: a read, which the place of its request is
/// counted for.
const UNRESERVED: Size = Size(16 << 10);

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
    /// What is reserved while the caller is behind.
    reserved: Cell<u64>,
    /// What is reserved for an event that is larger than one read.
    event: Cell<u64>,
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
        let reserved = self.reserved.get() + self.event.get();
        let missing = self.held(reading).saturating_sub(reserved);
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
        self.shrink_event(reservation, held);
        let held = held.saturating_sub(self.event.get());
        let surplus = self.reserved.get().saturating_sub(held);
        if surplus > 0 {
            reservation.release(Cause::ReadAhead, Size(surplus));
            self.reserved.set(held);
        }
    }

    /// Adjusts what is reserved for events while the caller is not behind: `partial` has arrived of one
    /// that may take `most`. Returns whether there was room.
    ///
    /// An event gets twice what has arrived of it, as long as the whole of one event stays free beside it:
    /// of several that have a part each, one can always become whole. It gets all it may take otherwise.
    pub(super) fn adjust_event(
        &self,
        reservation: &Reservation,
        partial: Size,
        most: Size,
        reading: Size,
    ) -> bool {
        let passed = self.passed.get();
        let (small, full) = match passed + partial.0 {
            open if open <= UNRESERVED.0 => (0, 0),
            _ if partial.0 > 0 => {
                let base = passed + reading.0;
                (base + most.0.min(2 * partial.0), base + most.0)
            }
            _ => (passed + reading.0, passed + reading.0),
        };
        self.shrink_event(reservation, full);
        let event = self.event.get();
        if small <= event {
            return true;
        }
        let beside = Size(small - event + most.0);
        if reservation.reserve_free(Cause::Response, beside).is_ok() {
            reservation.release(Cause::Response, most);
            self.event.set(small);
            return true;
        }
        let whole = reservation.reserve(Cause::Response, Size(full - event));
        if whole.is_ok() {
            self.event.set(full);
        }
        whole.is_ok()
    }

    /// Releases what is reserved for events beyond a size.
    pub(super) fn shrink_event(&self, reservation: &Reservation, size: u64) {
        let surplus = self.event.get().saturating_sub(size);
        if surplus > 0 {
            reservation.release(Cause::Response, Size(surplus));
            self.event.set(size);
        }
    }

    /// Returns whether memory is reserved for an event.
    pub(super) fn has_event(&self) -> bool {
        self.event.get() > 0
    }

    /// Ends what was reserved because the caller was behind. What is still held is kept as an event's,
    /// since there may be no room to reserve it anew.
    pub(super) fn release(&self, reservation: &Reservation, reading: Size) {
        let reserved = self.reserved.take();
        let beyond_event = self.held(reading).saturating_sub(self.event.get());
        let kept = beyond_event.min(reserved);
        reservation.transfer(Cause::ReadAhead, Cause::Response, Size(kept));
        self.event.set(self.event.get() + kept);
        reservation.release(Cause::ReadAhead, Size(reserved - kept));
    }

    fn held(&self, reading: Size) -> u64 {
        self.queued.get() + self.passed.get() + reading.0
    }
}
