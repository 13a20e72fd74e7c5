//! Settings files.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use jujube_program::settings::File;
use proptest::prelude::*;

/// The longest name that is used as it is.
const MAX_NAME_BYTES: usize = 256;

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
    /// Guards against names that a platform fills in as JSON and that change other settings, or that are
    /// another name here.
    #[test]
    fn any_name_as_json_is_that_name(given in "(?s).{1,64}") {
        let setting = serde_json::to_string(&given).unwrap();

        prop_assert_eq!(name(&setting), (given, 0));
    }
}

/// Guards against names that are not used as they are because they are written without quotes.
#[test]
fn a_name_that_is_no_json_string_is_used_as_it_is() {
    for plain in [
        "front-1", "\"front", "'front'", "1", "true", "[1]", "{}", "a \"b\"",
    ] {
        assert_eq!(name(plain), (plain.into(), 0));
    }
}

#[test]
fn a_name_that_is_missing_or_too_long_is_replaced() {
    let longest = "n".repeat(MAX_NAME_BYTES);
    assert_eq!(name(&longest), (longest.clone(), 0));
    let long = format!("{longest}n");
    for setting in ["", "null", "\"\"", "{{NodeName|json}}", &long] {
        assert_eq!(name(setting), ("instead".into(), 1), "{setting}");
    }
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
