//! Newtypes for the names in a bundle.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Declares newtypes over `Arc<str>`. A macro keeps their implementations identical.
macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
        )]
        #[serde(from = "String", into = "String")]
        pub struct $name(pub Arc<str>);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self(text.into()))
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().into()
            }
        }
    )*};
}

names! {
    /// A customer.
    Customer;
    /// A service, either a model or a plain HTTP service.
    Service;
    /// A backend server.
    Server;
    /// An availability zone.
    Zone;
    /// A kind of accelerator.
    Accelerator;
}
