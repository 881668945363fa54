//! HTTP API for the back end beside the daemon and for operators, on a loopback address.

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

/// The admin API.
///
/// # Errors
/// Fails when two endpoints clash.
pub fn api() -> Result<ApiDescription<Arc<Shared>>, String> {
    let mut api = ApiDescription::new();
    api.register(announce).map_err(|e| e.to_string())?;
    api.register(status).map_err(|e| e.to_string())?;
    api.register(lists_accepted).map_err(|e| e.to_string())?;
    Ok(api)
}

/// Announce the back end beside the daemon
///
/// A back end repeats this at least once a second; after three seconds of silence it gets no
/// new work.
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

/// Show what the daemon knows of its cell and of itself
#[endpoint { method = GET, path = "/v1/status", tags = ["operators"] }]
async fn status(context: Context) -> Result<HttpResponseOk<Status>, HttpError> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let sent = context.context().events.send(Event::Status(sender)).await;
    sent.map_err(|_| stopping())?;
    let status = receiver.await.map_err(|_| stopping())?;
    Ok(HttpResponseOk(status))
}

/// Lists that the store has accepted.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub struct AcceptedLists {
    /// Version under which the store holds them.
    pub version: u64,
    /// The document.
    pub text: String,
}

/// Tell the daemon of lists that the store has accepted
///
/// They reach the whole cell from here, also when the store has failed since.
#[endpoint { method = PUT, path = "/v1/lists", tags = ["operators"] }]
async fn lists_accepted(
    context: Context,
    body: TypedBody<AcceptedLists>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let AcceptedLists { version, text } = body.into_inner();
    let checked = lists::document::parse(&text);
    checked.map_err(|faults| HttpError::for_bad_request(None, faults.to_string()))?;
    let event = Event::ListsAccepted(ListsDocument { version, text });
    let sent = context.context().events.send(event).await;
    sent.map_err(|_| stopping())?;
    Ok(HttpResponseUpdatedNoContent())
}

fn stopping() -> HttpError {
    HttpError::for_unavail(None, "the daemon is stopping".to_owned())
}
