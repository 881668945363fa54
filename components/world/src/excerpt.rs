//! Excerpts of untrusted texts for log lines.

/// Characters of the longest excerpt.
const MAX_CHARS: usize = 200;

/// Returns the beginning of a text of any length.
#[must_use]
pub fn excerpt(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_CHARS).map(|(index, _)| index);
    &text[..end.unwrap_or(text.len())]
}
