//! Golden files: text files beside the tests that hold the expected output, one entry per kind.
//!
//! An entry is a line `## kind` followed by its text. Carriage returns are written as `\r`. With
//! `UPDATE_GOLDEN=1` the files are rewritten; without it a missing file is a failure.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::path::Path;

const KIND_PREFIX: &str = "## ";

/// The entries of a golden file, by kind.
#[derive(Debug)]
pub(crate) struct Golden(BTreeMap<String, String>);

impl Golden {
    /// Compares the entries with the golden file and returns the file. Panics with a list of all
    /// differences if there are any.
    ///
    /// `path` is relative to the package's directory.
    pub(crate) fn check(path: &str, actual: &[(&str, String)]) -> Golden {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
        let actual = escaped_entries(actual);
        if std::env::var_os("UPDATE_GOLDEN").is_some_and(|value| value == "1") {
            std::fs::write(&file, format_entries(&actual)).expect("the golden file is writable");
        }
        let golden = Golden::open(path);
        let differences = differences(&golden.0, &actual);
        assert!(
            differences.is_empty(),
            "{path} differs from the actual output:\n{}",
            differences.join("\n")
        );
        golden
    }

    /// Reads a golden file without comparing it with anything.
    pub(crate) fn open(path: &str) -> Golden {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
        let text = std::fs::read_to_string(&file)
            .unwrap_or_else(|_| panic!("the golden file {path} can't be read"));
        Golden(parse_entries(&text))
    }

    /// Returns the text of an entry, with carriage returns restored.
    pub(crate) fn text(&self, kind: &str) -> String {
        let text = self
            .0
            .get(kind)
            .unwrap_or_else(|| panic!("the golden file has no entry of kind {kind:?}"));
        text.replace("\\r", "\r")
    }

    /// Decodes the bytes of an entry that is stored in hexadecimal.
    pub(crate) fn bytes(&self, kind: &str) -> Vec<u8> {
        let digits: String = self.text(kind).split_whitespace().collect();
        let byte =
            |i: usize| u8::from_str_radix(&digits[i..i + 2], 16).expect("hexadecimal digits");
        (0..digits.len()).step_by(2).map(byte).collect()
    }
}

/// Encodes bytes in hexadecimal, 32 bytes per line.
pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    let line = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    bytes.chunks(32).map(line).collect::<Vec<_>>().join("\n")
}

/// Converts entries to the form in which a golden file stores them. Panics if a kind occurs twice.
fn escaped_entries(entries: &[(&str, String)]) -> BTreeMap<String, String> {
    let mut escaped = BTreeMap::new();
    for (kind, text) in entries {
        let previous = escaped.insert((*kind).to_owned(), text.replace('\r', "\\r"));
        assert!(previous.is_none(), "the test has two entries of kind {kind:?}");
    }
    escaped
}

fn format_entries(entries: &BTreeMap<String, String>) -> String {
    entries.iter().map(|(kind, text)| format!("{KIND_PREFIX}{kind}\n{text}\n")).collect()
}

fn parse_entries(text: &str) -> BTreeMap<String, String> {
    let mut entries: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    let mut kind = "";
    for line in text.lines() {
        match line.strip_prefix(KIND_PREFIX) {
            Some(name) => {
                kind = name;
                entries.insert(name.to_owned(), Vec::new());
            }
            None => entries.get_mut(kind).expect("a line with a kind before any text").push(line),
        }
    }
    entries.into_iter().map(|(kind, lines)| (kind, lines.join("\n"))).collect()
}

/// Describes every entry that is missing on one side or has different text.
fn differences(
    expected: &BTreeMap<String, String>,
    actual: &BTreeMap<String, String>,
) -> Vec<String> {
    let missing = "(none)".to_owned();
    let mut kinds: Vec<&String> = expected.keys().chain(actual.keys()).collect();
    kinds.sort();
    kinds.dedup();
    let differing = kinds.into_iter().filter(|kind| expected.get(*kind) != actual.get(*kind));
    differing
        .map(|kind| {
            let expected = expected.get(kind).unwrap_or(&missing);
            let actual = actual.get(kind).unwrap_or(&missing);
            format!("kind: {kind}\nexpected:\n{expected}\nactual:\n{actual}")
        })
        .collect()
}
