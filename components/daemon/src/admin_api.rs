//! HTTP API for the local back end and for operators, on a loopback address.

use std::sync::Arc;

use dropshot::{
    ApiDescription, HttpError, HttpResponseOk, HttpResponseUpdatedNoContent, RequestContext,
    TypedBody, endpoint,
};

use peers::wire::ListsDocument;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::announcement::Announcement;
use crate::control::Event;
use crate::shared::Shared;
use crate::status::Status;

type Context = RequestContext<Arc<Shared>>;

/// Returns the description of the admin API.
///
/// # Errors
/// Fails when two endpoints conflict.
pub fn api() -> Result<ApiDescription<Arc<Shared>>, String> {
    let mut api = ApiDescription::new();
    api.register(announce).map_err(|e| e.to_string())?;
    api.register(status).map_err(|e| e.to_string())?;
    api.register(lists_accepted).map_err(|e| e.to_string())?;
    Ok(api)
}

/// Announce the local back end
///
/// A back end repeats this at least once a second; three seconds after its last announcement it
/// receives no new requests.
#[endpoint { method = PUT, path = "/v1/back-end", tags = ["back end"] }]
async fn announce(
    context: Context,
    body: TypedBody<Announcement>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let checked = body.into_inner().check();
    let (back_end, address) =
        checked.map_err(|e| HttpError::for_bad_request(None, e.to_string()))?;
    let event = Event::Announced { back_end, address };
    let sent = context.context().events.send(event).await;
    sent.map_err(|_| stopping())?;
    Ok(HttpResponseUpdatedNoContent())
}

/// Show the status of the daemon and of its cell
#[endpoint { method = GET, path = "/v1/status", tags = ["operators"] }]
async fn status(context: Context) -> Result<HttpResponseOk<Status>, HttpError> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let sent = context.context().events.send(Event::Status(sender)).await;
    sent.map_err(|_| stopping())?;
    let status = receiver.await.map_err(|_| stopping())?;
    Ok(HttpResponseOk(status))
}

/// A version of the lists that the store has accepted.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub struct AcceptedLists {
    /// Version of the object in the store.
    pub version: u64,
    /// The document as stored.
    pub text: String,
}

/// Distribute lists that the store has accepted
///
/// The daemon relays them to the whole cell, even if the store has failed since.
#[endpoint { method = PUT, path = "/v1/lists", tags = ["operators"] }]
async fn lists_accepted(
    context: Context,
    body: TypedBody<AcceptedLists>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let AcceptedLists { version, text } = body.into_inner();
    let checked = lists::document::parse(&text);
    checked.map_err(|diagnostics| HttpError::for_bad_request(None, diagnostics.to_string()))?;
    let event = Event::ListsAccepted(ListsDocument { version, text });
    let sent = context.context().events.send(event).await;
    sent.map_err(|_| stopping())?;
    Ok(HttpResponseUpdatedNoContent())
}

fn stopping() -> HttpError {
    HttpError::for_unavail(None, "the daemon is stopping".to_owned())
}
