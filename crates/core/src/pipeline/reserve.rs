//! The pieces of a retry budget's slack that an entry holds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::number::numbers;
use crate::revision::Revision;
use crate::time::Instant;
use crate::time::Span;

use super::key::Segment;

/// The number of pieces that the slack of each service is divided into, and so the number of
/// entries that can hold a part at a time. With more pieces, each is worth less than one or two
/// retries where the slack is small, and each take is sent to all entries.
pub const PIECES_PER_SERVICE: u16 = 32;
/// The number of free pieces of a service below which entries return the pieces that they do not
/// need.
pub const MIN_FREE_PIECES: usize = 8;
/// Idle entries together hold one piece in this many, because the store that grants the others may
/// be unavailable when servers die. With more entries than idle pieces, an idle entry holds none.
const IDLE_PIECES_DIVISOR: u64 = 2;

numbers! {
    /// The index of a piece of a service's slack.
    Piece;
    /// The identifier of the lease under which an entry holds its pieces.
    LeaseId;
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    /// When the last renewal was requested.
    renewed: Instant,
}

/// A piece in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// The lease under which it was taken.
    pub lease_id: LeaseId,
    /// When it was written.
    pub revision: Revision,
}

/// The service is named as in keys of the store, which tell of pieces of others.
type Key = (Segment, Piece);

/// Tracks which pieces of the slack this entry holds, and which are free.
///
/// All entries share the slack, but each knows only its own retries. Each piece is
/// therefore held by one entry at a time: it is a key in the store that is created only if absent,
/// under the lease of the entry that takes it. The holder uses it only while, by its own clock, the
/// lease outlasts the time for which a retry counts. When the key goes, no window contains a retry
/// that was sent for it, so the next holder may use it at once. The pieces always add up to the
/// slack, whichever entries start, die or are partitioned. This relies on the store to keep leases
/// for their full time, and on a steady clock.
///
/// Entries hold pieces by need rather than in equal parts, because a dying server affects few
/// entries, and an equal part is too small for them: a slack of 390 is under four retries for each
/// of a hundred entries.
///
/// Each take of some pieces and each return costs one call. The pieces of an entry that is killed
/// become free when its lease ends.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::reserve::Piece;
/// # use jujube_core::pipeline::reserve::PIECES_PER_SERVICE;
/// # use jujube_core::pipeline::reserve::Reserve;
/// # use jujube_core::pipeline::reserve::LeaseId;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let mut reserve = Reserve::new(Span(27_000), Span(12_000));
/// reserve.begun(LeaseId(7), Instant(0));
/// assert_eq!(reserve.free(&"s".into()).len(), usize::from(PIECES_PER_SERVICE));
/// reserve.took(LeaseId(7), &"s".into(), [Piece(3)]);
/// assert_eq!(reserve.share(Instant(14_999), &"s".into(), 64.0), 2.0);
/// assert_eq!(reserve.share(Instant(15_000), &"s".into(), 64.0), 0.0, "the lease was not renewed");
/// ```
#[derive(Clone, Debug)]
pub struct Reserve {
    /// The time to live of a lease after a renewal.
    lease: Span,
    /// How long an extra arrival counts.
    reach: Span,
    own_lease: Option<Lease>,
    /// The pieces of this entry, with the revisions of their writes where the store has reported
    /// them.
    held: BTreeMap<Key, Option<Revision>>,
    /// The pieces of other entries.
    taken: BTreeMap<Key, Record>,
    /// Writes of pieces that this entry is returning; the store may report them once more.
    returned: BTreeSet<Revision>,
    /// The revision up to which changes of the store are known.
    known_revision: Revision,
    /// Whether retries for pieces of an earlier era of the store may still count.
    is_settling: bool,
}

impl Reserve {
    /// Returns a reserve without a lease or pieces.
    #[must_use]
    pub fn new(lease: Span, reach: Span) -> Self {
        Self {
            lease,
            reach,
            own_lease: None,
            held: BTreeMap::new(),
            taken: BTreeMap::new(),
            returned: BTreeSet::new(),
            known_revision: Revision::default(),
            is_settling: false,
        }
    }

    /// Resets the reserve after the store was restored from an older copy.
    ///
    /// Prevents two entries from using a piece whose key the store has lost, and lists of the store
    /// from being ignored because their revisions are smaller than the known ones.
    pub fn restored(&mut self) {
        self.lost();
        self.taken.clear();
        self.known_revision = Revision::default();
        self.is_settling = true;
    }

    /// Sets whether retries for pieces of an earlier era may still count; no pieces are used
    /// meanwhile.
    pub fn set_settling(&mut self, is_settling: bool) {
        self.is_settling = is_settling;
    }

    /// Sets how long extra arrivals count.
    pub fn set_reach(&mut self, reach: Span) {
        self.reach = reach;
    }

    /// Applies a new lease, granted by a call made at `requested_at`, and drops the pieces of an
    /// earlier one.
    pub fn begun(&mut self, lease: LeaseId, requested_at: Instant) {
        self.lost();
        self.own_lease = Some(Lease {
            id: lease,
            renewed: requested_at,
        });
    }

    /// Records that the lease was renewed by a call made at `requested_at`.
    pub fn renewed(&mut self, requested_at: Instant) {
        if let Some(lease) = &mut self.own_lease {
            lease.renewed = lease.renewed.max(requested_at);
        }
    }

    /// Drops the lease once it has expired by this process's clock.
    pub fn expire(&mut self, now: Instant) {
        let has_ended = |lease: Lease| now.since(lease.renewed) >= self.lease;
        if self.own_lease.is_some_and(has_ended) {
            self.lost();
        }
    }

    /// Drops the lease and its pieces.
    pub fn lost(&mut self) {
        self.own_lease = None;
        self.held.clear();
        self.returned.clear();
    }

    /// Returns the lease of this entry, if it has one.
    #[must_use]
    pub fn lease_id(&self) -> Option<LeaseId> {
        self.own_lease.map(|lease| lease.id)
    }

    /// Returns whether pieces may be used: the lease outlasts the time for which a retry counts.
    #[must_use]
    pub fn is_trusted(&self, now: Instant) -> bool {
        let trusted = Span(self.lease.0.saturating_sub(self.reach.0));
        !self.is_settling
            && self
                .own_lease
                .is_some_and(|lease| now.since(lease.renewed) < trusted)
    }

    /// Records pieces that were written to the store under a lease.
    pub fn took(
        &mut self,
        lease: LeaseId,
        service: &Segment,
        pieces: impl IntoIterator<Item = Piece>,
    ) {
        if self.lease_id() != Some(lease) {
            return;
        }
        for piece in pieces {
            self.held.entry((service.clone(), piece)).or_default();
        }
    }

    /// Applies a piece that the store reports.
    ///
    /// It may be a new piece of this entry, if the response to its write was lost.
    pub fn written(&mut self, service: &Segment, piece: Piece, record: Record) {
        let key = (service.clone(), piece);
        if self.lease_id() != Some(record.lease_id) {
            self.held.remove(&key);
            self.taken.insert(key, record);
            return;
        }
        if self.returned.contains(&record.revision) {
            // The delete is in flight.
            self.taken.insert(key, record);
            return;
        }
        self.taken.remove(&key);
        self.held.insert(key, Some(record.revision));
    }

    /// Applies the removal of a piece from the store.
    pub fn removed(&mut self, service: &Segment, piece: Piece, revision: Revision) {
        let key = (service.clone(), piece);
        self.taken.remove(&key);
        let is_older = |written: &Option<Revision>| written.is_some_and(|w| w < revision);
        if self.held.get(&key).is_some_and(is_older) {
            self.held.remove(&key);
        }
    }

    /// Applies all pieces that the store held at a revision.
    ///
    /// Ignores reads older than the known revision; later changes are received separately.
    pub fn replaced(&mut self, records: &BTreeMap<(Segment, Piece), Record>, revision: Revision) {
        if revision < self.known_revision {
            return;
        }
        self.taken.clear();
        let is_there = |key: &Key| records.contains_key(key);
        self.held
            .retain(|key, written| written.is_none() || is_there(key));
        for ((service, piece), record) in records {
            self.written(service, *piece, *record);
        }
        self.followed(revision);
    }

    /// Records that all changes up to a revision of the store are known.
    pub fn followed(&mut self, revision: Revision) {
        self.known_revision = self.known_revision.max(revision);
    }

    /// Returns the pieces of a service without a known holder.
    #[must_use]
    pub fn free(&self, service: &Segment) -> Vec<Piece> {
        let is_free = |piece: &Piece| {
            let key = (service.clone(), *piece);
            !self.held.contains_key(&key) && !self.taken.contains_key(&key)
        };
        let all = (0..u64::from(PIECES_PER_SERVICE)).map(Piece);
        all.filter(is_free).collect()
    }

    /// Returns how many pieces of a service this entry holds.
    #[must_use]
    pub fn held(&self, service: &Segment) -> u64 {
        let own = self.held.keys().filter(|(of, _)| of == service);
        own.count() as u64
    }

    /// Returns this entry's share of a service's slack.
    #[must_use]
    pub fn share(&self, now: Instant, service: &Segment, slack: f64) -> f64 {
        if !self.is_trusted(now) {
            return 0.0;
        }
        retries_per_piece(slack) * self.held(service) as f64
    }

    /// Stops using up to `max` pieces of a service beyond `keep`, and returns them with their
    /// revisions so that the caller can delete them from the store if unchanged.
    ///
    /// Call this only when requests have earned all retries that still count.
    pub fn give_back(
        &mut self,
        service: &Segment,
        keep: u64,
        max: usize,
    ) -> Vec<(Piece, Revision)> {
        let spare = self.held(service).saturating_sub(keep) as usize;
        let own = self.held.iter().filter(|((of, _), _)| of == service);
        let known = own.filter_map(|((_, piece), written)| Some((*piece, (*written)?)));
        let pieces: Vec<(Piece, Revision)> = known.take(spare.min(max)).collect();
        let lease_id = self.lease_id().unwrap_or_default();
        for (piece, revision) in &pieces {
            let key = (service.clone(), *piece);
            self.held.remove(&key);
            self.returned.insert(*revision);
            let revision = *revision;
            self.taken.insert(key, Record { lease_id, revision });
        }
        pieces
    }
}

/// Returns how many retries a piece of a slack is worth.
#[must_use]
pub fn retries_per_piece(slack: f64) -> f64 {
    slack / f64::from(PIECES_PER_SERVICE)
}

/// Returns how many pieces of a service each of `entries` holds while idle.
#[must_use]
pub fn idle_pieces(entries: u64) -> u64 {
    u64::from(PIECES_PER_SERVICE) / IDLE_PIECES_DIVISOR / entries.max(1)
}

/// Returns the maximum number of pieces of a service for each of `entries`: all but the idle pieces
/// of the others.
#[must_use]
pub fn max_pieces(entries: u64) -> u64 {
    let others = entries.saturating_sub(1);
    u64::from(PIECES_PER_SERVICE) - others * idle_pieces(entries)
}
