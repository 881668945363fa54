//! Diagnostics of a lists document: what is wrong and at which line and column.

use std::fmt;

/// One error of a document and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line, counted from 1; 0 when the error concerns the whole document.
    pub line: usize,
    /// Column in characters, counted from 1; 0 when the error concerns the whole line.
    pub column: usize,
    /// What is wrong and what would be valid.
    pub message: String,
}

impl fmt::Display for Diagnostic {
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

/// All errors of a document, sorted by position. They are displayed one a line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// Returns the line and the column, in characters, of a byte offset; both are counted from 1.
/// An offset past the end, or inside a character, gives the position of the end of the text.
#[must_use]
pub fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |newline| newline + 1);
    (line, before[start..].chars().count() + 1)
}
