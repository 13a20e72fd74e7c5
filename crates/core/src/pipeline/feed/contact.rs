//! Distinguishes a store that is away from one that left a single call without an answer.

/// Why a call to the store brought nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The store ended the connection before the call was due to be answered.
    Cut,
    /// The store answered that it takes no more calls at the moment.
    Busy,
    /// The store cannot be reached, refuses to work, or does not answer in time.
    Silent,
}

/// What an entry believes of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Contact {
    /// It answers.
    #[default]
    Established,
    /// It left one call without an answer, which a working store may do. The next call decides.
    Doubtful,
    /// It is away.
    Lost,
}

impl Contact {
    /// Records a failed call; returns whether the store counts as lost since then.
    ///
    /// A working store may end a waiting call, and refuses calls beyond its rate. Registrations that
    /// are removed then were not lost in an outage: their servers are leaving, and must get no new
    /// work. Only a store that leaves the next call without an answer too is away.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::feed::contact::Contact;
    /// # use jujube_core::pipeline::feed::contact::Failure;
    /// let mut contact = Contact::default();
    /// assert!(!contact.failed(Failure::Cut));
    /// assert!(!contact.answered());
    /// assert!(!contact.failed(Failure::Busy));
    /// assert!(contact.failed(Failure::Cut), "two calls in a row have failed");
    /// assert!(!contact.failed(Failure::Silent), "it was lost before");
    /// assert!(contact.answered());
    /// ```
    pub fn failed(&mut self, failure: Failure) -> bool {
        let before = *self;
        *self = match (before, failure) {
            (Self::Established, Failure::Cut | Failure::Busy) => Self::Doubtful,
            _ => Self::Lost,
        };
        *self == Self::Lost && before != Self::Lost
    }

    /// Records an answered call; returns whether the store was lost until then.
    pub fn answered(&mut self) -> bool {
        std::mem::take(self) == Self::Lost
    }
}
