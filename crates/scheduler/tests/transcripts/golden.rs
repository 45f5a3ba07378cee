//! A transcript: what was decided in a script, step by step, as neutral text. It is held against a file
//! with a digest of each step, so that a difference is found at the step in which it begins.
//!
//! Nothing here knows a type of the packages, and every word of the text is a literal of the tests, so
//! that a change of names leaves all digests as they are.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

/// With this variable set, the files are written anew instead of read.
const UPDATE: &str = "UPDATE_TRANSCRIPTS";
/// A folder into which the whole text of each transcript is written, to compare two versions line by line.
const WHOLE: &str = "WHOLE_TRANSCRIPTS";
/// The longest line of digests.
const LINE: usize = 100;
/// So many lines of the first differing step are printed.
const PRINTED: usize = 300;

/// FNV-1a with 64 bits: the same on every machine and with every version of the compiler.
fn digest(text: &[u8], mut state: u64) -> u64 {
    for byte in text {
        state = (state ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    state
}

const EMPTY: u64 = 0xcbf2_9ce4_8422_2325;

/// A step's digest, in the 32 bits that a file holds of it.
fn short(text: &str) -> String {
    let full = digest(text.as_bytes(), EMPTY);
    format!("{:08x}", (full >> 32) ^ (full & 0xffff_ffff))
}

/// Chance that is the same at every run, whatever the version of any package.
pub(crate) struct SeededRng(u64);

impl SeededRng {
    pub(crate) fn new(seed: u64) -> SeededRng {
        SeededRng(digest(&seed.to_le_bytes(), EMPTY))
    }

    /// One of the numbers below that one, by xorshift.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 16) % bound as u64) as usize
    }

    pub(crate) fn chance(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }
}

/// What came to pass in one script.
pub(crate) struct Transcript {
    name: String,
    /// The text of each step.
    steps: Vec<String>,
    /// Lines and other events by their kind.
    counts: BTreeMap<String, u64>,
}

impl Transcript {
    pub(crate) fn new(name: &str) -> Transcript {
        Transcript { name: name.to_owned(), steps: vec![String::new()], counts: BTreeMap::new() }
    }

    /// What follows belongs to the next step.
    pub(crate) fn next_step(&mut self) {
        self.steps.push(String::new());
    }

    /// A line of that kind; its text follows the kind.
    pub(crate) fn line(&mut self, kind: &str, text: &str) {
        self.count(kind, 1);
        let step = self.steps.last_mut().expect("a step");
        writeln!(step, "{kind} {text}").expect("writing to a string");
    }

    /// Something that is counted and not told.
    pub(crate) fn count(&mut self, kind: &str, times: u64) {
        match self.counts.get_mut(kind) {
            Some(count) => *count += times,
            None => drop(self.counts.insert(kind.to_owned(), times)),
        }
    }

    pub(crate) fn count_of(&self, kind: &str) -> u64 {
        self.counts.get(kind).copied().unwrap_or(0)
    }

    /// The file's text: a head with counts, an empty line, and the digests of the steps.
    fn summary(&self) -> String {
        let total = self.steps.iter().fold(EMPTY, |state, step| {
            let state = digest(step.as_bytes(), state);
            digest(b"\0", state)
        });
        let mut text = format!("script {}\nsteps {}\n", self.name, self.steps.len());
        writeln!(text, "digest {total:016x}").expect("writing to a string");
        for (kind, count) in &self.counts {
            writeln!(text, "count {count} {kind}").expect("writing to a string");
        }
        text + "\n" + &folded(&self.steps)
    }

    /// Fails unless the file in the package's `tests/transcripts` says the same, and names the first step
    /// that differs.
    pub(crate) fn assert_matches_golden(&self) {
        let path = path_of(&self.name);
        let now = self.summary();
        self.write_whole();
        if std::env::var_os(UPDATE).is_some() {
            std::fs::write(&path, now).expect("the golden file is written");
            return;
        }
        let then = std::fs::read_to_string(&path)
            .unwrap_or_else(|e| panic!("{}: {e}; {UPDATE}=1 writes it", path.display()));
        if then != now {
            panic!("{}", self.difference(&then, &now));
        }
    }

    fn write_whole(&self) {
        let Some(folder) = std::env::var_os(WHOLE) else { return };
        let steps = self.steps.iter().enumerate();
        let text: Vec<String> = steps.map(|(at, step)| format!("step {at}\n{step}")).collect();
        let path = PathBuf::from(folder).join(file_name(&self.name));
        std::fs::write(path, text.concat()).expect("the whole transcript is written");
    }

    fn difference(&self, then: &str, now: &str) -> String {
        let (head_then, steps_then) = parts(then);
        let (head_now, steps_now) = parts(now);
        let mut text = format!("script {:?} differs from its transcript\n", self.name);
        for line in head_then.lines().filter(|line| !head_now.contains(&format!("{line}\n"))) {
            writeln!(text, "  was: {line}").expect("writing to a string");
        }
        for line in head_now.lines().filter(|line| !head_then.contains(&format!("{line}\n"))) {
            writeln!(text, "  now: {line}").expect("writing to a string");
        }
        let most = steps_then.len().max(steps_now.len());
        match (0..most).find(|&at| steps_then.get(at) != steps_now.get(at)) {
            Some(at) => {
                let step = self.steps.get(at).map_or("(the script ends before it)", |s| s.as_str());
                let lines: Vec<&str> = step.lines().take(PRINTED).collect();
                writeln!(text, "first differing step: {at}; it is now:\n{}", lines.join("\n"))
            }
            None => writeln!(text, "no step differs in its short digest"),
        }
        .expect("writing to a string");
        text
    }
}

fn path_of(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/transcripts");
    folder.join(file_name(name))
}

fn file_name(name: &str) -> String {
    format!("{}.txt", name.replace(' ', "-"))
}

/// The digests, several on a line; `.7` stands for seven steps in which nothing happened.
fn folded(steps: &[String]) -> String {
    let mut words: Vec<String> = Vec::new();
    for run in steps.chunk_by(|one, next| one.is_empty() && next.is_empty()) {
        match run[0].as_str() {
            "" => words.push(format!(".{}", run.len())),
            step => words.push(short(step)),
        }
    }
    let mut text = String::new();
    let mut length = 0;
    for word in words {
        if length > 0 && length + word.len() >= LINE {
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

/// The head, and the digests with one entry for each step.
fn parts(text: &str) -> (String, Vec<String>) {
    let (head, digests) = text.split_once("\n\n").unwrap_or((text, ""));
    let mut steps = Vec::new();
    for word in digests.split_whitespace() {
        match word.strip_prefix('.').and_then(|count| count.parse().ok()) {
            Some(count) => steps.extend(std::iter::repeat_n(String::new(), count)),
            None => steps.push(word.to_owned()),
        }
    }
    (format!("{head}\n"), steps)
}

/// What the files of these scripts count of each kind, all scripts together.
fn counted(names: &[&str]) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for name in names {
        let path = path_of(name);
        let text = std::fs::read_to_string(&path)
            .unwrap_or_else(|e| panic!("{}: {e}; {UPDATE}=1 writes it", path.display()));
        for line in text.lines().filter_map(|line| line.strip_prefix("count ")) {
            let (count, kind) = line.split_once(' ').expect("a count and a kind");
            *sums.entry(kind.to_owned()).or_default() += count.parse::<u64>().expect("a count");
        }
    }
    sums
}

/// Fails if the files hold less of some kind than they have to. By the files, so that a transcript that
/// was written anew and covers less is found.
pub(crate) fn assert_min_counts(names: &[&str], reached: &[(&str, u64)]) {
    if std::env::var_os(UPDATE).is_some() {
        return;
    }
    let counted = counted(names);
    let missing: Vec<String> = reached
        .iter()
        .map(|(kind, least)| (kind, least, counted.get(*kind).copied().unwrap_or(0)))
        .filter(|(_, least, count)| count < least)
        .map(|(kind, least, count)| format!("{kind}: {count} of at least {least}"))
        .collect();
    assert!(missing.is_empty(), "the transcripts cover less than they did: {missing:#?}");
}
