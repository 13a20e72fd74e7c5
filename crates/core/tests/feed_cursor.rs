//! Reads of a store's keys page by page, among any keys of others.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use jujube_core::pipeline::feed::cursor::Cursor;
use jujube_core::pipeline::feed::cursor::Error;
use jujube_core::pipeline::feed::cursor::Part;
use proptest::prelude::*;

const PARTS: [Part<'static>; 3] = [
    Part::Prefix("servers/"),
    Part::Key("op/config"),
    Part::Prefix("jujube/"),
];

/// The orders in which a store may tell its keys.
const ORDERS: [fn(&str, &str) -> Ordering; 2] = [
    |one, other| one.cmp(other),
    |one, other| one.encode_utf16().cmp(other.encode_utf16()),
];

/// Returns the keys that a read takes and the number of its pages.
fn read(
    keys: &BTreeSet<String>,
    page_keys: usize,
    order: fn(&str, &str) -> Ordering,
) -> Result<(BTreeSet<String>, usize), Error> {
    let mut keys: Vec<&String> = keys.iter().collect();
    keys.sort_by(|one, other| order(one, other));
    let (mut cursor, mut taken, mut pages) = (Cursor::new(&PARTS), BTreeSet::new(), 0);
    loop {
        let after = cursor.after().to_string();
        let mut rest = keys.iter().filter(|key| order(key, &after).is_gt());
        let page: Vec<&&String> = rest.by_ref().take(page_keys).collect();
        pages += 1;
        taken.extend(page.iter().map(|key| key.to_string()));
        let last = page.last().map(|key| key.as_str());
        if !cursor.advance(last, rest.next().is_some())? {
            return Ok((taken, pages));
        }
    }
}

fn is_needed(key: &str) -> bool {
    PARTS.iter().any(|part| part.contains(key))
}

fn keys() -> impl Strategy<Value = BTreeSet<String>> {
    let key = "(|a|jujube/|jujube|op/config|op/|servers/|servers|status/|z)[ -~\u{e9}\u{ff01}\u{1f600}]{0,4}";
    prop::collection::btree_set(key, 0..60)
}

proptest! {
    /// Guards against a read that misses needed keys, or takes pages of keys that are not needed.
    #[test]
    fn a_read_takes_all_needed_keys_and_few_others(keys in keys(), page_keys in 1_usize..5, order in 0..ORDERS.len()) {
        let read = read(&keys, page_keys, ORDERS[order]);
        let (taken, pages) = read.map_err(|error| TestCaseError::fail(error.to_string()))?;

        let needed: BTreeSet<String> = keys.iter().filter(|key| is_needed(key)).cloned().collect();
        prop_assert!(taken.is_superset(&needed));
        // A page of other keys may come before and after each part.
        prop_assert!(pages <= needed.len() + 2 * PARTS.len() + 1, "{} pages", pages);
    }

    /// Guards against a read without end of a store that tells any pages.
    #[test]
    fn a_read_ends_or_goes_on_after_each_page(lasts in prop::collection::vec(".{0,4}", 1..40)) {
        let mut cursor = Cursor::new(&PARTS);
        // One order for all pages: a read that went on in one order, and then in another, has no end.
        let mut orders = ORDERS.to_vec();
        for last in lasts {
            let before = cursor.after().to_string();
            match cursor.advance(Some(&last), true) {
                Ok(true) => orders.retain(|order| order(cursor.after(), &before).is_gt()),
                Ok(false) | Err(_) => return Ok(()),
            }
            prop_assert!(!orders.is_empty(), "after {} follows {}", cursor.after(), before);
        }
    }
}

#[test]
fn a_page_that_does_not_go_on_is_an_error() {
    let mut cursor = Cursor::new(&PARTS);
    assert_eq!(cursor.advance(None, true), Err(Error::Empty));
    assert_eq!(cursor.advance(Some("jujube/a"), true), Ok(true));
    let again = cursor.advance(Some("jujube/a"), true);
    assert!(matches!(again, Err(Error::Back { .. })));
}

#[test]
fn a_store_without_keys_is_read_in_one_page() {
    let mut cursor = Cursor::new(&PARTS);
    assert_eq!(cursor.advance(None, false), Ok(false));
}
