//! Helpers that several test files share.

#![allow(
    dead_code,
    clippy::allow_attributes,
    clippy::unwrap_used,
    reason = "each test file uses a part"
)]

pub mod placing;
pub mod prepared;
pub mod system;

use std::path::Path;
use std::path::PathBuf;

/// Returns the path of a file of the repository.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

/// Reads a file of the repository.
pub fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Returns the names of the files in a directory of the repository, sorted.
pub fn files(dir: &str) -> Vec<String> {
    let entries = std::fs::read_dir(path(dir)).unwrap();
    let mut names: Vec<String> = entries
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}
