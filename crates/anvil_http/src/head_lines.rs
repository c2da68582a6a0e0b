//! Counts the lines of a head while it is being read.

/// Counts the lines of one head, across the parts in which it comes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeadLines {
    complete: usize,
    /// Whether a part of the next line has come; the end of a line doesn't count.
    has_begun_line: bool,
    has_ended: bool,
}

impl HeadLines {
    /// Adds the next part; what comes after the head isn't counted.
    pub(crate) fn add(&mut self, part: &[u8]) {
        for byte in part {
            match byte {
                _ if self.has_ended => return,
                b'\n' => self.end_line(),
                b'\r' => {}
                _ => self.has_begun_line = true,
            }
        }
    }

    fn end_line(&mut self) {
        if self.has_begun_line {
            self.complete += 1;
        } else {
            // Empty lines before a head are no part of it.
            self.has_ended = self.complete > 0;
        }
        self.has_begun_line = false;
    }

    /// Complete lines so far, the request line included.
    pub(crate) fn complete(&self) -> usize {
        self.complete
    }
}
