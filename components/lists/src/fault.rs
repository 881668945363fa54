//! Faults of a lists document.

use std::fmt;

/// One fault and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from 1; 0 when the fault concerns the whole document.
    pub line: usize,
    /// Column in characters, counted from 1; 0 when the fault concerns the whole line.
    pub column: usize,
    /// What is wrong and what would be right.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.message);
        }
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.message
        )
    }
}

/// All faults of a document, in order of their place.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Line and column of a byte offset, both counted from 1.
#[must_use]
pub fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |at| at + 1);
    (line, before[start..].chars().count() + 1)
}
