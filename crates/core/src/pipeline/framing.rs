//! What proves that a response is whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

use crate::name::Service;
use crate::pipeline::server::Incarnation;

/// The only transfer coding that is decoded.
const CHUNKED: &str = "chunked";
/// The statuses of responses without a body, besides those to `HEAD`.
const BODILESS: [u16; 2] = [204, 304];
/// The statuses of successful responses.
const SUCCESS: RangeInclusive<u16> = 200..=299;

/// The parts of a response's head that tell where its body ends.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Head<'a> {
    /// Whether the request had the method `HEAD`.
    pub is_to_head: bool,
    /// The status.
    pub status: u16,
    /// Whether a length is stated.
    pub has_length: bool,
    /// The transfer codings, separated by commas, if any are stated.
    pub codings: Option<&'a str>,
}

/// How a response tells where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// It has no body.
    Bodiless,
    /// A length or a last chunk tells, which the HTTP library checks.
    Stated,
    /// Nothing tells but the end of the connection, which also comes when a server breaks off.
    Unstated,
    /// The body has codings that are not decoded: what is received is not the body.
    Coded,
}

impl Framing {
    /// Returns the framing of a response with this head.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::framing::Framing;
    /// # use jujube_core::pipeline::framing::Head;
    /// let head = Head { status: 200, ..Head::default() };
    /// assert_eq!(Framing::of(head), Framing::Unstated);
    /// assert_eq!(Framing::of(Head { has_length: true, ..head }), Framing::Stated);
    /// assert_eq!(Framing::of(Head { codings: Some("gzip"), ..head }), Framing::Coded);
    /// assert_eq!(Framing::of(Head { status: 204, ..head }), Framing::Bodiless);
    /// ```
    #[must_use]
    pub fn of(head: Head<'_>) -> Self {
        if head.is_to_head || BODILESS.contains(&head.status) {
            return Self::Bodiless;
        }
        match head.codings {
            Some(codings) if codings.trim().eq_ignore_ascii_case(CHUNKED) => Self::Stated,
            // A length beside transfer codings is not valid and says nothing.
            Some(_) => Self::Coded,
            None if head.has_length => Self::Stated,
            None => Self::Unstated,
        }
    }

    /// Returns whether the response tells itself where its body ends.
    #[must_use]
    pub fn is_stated(self) -> bool {
        matches!(self, Self::Bodiless | Self::Stated)
    }
}

/// A response whose body ended without an error of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ended {
    /// The status.
    pub status: u16,
    /// How it tells where its body ends.
    pub framing: Framing,
    /// Whether a part of the body arrived.
    pub has_body: bool,
}

impl Ended {
    /// Checks whether the response is whole. Only a success has to be: callers take nothing from the
    /// body of another response.
    ///
    /// `is_unusual` is whether other responses of its service tell where their bodies end.
    ///
    /// # Errors
    ///
    /// Nothing proves it: the server may have broken off.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::framing::Ended;
    /// # use jujube_core::pipeline::framing::Framing;
    /// # use jujube_core::pipeline::framing::Unproven;
    /// let ended = Ended { status: 200, framing: Framing::Unstated, has_body: true };
    /// assert_eq!(ended.check(false), Ok(()));
    /// assert_eq!(ended.check(true), Err(Unproven::Unusual));
    /// ```
    pub fn check(self, is_unusual: bool) -> Result<(), Unproven> {
        match self.framing {
            _ if !SUCCESS.contains(&self.status) => Ok(()),
            Framing::Bodiless | Framing::Stated => Ok(()),
            Framing::Coded => Err(Unproven::Coded),
            Framing::Unstated if !self.has_body => Err(Unproven::Empty),
            Framing::Unstated if is_unusual => Err(Unproven::Unusual),
            Framing::Unstated => Ok(()),
        }
    }

    /// Returns whether the response shows that its server tells where the bodies of successful
    /// responses end.
    #[must_use]
    pub fn shows_end(self) -> bool {
        SUCCESS.contains(&self.status) && self.framing == Framing::Stated && self.has_body
    }
}

/// Why nothing proves that a successful response is whole that ended with its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unproven {
    /// Its body has codings that are not decoded.
    Coded,
    /// Nothing but its head arrived.
    Empty,
    /// Servers of its service state where bodies end, and this one did not.
    Unusual,
}

/// The value of `cause=` in logs.
impl fmt::Display for Unproven {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Coded => "body-coded",
            Self::Empty => "body-empty-without-length",
            Self::Unusual => "no-length-unlike-others-of-the-service",
        })
    }
}

/// Who sent a response.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// The service.
    pub service: &'a Service,
    /// The server, if it is known.
    pub server: Option<&'a Incarnation>,
}

/// How many unproven responses of a server show that it states no lengths, if another server of its
/// service does as well: a release replaces several.
const UNPROVEN_BESIDE_OTHERS: u32 = 2;
/// How many do if it is the only one.
const UNPROVEN_ALONE: u32 = 8;

/// What a server's responses were like.
#[derive(Clone, Debug)]
struct Habit {
    service: Service,
    /// Whether one of them told where its body ends.
    is_stating: bool,
    /// How many did not, unlike those of other servers.
    unproven: u32,
}

impl Habit {
    fn is_other(&self, least: u32) -> bool {
        !self.is_stating && self.unproven >= least
    }
}

/// The services whose servers state where the bodies of their responses end, and the servers of these that
/// never do.
///
/// A server that breaks off after its head, or loses the lines that frame its body, looks like one
/// that never states a length, and a caller would take what arrived for the whole. Servers of one
/// service run the same program: if one of them states lengths, a response without is not what that
/// program sends. A release may bring another program, whose servers state none from their start on.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::framing::Ended;
/// # use jujube_core::pipeline::framing::Framing;
/// # use jujube_core::pipeline::framing::Framings;
/// # use jujube_core::pipeline::framing::Sender;
/// # use jujube_core::pipeline::framing::Unproven;
/// let mut framings = Framings::default();
/// let (desk, server) = ("desk".into(), "s1".into());
/// let sender = Sender { service: &desk, server: Some(&server) };
/// let ended = Ended { status: 200, framing: Framing::Unstated, has_body: true };
/// assert_eq!(framings.check(sender, ended), Ok(()));
/// assert_eq!(framings.check(sender, Ended { has_body: false, ..ended }), Err(Unproven::Empty));
/// framings.received(sender, 200, Framing::Stated);
/// assert_eq!(framings.check(sender, ended), Err(Unproven::Unusual));
/// assert_eq!(framings.check(sender, Ended { framing: Framing::Stated, ..ended }), Ok(()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Framings {
    stating: BTreeSet<Service>,
    habits: BTreeMap<Incarnation, Habit>,
}

impl Framings {
    /// Records that a server sent a part of the body of a response.
    pub fn received(&mut self, sender: Sender<'_>, status: u16, framing: Framing) {
        let received = Ended {
            status,
            framing,
            has_body: true,
        };
        if !received.shows_end() {
            return;
        }
        if !self.stating.contains(sender.service) {
            self.stating.insert(sender.service.clone());
        }
        if let Some(habit) = self.habit(sender) {
            habit.is_stating = true;
        }
    }

    /// Checks whether a response is whole whose body ended without an error.
    ///
    /// # Errors
    ///
    /// Nothing proves it: the server may have broken off.
    pub fn check(&mut self, sender: Sender<'_>, ended: Ended) -> Result<(), Unproven> {
        let is_stating = self.stating.contains(sender.service);
        let checked = ended.check(is_stating && !self.is_of_another_program(sender));
        if checked == Err(Unproven::Unusual) {
            if let Some(habit) = self.habit(sender) {
                habit.unproven += 1;
            }
        }
        checked
    }

    /// Forgets the services that are not configured, and the servers that are not registered.
    pub fn retain(
        &mut self,
        is_configured: impl Fn(&Service) -> bool,
        is_registered: impl Fn(&Incarnation) -> bool,
    ) {
        self.stating.retain(is_configured);
        self.habits.retain(|server, _| is_registered(server));
    }

    fn habit(&mut self, sender: Sender<'_>) -> Option<&mut Habit> {
        let server = sender.server?;
        if !self.habits.contains_key(server) {
            let habit = Habit {
                service: sender.service.clone(),
                is_stating: false,
                unproven: 0,
            };
            self.habits.insert(server.clone(), habit);
        }
        self.habits.get_mut(server)
    }

    fn is_of_another_program(&self, sender: Sender<'_>) -> bool {
        let own = sender.server.and_then(|server| self.habits.get(server));
        let Some(own) = own.filter(|own| own.is_other(UNPROVEN_BESIDE_OTHERS)) else {
            return false;
        };
        let of_service = self.habits.values();
        let of_service = of_service.filter(|habit| habit.service == *sender.service);
        let others = of_service.filter(|habit| habit.is_other(UNPROVEN_BESIDE_OTHERS));
        own.is_other(UNPROVEN_ALONE) || others.count() > 1
    }
}
