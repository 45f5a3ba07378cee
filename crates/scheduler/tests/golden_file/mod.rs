//! Golden files: what the sources write, kept as text beside the tests, one entry a kind.
//!
//! An entry is a line `## kind` and the text below it. Carriage returns are kept as `\r`. With
//! `UPDATE_GOLDEN=1` the files are written anew; without it a missing file is a failure.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::path::Path;

const KIND_PREFIX: &str = "## ";

/// The entries of a golden file.
#[derive(Debug)]
pub(crate) struct Golden(BTreeMap<String, String>);

impl Golden {
    /// Compares what was found with the file, kind by kind, and panics with all differences.
    ///
    /// `path` begins at the package's folder.
    pub(crate) fn check(path: &str, found: &[(&str, String)]) -> Golden {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
        let found = entries_of(found);
        if std::env::var_os("UPDATE_GOLDEN").is_some_and(|value| value == "1") {
            std::fs::write(&file, write_entries(&found)).expect("the golden file is written");
        }
        let golden = Golden::open(path);
        let differences = differences(&golden.0, &found);
        assert!(differences.is_empty(), "{path} differs:\n{}", differences.join("\n"));
        golden
    }

    /// The entries as they are kept, compared with nothing.
    pub(crate) fn open(path: &str) -> Golden {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
        let text = std::fs::read_to_string(&file)
            .unwrap_or_else(|_| panic!("the golden file {path} can't be read"));
        Golden(read_entries(&text))
    }

    /// The text of one kind, with its carriage returns.
    pub(crate) fn text(&self, kind: &str) -> String {
        let text = self.0.get(kind).unwrap_or_else(|| panic!("no golden entry of kind {kind}"));
        text.replace("\\r", "\r")
    }

    /// The bytes of one kind that is kept as hexadecimal digits.
    pub(crate) fn bytes(&self, kind: &str) -> Vec<u8> {
        let digits: String = self.text(kind).split_whitespace().collect();
        let byte = |i: usize| u8::from_str_radix(&digits[i..i + 2], 16).expect("digits");
        (0..digits.len()).step_by(2).map(byte).collect()
    }
}

/// Bytes as hexadecimal digits, 32 bytes a line.
pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    let line = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    bytes.chunks(32).map(line).collect::<Vec<_>>().join("\n")
}

fn entries_of(found: &[(&str, String)]) -> BTreeMap<String, String> {
    let mut entries = BTreeMap::new();
    for (kind, text) in found {
        let before = entries.insert((*kind).to_owned(), text.replace('\r', "\\r"));
        assert!(before.is_none(), "the kind {kind} stands twice in the test");
    }
    entries
}

fn write_entries(entries: &BTreeMap<String, String>) -> String {
    entries.iter().map(|(kind, text)| format!("{KIND_PREFIX}{kind}\n{text}\n")).collect()
}

fn read_entries(text: &str) -> BTreeMap<String, String> {
    let mut entries: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    let mut kind = "";
    for line in text.lines() {
        match line.strip_prefix(KIND_PREFIX) {
            Some(name) => {
                kind = name;
                entries.insert(name.to_owned(), Vec::new());
            }
            None => entries.get_mut(kind).expect("a kind stands first").push(line),
        }
    }
    entries.into_iter().map(|(kind, lines)| (kind, lines.join("\n"))).collect()
}

fn differences(
    expected: &BTreeMap<String, String>,
    found: &BTreeMap<String, String>,
) -> Vec<String> {
    let missing = "(none)".to_owned();
    let mut kinds: Vec<&String> = expected.keys().chain(found.keys()).collect();
    kinds.sort();
    kinds.dedup();
    let differs = kinds.into_iter().filter(|kind| expected.get(*kind) != found.get(*kind));
    differs
        .map(|kind| {
            let expected = expected.get(kind).unwrap_or(&missing);
            let found = found.get(kind).unwrap_or(&missing);
            format!("kind: {kind}\nexpected:\n{expected}\nfound:\n{found}")
        })
        .collect()
}
