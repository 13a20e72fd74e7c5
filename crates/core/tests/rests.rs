//! The rest that servers ask for: what single responses say.

use jujube_core::time::Span;

/// Guards against taking a date, a sign or an overflow for a time of rest.
#[test]
fn only_numbers_of_seconds_are_times_of_rest() {
    let read = |text| Span::parse_retry_after(text).ok();

    assert_eq!(read("3"), Some(Span(3_000)));
    assert_eq!(read(" 1.5 "), Some(Span(1_500)));
    assert_eq!(read("0"), Some(Span(0)));
    assert_eq!(read("0.0001"), Some(Span(1)));
    assert_eq!(read("1e300"), Some(Span(u64::MAX)));
    for text in [
        "",
        "-1",
        "NaN",
        "inf",
        "soon",
        "Wed, 21 Oct 2015 07:28:00 GMT",
    ] {
        assert_eq!(read(text), None, "{text}");
    }
}
