//! What a connection remembers of its worker's last report, so that a repetition costs little.

use std::cell::RefCell;
use std::ops::Range;

use walnutlug_core::unchanged::SettledReport;
use walnutlug_core::wire::{sequence_digits, Report};

/// Longer reports are read in full each time: some thousand connections remember one each.
const MOST_REMEMBERED: usize = 4 * 1024;

/// A report as it came, and the mark that it left nothing to do.
#[derive(Debug)]
struct Remembered {
    body: Vec<u8>,
    sequence: Range<usize>,
    settled: SettledReport,
}

/// The last report of one connection, if it left nothing to do.
#[derive(Debug, Default)]
pub struct LastReport(RefCell<Option<Remembered>>);

impl LastReport {
    /// If the body is the last report again, but for its sequence number: that number, and the mark.
    pub fn repeated_by(&self, body: &[u8]) -> Option<(SettledReport, u64)> {
        let remembered = self.0.borrow();
        let last = remembered.as_ref()?;
        let before = &last.body[..last.sequence.start];
        let after = &last.body[last.sequence.end..];
        let digits = body.strip_prefix(before)?.strip_suffix(after)?;
        if !digits.iter().all(u8::is_ascii_digit) {
            return None;
        }
        let sequence = std::str::from_utf8(digits).ok()?.parse().ok()?;
        Some((last.settled, sequence))
    }

    /// Remembers a report that left nothing to do, or forgets the one before.
    pub fn remember(&self, body: &[u8], report: &Report, settled: Option<SettledReport>) {
        *self.0.borrow_mut() = settled.and_then(|settled| Remembered::new(body, report, settled));
    }
}

impl Remembered {
    fn new(body: &[u8], report: &Report, settled: SettledReport) -> Option<Remembered> {
        if body.len() > MOST_REMEMBERED {
            return None;
        }
        let sequence = sequence_digits(body)?;
        // The number found in the text has to be the one that was read.
        let digits = std::str::from_utf8(&body[sequence.clone()]).ok()?;
        let found = digits.parse::<u64>().ok()?;
        (found == report.seq).then(|| Remembered { body: body.to_vec(), sequence, settled })
    }
}
