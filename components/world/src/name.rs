//! Immutable names that are cheap to clone, one type for each kind of named object.

use std::fmt;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

/// Maximum length of a name.
pub const MAX_NAME_BYTES: usize = 64;

/// Why a text is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    TooLong,
    /// The text contains a character other than ASCII letters, digits, `-`, `_` and `.`.
    BadCharacter(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NameError::Empty => write!(f, "a name must not be empty"),
            NameError::TooLong => write!(f, "a name has at most {MAX_NAME_BYTES} bytes"),
            NameError::BadCharacter(c) => write!(
                f,
                "a name consists of ASCII letters, digits, '-', '_' and '.', not {c:?}"
            ),
        }
    }
}

impl std::error::Error for NameError {}

/// Checks that `text` is a valid name.
///
/// # Errors
/// Returns the first error found.
pub fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong);
    }
    let invalid = text
        .chars()
        .find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')));
    match invalid {
        Some(c) => Err(NameError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(ArcStr);

        impl $name {
            /// Makes a name without checking it; the text must be valid, such as one from a
            /// validated document.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(ArcStr::from(text))
            }

            /// Makes a name from untrusted input.
            ///
            /// # Errors
            /// Returns an error when the text is not a valid name.
            pub fn from_input(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self::new(text))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// Name of a machine; it stays the same when the VM is replaced.
    MachineName,
    /// Name of a region.
    RegionName,
    /// Name of an availability zone.
    ZoneName,
    /// Name of a service that back ends offer.
    ServiceName,
    /// Name of an operation of a service.
    OperationName,
    /// Name of a customer.
    CustomerName,
    /// Name of a plan.
    PlanName,
    /// Name of a cell.
    CellName,
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case("", NameError::Empty)]
    #[case("a b", NameError::BadCharacter(' '))]
    #[case("kiosk/1", NameError::BadCharacter('/'))]
    fn errors_on_invalid_names(#[case] text: &str, #[case] error: NameError) {
        assert_eq!(check(text), Err(error));
    }

    #[test]
    fn errors_on_overlong_names() {
        assert_eq!(
            check(&"x".repeat(MAX_NAME_BYTES + 1)),
            Err(NameError::TooLong)
        );
    }

    #[test]
    fn accepts_ordinary_names() {
        assert_eq!(check("kiosk-17.nord_a"), Ok(()));
    }
}
