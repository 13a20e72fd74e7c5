//! Pieces of the retry budget's slack, of which an entry holds as many as it needs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::Service;
use crate::number::numbers;
use crate::revision::Revision;
use crate::time::Instant;
use crate::time::Span;

/// How many pieces the slack of each service is cut into: as many entries can hold a part at a time. More would make
/// each worth less than a retry or two where the slack is small, and each take is told to all entries.
pub const PIECES_PER_SERVICE: u16 = 32;
/// How many pieces of a service nobody may hold before those that are not needed are given back.
pub const MIN_FREE_PIECES: usize = 8;
/// The part of the pieces that entries hold while they need none, shared by all: the store that gives out the others
/// may be away when servers die. With more entries than that makes pieces they hold none.
const IDLE_PIECES_DIVISOR: u64 = 2;

numbers! {
    /// A piece of a service's slack, by its number from 0.
    Piece;
    /// The lease under which an entry holds its pieces.
    LeaseId;
}

/// The lease of this entry.
#[derive(Clone, Copy, Debug)]
struct Own {
    tenure: LeaseId,
    /// When it was last renewed: the moment before the call.
    renewed: Instant,
}

/// A piece in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// Under whose lease it was taken.
    pub tenure: LeaseId,
    /// When it was written.
    pub revision: Revision,
}

type Key = (Service, Piece);

/// Which pieces of the slack this entry holds, and which are free.
///
/// The slack is for all entries together, and what each has sent is known to itself only. Each piece is therefore
/// held by one entry at a time: it is a key in the store, written only where there is none, under the lease of the
/// entry that takes it. The holder uses it only as long as, by its own clock, the lease lasts for longer than a
/// retry matters. When the key goes, with the lease or before, nothing that was sent for it is in any window, so
/// whoever takes it next may use it at once. No entry need know of any other: the sum of the pieces is the slack,
/// whoever starts, dies or is cut off. It relies on the store to keep a lease for its time, and on a steady clock.
///
/// Deaths and loads are unequal, so pieces go where they are needed. Equal parts of a slack of 390 were under four
/// retries for each of a hundred entries, and those whose streams met a death cut most of them.
///
/// Cost: a call for each take of some pieces and one for giving them back, and what a killed entry held is free
/// only when its lease has ended.
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
    /// How long a lease lasts after its renewal.
    lease: Span,
    /// How long an extra arrival matters.
    reach: Span,
    own: Option<Own>,
    /// The pieces of this entry; when they were written, as far as the store has told.
    held: BTreeMap<Key, Option<Revision>>,
    /// The pieces of others.
    taken: BTreeMap<Key, Record>,
    /// Writes of this entry's pieces that it gives back; the store may tell of them once more.
    returned: BTreeSet<Revision>,
    /// Up to where the store is known.
    knows: Revision,
    /// Whether pieces that were held in an earlier era of the store may still matter.
    is_settling: bool,
}

impl Reserve {
    /// Returns the reserve of an entry that holds nothing.
    #[must_use]
    pub fn new(lease: Span, reach: Span) -> Self {
        Self {
            lease,
            reach,
            own: None,
            held: BTreeMap::new(),
            taken: BTreeMap::new(),
            returned: BTreeSet::new(),
            knows: Revision::default(),
            is_settling: false,
        }
    }

    /// Takes that the store came back from an older copy: who holds what is to be read anew, and leases that it has
    /// forgotten are given up.
    ///
    /// Believed further, a piece whose key is gone would be taken by another entry as well, and lists of the store
    /// would be ignored for as long as its revisions are smaller than those that were known.
    pub fn restored(&mut self) {
        self.lost();
        self.taken.clear();
        self.knows = Revision::default();
        self.is_settling = true;
    }

    /// Takes whether pieces that were held in an earlier era may still matter; none are used meanwhile.
    pub fn set_settling(&mut self, is_settling: bool) {
        self.is_settling = is_settling;
    }

    /// Takes a new length of time for which extra arrivals matter.
    pub fn set_reach(&mut self, reach: Span) {
        self.reach = reach;
    }

    /// Takes a new lease, granted by a call that was made at a time; pieces of an earlier one are given up.
    pub fn begun(&mut self, tenure: LeaseId, asked: Instant) {
        self.lost();
        self.own = Some(Own {
            tenure,
            renewed: asked,
        });
    }

    /// Takes that the lease was renewed by a call made at a time.
    pub fn renewed(&mut self, asked: Instant) {
        if let Some(own) = &mut self.own {
            own.renewed = own.renewed.max(asked);
        }
    }

    /// Gives the lease up once it has ended by the own clock.
    pub fn expire(&mut self, now: Instant) {
        let has_ended = |own: Own| now.since(own.renewed) >= self.lease;
        if self.own.is_some_and(has_ended) {
            self.lost();
        }
    }

    /// Takes that the lease has ended, or is to be used no more.
    pub fn lost(&mut self) {
        self.own = None;
        self.held.clear();
        self.returned.clear();
    }

    /// Returns the lease of this entry, if it has one.
    #[must_use]
    pub fn tenure(&self) -> Option<LeaseId> {
        self.own.map(|own| own.tenure)
    }

    /// Tells whether pieces may be used: the lease lasts for longer than a retry matters.
    #[must_use]
    pub fn is_trusted(&self, now: Instant) -> bool {
        let trusted = Span(self.lease.0.saturating_sub(self.reach.0));
        !self.is_settling && self.own.is_some_and(|own| now.since(own.renewed) < trusted)
    }

    /// Takes that pieces were written to the store under a lease.
    pub fn took(
        &mut self,
        tenure: LeaseId,
        service: &Service,
        pieces: impl IntoIterator<Item = Piece>,
    ) {
        if self.tenure() != Some(tenure) {
            return;
        }
        for piece in pieces {
            self.held.entry((service.clone(), piece)).or_default();
        }
    }

    /// Takes a piece as the store tells it.
    ///
    /// One of this entry's own may come as a surprise: the answer to the write that took it was lost.
    pub fn written(&mut self, service: &Service, piece: Piece, record: Record) {
        let key = (service.clone(), piece);
        if self.tenure() != Some(record.tenure) {
            self.held.remove(&key);
            self.taken.insert(key, record);
            return;
        }
        if self.returned.contains(&record.revision) {
            // Its removal is under way.
            self.taken.insert(key, record);
            return;
        }
        self.taken.remove(&key);
        self.held.insert(key, Some(record.revision));
    }

    /// Takes that a piece was removed from the store.
    pub fn removed(&mut self, service: &Service, piece: Piece, revision: Revision) {
        let key = (service.clone(), piece);
        self.taken.remove(&key);
        let is_older = |written: &Option<Revision>| written.is_some_and(|w| w < revision);
        if self.held.get(&key).is_some_and(is_older) {
            self.held.remove(&key);
        }
    }

    /// Takes all pieces that the store held at a revision.
    ///
    /// A read may be older than what is known; what came since is told again.
    pub fn replaced(&mut self, records: &BTreeMap<(Service, Piece), Record>, revision: Revision) {
        if revision < self.knows {
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

    /// Takes that everything up to a revision of the store is known.
    pub fn followed(&mut self, revision: Revision) {
        self.knows = self.knows.max(revision);
    }

    /// Returns the pieces of a service that nobody is known to hold.
    #[must_use]
    pub fn free(&self, service: &Service) -> Vec<Piece> {
        let is_free = |piece: &Piece| {
            let key = (service.clone(), *piece);
            !self.held.contains_key(&key) && !self.taken.contains_key(&key)
        };
        let all = (0..u64::from(PIECES_PER_SERVICE)).map(Piece);
        all.filter(is_free).collect()
    }

    /// Returns how many pieces of a service this entry holds.
    #[must_use]
    pub fn held(&self, service: &Service) -> u64 {
        let own = self.held.keys().filter(|(of, _)| of == service);
        own.count() as u64
    }

    /// Returns this entry's part of a service's slack.
    #[must_use]
    pub fn share(&self, now: Instant, service: &Service, slack: f64) -> f64 {
        if !self.is_trusted(now) {
            return 0.0;
        }
        retries_per_piece(slack) * self.held(service) as f64
    }

    /// Takes pieces of a service beyond `keep` out of use, for them to be removed from the store where they are as
    /// they were written; at most `most`.
    ///
    /// Only for an entry whose requests paid for all retries that still matter.
    pub fn give_back(
        &mut self,
        service: &Service,
        keep: u64,
        most: usize,
    ) -> Vec<(Piece, Revision)> {
        let spare = self.held(service).saturating_sub(keep) as usize;
        let own = self.held.iter().filter(|((of, _), _)| of == service);
        let known = own.filter_map(|((_, piece), written)| Some((*piece, (*written)?)));
        let back: Vec<(Piece, Revision)> = known.take(spare.min(most)).collect();
        let tenure = self.tenure().unwrap_or_default();
        for (piece, revision) in &back {
            let key = (service.clone(), *piece);
            self.held.remove(&key);
            self.returned.insert(*revision);
            let revision = *revision;
            self.taken.insert(key, Record { tenure, revision });
        }
        back
    }
}

/// Returns how many retries a piece of a slack is worth.
#[must_use]
pub fn retries_per_piece(slack: f64) -> f64 {
    slack / f64::from(PIECES_PER_SERVICE)
}

/// Returns how many pieces of a service one of `entries` holds while it needs none.
#[must_use]
pub fn idle_pieces(entries: u64) -> u64 {
    u64::from(PIECES_PER_SERVICE) / IDLE_PIECES_DIVISOR / entries.max(1)
}

/// Returns how many pieces of a service one of `entries` may hold: all but those that the others hold at rest.
#[must_use]
pub fn max_pieces(entries: u64) -> u64 {
    let others = entries.saturating_sub(1);
    u64::from(PIECES_PER_SERVICE) - others * idle_pieces(entries)
}
