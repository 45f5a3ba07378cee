//! Golden transcripts: the decisions made during a script, recorded step by step as text. A
//! transcript is compared with a file that holds a digest of each step, so that a failure names the
//! first step that differs.
//!
//! This module uses no types of the packages under test, and the recorded words are literals of the
//! tests, so renaming an identifier changes no digest.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

/// Environment variable that makes the tests rewrite the golden files instead of comparing them.
const UPDATE_VAR: &str = "UPDATE_TRANSCRIPTS";
/// Environment variable with a directory to which the full text of each transcript is written, so
/// that two versions can be compared line by line.
const FULL_TEXT_DIR_VAR: &str = "WHOLE_TRANSCRIPTS";
/// Maximum length of a line of digests, in characters.
const MAX_LINE_LENGTH: usize = 100;
/// Maximum number of lines that are printed of the first differing step.
const MAX_PRINTED_LINES: usize = 300;

/// Continues a 64-bit FNV-1a hash from `state`. Unlike the standard library's default hash, it is
/// the same on every machine and with every compiler version.
fn fnv1a(bytes: &[u8], mut state: u64) -> u64 {
    for byte in bytes {
        state = (state ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    state
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Returns the digest of a step as stored in the golden file, shortened to 32 bits.
fn short_digest(text: &str) -> String {
    let full = fnv1a(text.as_bytes(), FNV_OFFSET_BASIS);
    format!("{:08x}", (full >> 32) ^ (full & 0xffff_ffff))
}

/// Xorshift random number generator. Its numbers depend only on the seed, not on the version of any
/// package.
pub(crate) struct SeededRng(u64);

impl SeededRng {
    pub(crate) fn new(seed: u64) -> SeededRng {
        SeededRng(fnv1a(&seed.to_le_bytes(), FNV_OFFSET_BASIS))
    }

    /// Returns a random number in `0..bound`.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 16) % bound as u64) as usize
    }

    /// Returns true with a probability of `percent` in a hundred.
    pub(crate) fn chance(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }
}

/// Recorded text and event counts of one script.
pub(crate) struct Transcript {
    name: String,
    /// Recorded text of each step; empty if nothing happened in it.
    steps: Vec<String>,
    /// Number of lines and other events of each kind.
    counts: BTreeMap<String, u64>,
}

impl Transcript {
    pub(crate) fn new(name: &str) -> Transcript {
        Transcript { name: name.to_owned(), steps: vec![String::new()], counts: BTreeMap::new() }
    }

    /// Begins a new step, which receives all further lines.
    pub(crate) fn next_step(&mut self) {
        self.steps.push(String::new());
    }

    /// Adds the line `kind text` to the current step and counts it under `kind`.
    pub(crate) fn line(&mut self, kind: &str, text: &str) {
        self.count(kind, 1);
        let step = self.steps.last_mut().expect("a transcript has at least one step");
        writeln!(step, "{kind} {text}").expect("writing to a String never fails");
    }

    /// Counts events of a kind without adding a line.
    pub(crate) fn count(&mut self, kind: &str, times: u64) {
        match self.counts.get_mut(kind) {
            Some(count) => *count += times,
            None => drop(self.counts.insert(kind.to_owned(), times)),
        }
    }

    /// Returns how many lines and other events of a kind were counted so far.
    pub(crate) fn count_of(&self, kind: &str) -> u64 {
        self.counts.get(kind).copied().unwrap_or(0)
    }

    /// Formats the contents of the golden file: a header with the counts, an empty line, and the
    /// digests of the steps.
    fn summary(&self) -> String {
        let total = self.steps.iter().fold(FNV_OFFSET_BASIS, |state, step| {
            let state = fnv1a(step.as_bytes(), state);
            fnv1a(b"\0", state)
        });
        let mut text = format!("script {}\nsteps {}\n", self.name, self.steps.len());
        writeln!(text, "digest {total:016x}").expect("writing to a String never fails");
        for (kind, count) in &self.counts {
            writeln!(text, "count {count} {kind}").expect("writing to a String never fails");
        }
        text + "\n" + &format_digests(&self.steps)
    }

    /// Panics if the transcript differs from its golden file in the package's `tests/transcripts`,
    /// and names the first step that differs. With [`UPDATE_VAR`] set, rewrites the file instead.
    pub(crate) fn assert_matches_golden(&self) {
        let path = golden_path(&self.name);
        let actual = self.summary();
        self.write_full_text();
        if std::env::var_os(UPDATE_VAR).is_some() {
            std::fs::write(&path, actual).expect("the golden file is writable");
            return;
        }
        let expected = std::fs::read_to_string(&path)
            .unwrap_or_else(|e| panic!("{}: {e}; {UPDATE_VAR}=1 creates it", path.display()));
        if expected != actual {
            panic!("{}", self.describe_difference(&expected, &actual));
        }
    }

    /// Writes the full text to the directory that [`FULL_TEXT_DIR_VAR`] names, if it is set.
    fn write_full_text(&self) {
        let Some(directory) = std::env::var_os(FULL_TEXT_DIR_VAR) else { return };
        let steps = self.steps.iter().enumerate();
        let text: Vec<String> =
            steps.map(|(index, step)| format!("step {index}\n{step}")).collect();
        let path = PathBuf::from(directory).join(file_name(&self.name));
        std::fs::write(path, text.concat())
            .expect("the directory for full transcripts is writable");
    }

    /// Describes the differing header lines, and the first differing step with its actual text.
    fn describe_difference(&self, expected: &str, actual: &str) -> String {
        let (expected_header, expected_steps) = parse_golden(expected);
        let (actual_header, actual_steps) = parse_golden(actual);
        let mut text = format!("script {:?} differs from its golden file\n", self.name);
        for line in
            expected_header.lines().filter(|line| !actual_header.contains(&format!("{line}\n")))
        {
            writeln!(text, "  expected: {line}").expect("writing to a String never fails");
        }
        for line in
            actual_header.lines().filter(|line| !expected_header.contains(&format!("{line}\n")))
        {
            writeln!(text, "  actual:   {line}").expect("writing to a String never fails");
        }
        let step_count = expected_steps.len().max(actual_steps.len());
        match (0..step_count).find(|&index| expected_steps.get(index) != actual_steps.get(index)) {
            Some(index) => {
                let step = self
                    .steps
                    .get(index)
                    .map_or("(the script ended before this step)", |s| s.as_str());
                let lines: Vec<&str> = step.lines().take(MAX_PRINTED_LINES).collect();
                writeln!(
                    text,
                    "first differing step: {index}; its actual text:\n{}",
                    lines.join("\n")
                )
            }
            None => writeln!(text, "the shortened digests of all steps are equal"),
        }
        .expect("writing to a String never fails");
        text
    }
}

fn golden_path(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/transcripts");
    directory.join(file_name(name))
}

fn file_name(name: &str) -> String {
    format!("{}.txt", name.replace(' ', "-"))
}

/// Formats the digests of the steps, several per line; `.7` stands for seven steps in which nothing
/// happened.
fn format_digests(steps: &[String]) -> String {
    let mut words: Vec<String> = Vec::new();
    for group in steps.chunk_by(|one, next| one.is_empty() && next.is_empty()) {
        match group[0].as_str() {
            "" => words.push(format!(".{}", group.len())),
            step => words.push(short_digest(step)),
        }
    }
    let mut text = String::new();
    let mut length = 0;
    for word in words {
        if length > 0 && length + word.len() >= MAX_LINE_LENGTH {
            text.push('\n');
            length = 0;
        } else if length > 0 {
            text.push(' ');
        }
        text.push_str(&word);
        length += word.len() + 1;
    }
    text + "\n"
}

/// Splits the contents of a golden file into its header and the digests of the steps. A step in
/// which nothing happened has an empty digest.
fn parse_golden(text: &str) -> (String, Vec<String>) {
    let (header, digests) = text.split_once("\n\n").unwrap_or((text, ""));
    let mut steps = Vec::new();
    for word in digests.split_whitespace() {
        match word.strip_prefix('.').and_then(|count| count.parse().ok()) {
            Some(count) => steps.extend(std::iter::repeat_n(String::new(), count)),
            None => steps.push(word.to_owned()),
        }
    }
    (format!("{header}\n"), steps)
}

/// Sums the event counts of each kind over the golden files of the scripts.
fn total_counts(names: &[&str]) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for name in names {
        let path = golden_path(name);
        let text = std::fs::read_to_string(&path)
            .unwrap_or_else(|e| panic!("{}: {e}; {UPDATE_VAR}=1 creates it", path.display()));
        for line in text.lines().filter_map(|line| line.strip_prefix("count ")) {
            let (count, kind) =
                line.split_once(' ').expect("a line of the form `count NUMBER KIND`");
            *sums.entry(kind.to_owned()).or_default() += count.parse::<u64>().expect("a number");
        }
    }
    sums
}

/// Panics if the golden files together count fewer events of a kind than its minimum. The counts
/// come from the files, so that a transcript that was rewritten with less coverage fails too.
pub(crate) fn assert_min_counts(names: &[&str], min_counts: &[(&str, u64)]) {
    if std::env::var_os(UPDATE_VAR).is_some() {
        return;
    }
    let counts = total_counts(names);
    let missing: Vec<String> = min_counts
        .iter()
        .map(|(kind, minimum)| (kind, minimum, counts.get(*kind).copied().unwrap_or(0)))
        .filter(|(_, minimum, count)| count < minimum)
        .map(|(kind, minimum, count)| format!("{kind}: {count}, expected at least {minimum}"))
        .collect();
    assert!(missing.is_empty(), "the golden files count too few events: {missing:#?}");
}
