//! Authentication between daemons by a token that is derived from the deployment's shared secret.
//!
//! The token is the same for all daemons, and each call carries it as a metadata entry.

use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::{Request, Status};

/// Name of the metadata entry that carries the token.
const TOKEN_ENTRY: &str = "plantaingauge-token";

/// Context of the BLAKE3 key derivation. It differs from the one for order tickets, whose key comes
/// from the same secret.
const TOKEN_CONTEXT: &str = "plantaingauge 2026 peer token";

/// Token that proves knowledge of the shared secret. `Debug` doesn't print its value.
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

    /// Returns whether a request carries this token. The comparison doesn't stop at the first
    /// difference, so that its duration doesn't reveal how many bytes match.
    fn matches<T>(&self, request: &Request<T>) -> bool {
        let Some(received) = request.metadata().get(TOKEN_ENTRY) else {
            return false;
        };
        let (received, expected) = (received.as_bytes(), self.0.as_bytes());
        let bytes_equal = received
            .iter()
            .zip(expected)
            .fold(0, |diff, (r, e)| diff | (r ^ e))
            == 0;
        bytes_equal && received.len() == expected.len()
    }
}

/// Interceptor that adds the token to outgoing calls.
#[derive(Clone, Debug)]
pub struct AttachToken(pub PeerToken);

impl Interceptor for AttachToken {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert(TOKEN_ENTRY, self.0.0.clone());
        Ok(request)
    }
}

/// Interceptor that rejects incoming calls without the token as `UNAUTHENTICATED`.
#[derive(Clone, Debug)]
pub struct VerifyToken(pub PeerToken);

impl Interceptor for VerifyToken {
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
        let mut verifier = VerifyToken(PeerToken::from_secret("right"));
        assert!(verifier.call(Request::new(())).is_err());
        let mut wrong = AttachToken(PeerToken::from_secret("wrong"));
        let request = wrong.call(Request::new(())).expect("token attached");
        assert!(verifier.call(request).is_err());
        let mut right = AttachToken(PeerToken::from_secret("right"));
        let request = right.call(Request::new(())).expect("token attached");
        assert!(verifier.call(request).is_ok());
    }
}
