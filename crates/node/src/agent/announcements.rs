//! Serves the announcements of the endpoint beside the agent.

use std::sync::Arc;

use bytes::Bytes;
use cowslipwing_platform::{Announcement, decode_announcement};
use cowslipwing_server::{BodyError, ClientConnection, Listener, Refusal, Stage, read_body};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::{mpsc, watch};

use super::actor::Event;
use crate::http::Body;

/// Maximum size of an announcement in bytes, as specified by the protocol.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Serves announcements until the agent stops.
pub(super) async fn serve(
    events: mpsc::UnboundedSender<Event>,
    listener: Listener,
    stage: watch::Receiver<Stage>,
) {
    let handle = move |req| handle_announcement(events.clone(), req);
    listener.serve_http1(stage, handle).await;
}

async fn handle_announcement(
    events: mpsc::UnboundedSender<Event>,
    req: Request<Incoming>,
) -> Response<Body> {
    let status = match decode_event(req).await {
        Err(status) => status,
        Ok(event) => match events.send(event) {
            Ok(()) => StatusCode::OK,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        },
    };
    let mut response = Response::new(Full::new(Bytes::from_static(b"{}")));
    *response.status_mut() = status;
    response
}

/// Returns the event that a request announces, or the status of its refusal.
async fn decode_event(req: Request<Incoming>) -> Result<Event, StatusCode> {
    let (parts, body) = req.into_parts();
    let connection = parts.extensions.get::<Arc<ClientConnection>>();
    let connection = connection.expect("the listener adds the connection to each request");
    let body = read_body(connection, body, MAX_BODY_BYTES).await.map_err(|error| match error {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Refused { refusal: Refusal::NoRoom } => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::Refused { refusal: Refusal::TimedOut } => StatusCode::REQUEST_TIMEOUT,
        BodyError::Incomplete => StatusCode::BAD_REQUEST,
    })?;
    match decode_announcement(&parts.method, parts.uri.path(), body.bytes()) {
        Ok(Announcement::Report(report)) => Ok(Event::EndpointAnnounced(report)),
        Ok(Announcement::Left(id)) => Ok(Event::EndpointLeft(id)),
        Err(error) => {
            let path = parts.uri.path();
            log::warn!("agent: event=bad-announcement path={path} error=\"{error}\"");
            Err(StatusCode::BAD_REQUEST)
        }
    }
}
