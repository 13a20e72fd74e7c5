//! Statuses of final responses.

use jujube_core::status;

/// Guards against a status that is taken for an answer although it announces one, ends HTTP on its
/// connection, or is not valid.
#[test]
fn only_statuses_from_200_to_599_are_final() {
    let last = 9_999;

    let are_final: Vec<u16> = (0..=last).filter(|code| status::is_final(*code)).collect();

    assert_eq!(are_final, (200..600).collect::<Vec<u16>>());
}
