//! The one way to log a line.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// The folder of the workspace.
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// The one file that writes lines.
const WRITER: &str = "crates/program/src/event.rs";
const MACROS: [&str; 6] = ["error", "warn", "info", "debug", "trace", "log"];

/// Returns the source files in a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    paths
        .flat_map(|path| match path.is_dir() {
            true => sources(&path),
            false => vec![path],
        })
        .collect()
}

/// Returns the source files of the crates, below the folder of the workspace.
fn all_sources() -> Vec<PathBuf> {
    let root = Path::new(ROOT);
    let crates = fs::read_dir(root.join("crates")).unwrap();
    let folders = crates.map(|entry| entry.unwrap().path());
    let folders = folders.chain([root.join("platform")]);
    let sources = folders.flat_map(|folder| sources(&folder.join("src")));
    sources
        .map(|path| path.strip_prefix(root).unwrap().to_path_buf())
        .collect()
}

/// Returns whether a text calls a macro of the log, or imports one.
fn logs(text: &str) -> bool {
    MACROS.iter().any(|name| {
        let is_called = text.contains(&format!("log::{name}!"));
        is_called || text.contains(&format!("use log::{name};"))
    })
}

/// Guards against a line that holds others' text as it came, because whoever wrote it did not think of that:
/// the macro makes a word of each value.
#[test]
fn lines_are_logged_in_one_way() {
    let files = all_sources();
    let writers: Vec<&PathBuf> = files
        .iter()
        .filter(|path| logs(&fs::read_to_string(Path::new(ROOT).join(path)).unwrap()))
        .collect();

    assert!(files.len() > 100, "{} files", files.len());
    assert_eq!(writers, [Path::new(WRITER)]);
}
