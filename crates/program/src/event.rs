//! The one way to log a line: each value is one word of it.

#[doc(hidden)]
pub use log;

use crate::word::Fields;

/// Logs an event and its fields at a level.
///
/// `name = value` is a field whose value is written as a [`Word`](crate::word::Word), whoever its text is
/// from; `name` alone stands for `name = name`. `name = [value]` is a [`List`](crate::word::List).
/// `_ = value` stands for several [`Fields`].
///
/// # Examples
///
/// ```
/// # use jujube_program::event;
/// let (route, path) = ("a b", "127.0.0.1:9=0-8");
/// event!(Warn, "refused", route, status = 404, took_ms = format_args!("{:.1}", 0.25), path = [path]);
/// ```
#[macro_export]
macro_rules! event {
    (@ $level:ident [$($format:tt)*] [$($values:tt)*]) => {
        $crate::event::log::log!(
            $crate::event::log::Level::$level,
            concat!($($format)*),
            $($values)*
        )
    };
    (@ $level:ident [$($format:tt)*] [$($values:tt)*] _ = $fields:expr $(, $($rest:tt)*)?) => {
        $crate::event!(
            @ $level [$($format)* " {}",] [$($values)* $crate::event::fields(&$fields),]
            $($($rest)*)?
        )
    };
    (@ $level:ident [$($format:tt)*] [$($values:tt)*] $name:ident = [$list:expr] $(, $($rest:tt)*)?) => {
        $crate::event!(
            @ $level [$($format)* " ", stringify!($name), "={}",]
            [$($values)* $crate::word::List(&$list),] $($($rest)*)?
        )
    };
    (@ $level:ident [$($format:tt)*] [$($values:tt)*] $name:ident = $value:expr $(, $($rest:tt)*)?) => {
        $crate::event!(
            @ $level [$($format)* " ", stringify!($name), "={}",]
            [$($values)* $crate::word::Word(&$value),] $($($rest)*)?
        )
    };
    (@ $level:ident [$($format:tt)*] [$($values:tt)*] $name:ident $(, $($rest:tt)*)?) => {
        $crate::event!(@ $level [$($format)*] [$($values)*] $name = $name $(, $($rest)*)?)
    };
    ($level:ident, $event:expr $(, $($rest:tt)*)?) => {
        $crate::event!(
            @ $level ["event={}",] [$crate::word::Word(&$event),] $($($rest)*)?
        )
    };
}

/// Returns what may be written as several fields.
#[doc(hidden)]
pub fn fields<T: Fields>(fields: &T) -> &T {
    fields
}
