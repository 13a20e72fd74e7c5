//! Revisions of the store.

use crate::number::numbers;

numbers! {
    /// The number of a change to the store; 0 for a missing key.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::revision::Revision;
    /// let seen: Revision = "7".parse()?;
    /// assert!(Revision::default() < seen);
    /// # Ok::<(), std::num::ParseIntError>(())
    /// ```
    Revision;
}
