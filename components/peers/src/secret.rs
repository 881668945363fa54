//! How daemons authenticate to one another.

use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::{Request, Status};

/// Metadata entry with the token derived from the shared secret.
const TOKEN_ENTRY: &str = "plantaingauge-token";

const TOKEN_CONTEXT: &str = "plantaingauge 2026 peer token";

/// Token that proves knowledge of the deployment's shared secret.
#[derive(Clone)]
pub struct PeerToken(MetadataValue<Ascii>);

impl std::fmt::Debug for PeerToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerToken")
    }
}

impl PeerToken {
    /// Derives the token from the shared secret.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        let hash = blake3::Hash::from(blake3::derive_key(TOKEN_CONTEXT, secret.as_bytes()));
        let text = hash.to_hex();
        Self(MetadataValue::try_from(text.as_str()).unwrap_or(MetadataValue::from_static("")))
    }

    /// Tells whether a request carries this token, in a time that does not depend on the match.
    fn matches<T>(&self, request: &Request<T>) -> bool {
        let Some(given) = request.metadata().get(TOKEN_ENTRY) else {
            return false;
        };
        let (given, own) = (given.as_bytes(), self.0.as_bytes());
        let same = given.iter().zip(own).fold(0, |sum, (g, o)| sum | (g ^ o)) == 0;
        same && given.len() == own.len()
    }
}

/// Adds the token to outgoing calls.
#[derive(Clone, Debug)]
pub struct Sign(pub PeerToken);

impl Interceptor for Sign {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert(TOKEN_ENTRY, self.0.0.clone());
        Ok(request)
    }
}

/// Refuses incoming calls without the token.
#[derive(Clone, Debug)]
pub struct Verify(pub PeerToken);

impl Interceptor for Verify {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        if self.0.matches(&request) {
            return Ok(request);
        }
        Err(Status::unauthenticated(
            "the caller does not know the shared secret",
        ))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn refuses_calls_without_the_right_token() {
        let mut verify = Verify(PeerToken::from_secret("right"));
        assert!(verify.call(Request::new(())).is_err());
        let mut wrong = Sign(PeerToken::from_secret("wrong"));
        let signed = wrong.call(Request::new(())).expect("signed");
        assert!(verify.call(signed).is_err());
        let mut right = Sign(PeerToken::from_secret("right"));
        let signed = right.call(Request::new(())).expect("signed");
        assert!(verify.call(signed).is_ok());
    }
}
