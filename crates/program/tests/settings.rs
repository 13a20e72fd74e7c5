//! Settings files.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use jujube_core::pipeline::key::Segment;
use jujube_program::settings::File;
use proptest::prelude::*;

/// The longest name that is used as it is.
const MAX_NAME_BYTES: usize = 160;

/// Returns the name in a settings file, and how often a name was replaced.
fn name(setting: &str) -> (String, usize) {
    let text = format!("[entry]\nname = {setting}\nzone = z\n[store]\naddress = 127.0.0.1:1\n");
    let mut file = File::parse("test.ini", &text).unwrap();
    let name = file.section("entry", |section| {
        assert_eq!(section.name("zone", "a zone", "-"), "z");
        section.name("name", "a name", "instead")
    });
    let address = file.section("store", |section| section.address("address"));
    assert_eq!(address.port(), 1);
    (name, file.finish_replaced().unwrap().len())
}

proptest! {
    /// Guards against names that change other settings, or that are another name here.
    #[test]
    fn any_name_in_one_line_is_that_name(
        given in "[!-~\u{e9}\u{1f600}][ -~\t\u{e9}\u{1f600}]{0,62}[!-~]"
    ) {
        let used = Segment::from(given.as_str()).to_string();
        let replaced = usize::from(used != given);

        prop_assert_eq!(name(&given), (used, replaced));
    }

    /// Guards against a name that sets something else, because it has several lines.
    #[test]
    fn a_name_with_another_setting_is_refused(
        start in "[a-z]{1,4}",
        forged in "(name = b|zone = b|\\[store\\]\naddress = 127.0.0.1:2|forged = 1)",
    ) {
        let text = format!(
            "[entry]\nname = {start}\n{forged}\nzone = z\n[store]\naddress = 127.0.0.1:1\n"
        );
        let read = File::parse("test.ini", &text).and_then(|mut file| {
            file.section("entry", |section| {
                section.name("zone", "a zone", "-");
                section.name("name", "a name", "instead")
            });
            file.section("store", |section| section.address("address"));
            file.finish_replaced()
        });
        prop_assert!(read.is_err(), "{}", text);
    }
}

/// Guards against names that are not used as they are because of quotes or brackets.
#[test]
fn a_name_in_quotes_or_brackets_is_used_as_it_is() {
    for plain in [
        "front-1",
        "\"front",
        "\"front\"",
        "null",
        "'front'",
        "1",
        "true",
        "[1]",
        "{}",
        "a \"b\"",
    ] {
        assert_eq!(name(plain), (plain.into(), 0));
    }
}

#[test]
fn a_name_that_is_missing_or_too_long_is_replaced() {
    let longest = "n".repeat(MAX_NAME_BYTES);
    assert_eq!(name(&longest), (longest.clone(), 0));
    let long = format!("{longest}n");
    assert_eq!(name(""), ("instead".into(), 1));
    assert_eq!(name(&long), (Segment::from(long.as_str()).to_string(), 1));
}

/// Guards against settings of which only one of two sections is read.
#[test]
fn a_section_that_comes_twice_is_refused() {
    let text = "[store]\naddress = 127.0.0.1:1\n[entry]\n[store]\naddress = 127.0.0.1:2\n";
    let mut file = File::parse("test.ini", text).unwrap();
    file.section("entry", |_| ());
    file.section("store", |section| section.address("address"));

    let error = file.finish_replaced().unwrap_err().to_string();

    assert_eq!(error, "test.ini: [store] -: duplicate section");
}
