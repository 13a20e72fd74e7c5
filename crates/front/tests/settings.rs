//! The memory of the machine in the settings file.

#![allow(clippy::unwrap_used, reason = "a test that fails must panic")]

use anyhow::Result;
use jujube_core::pipeline::memory::Size;
use jujube_front::Settings;
use jujube_program::settings::File;

fn settings(memory: &str) -> Result<Settings> {
    let text = format!(
        "[entry]\nname = a\nzone = z\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n\
         metrics = 127.0.0.1:3\ngossip = 127.0.0.1:5\n{memory}\n[store]\naddress = 127.0.0.1:4\n"
    );
    Settings::from_file(File::parse("test.ini", &text)?, "test.ini".as_ref())
}

/// Guards against an entry that does not start, or holds nothing, where the platform does not know
/// the memory.
#[test]
fn a_missing_memory_and_zero_are_unknown() {
    assert_eq!(settings("").unwrap().memory, None);
    assert_eq!(settings("memory_mb = 0").unwrap().memory, None);
    assert_eq!(settings("memory_mb =").unwrap().memory, None);
}

/// Guards against a wrong unit, and against an overflow.
#[test]
fn the_memory_is_given_in_megabytes() {
    let memory = |text| settings(text).unwrap().memory;

    assert_eq!(memory("memory_mb = 160"), Some(Size(160_000_000)));
    assert_eq!(memory("memory_mb = 1.5"), Some(Size(1_500_000)));
    assert_eq!(
        memory(&format!("memory_mb = {}", u64::MAX)),
        Some(Size(u64::MAX))
    );
}

/// Guards against a setting that is not understood and silently ignored.
#[test]
fn a_memory_that_is_no_number_is_a_fault() {
    for value in ["-1", "1,5", "nan", "inf", "160MB", "{{Limits.MemoryMb}}"] {
        let refused = settings(&format!("memory_mb = {value}")).unwrap_err();

        assert!(
            refused.to_string().contains("memory_mb"),
            "{value}: {refused}"
        );
    }
}

/// Guards against times that are negative or no numbers, and against an overflow.
#[test]
fn bounds_are_finite_and_not_negative() {
    let text = |line: &str| format!("[store]\naddress = 127.0.0.1:4\n{line}\n");
    let read = |line: &str| {
        let entry = "[entry]\nname = a\nzone = z\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n\
                     metrics = 127.0.0.1:3\ngossip = 127.0.0.1:5\n";
        let file = File::parse("test.ini", &format!("{entry}{}", text(line)))?;
        Settings::from_file(file, "test.ini".as_ref())
    };

    for value in ["-1", "nan", "inf", "true", "1,5", "1e300"] {
        assert!(read(&format!("contact_ms = {value}")).is_err(), "{value}");
    }
    assert_eq!(read("contact_ms = 2500.5").unwrap().limits.contact.0, 2_500);
    assert_eq!(read("contact_ms =").unwrap().limits.contact.0, 3_000);
}
