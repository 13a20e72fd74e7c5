//! Settings files.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use jujube_program::settings::File;

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
