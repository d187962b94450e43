//! Serves the announcements of the endpoint beside the agent.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use bytes::Bytes;
use cowslipwing_platform::{Announcement, decode_announcement};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::actor::Event;
use crate::http::{self, Body, Stage};

/// Maximum size of an announcement in bytes, as specified by the protocol.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Serves announcements until the agent stops.
pub(super) async fn serve(
    events: mpsc::UnboundedSender<Event>,
    listener: TcpListener,
    stage: watch::Receiver<Stage>,
) {
    let handle = move |req| handle_announcement(events.clone(), req);
    http::serve(listener, stage, Arc::new(AtomicUsize::new(0)), handle).await;
}

async fn handle_announcement(
    events: mpsc::UnboundedSender<Event>,
    req: Request<Incoming>,
) -> Response<Body> {
    let status = match decode_event(req).await {
        None => StatusCode::BAD_REQUEST,
        Some(event) => match events.send(event) {
            Ok(()) => StatusCode::OK,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        },
    };
    let mut response = Response::new(Full::new(Bytes::from_static(b"{}")));
    *response.status_mut() = status;
    response
}

async fn decode_event(req: Request<Incoming>) -> Option<Event> {
    let (parts, body) = req.into_parts();
    let body = http::read_body(body, MAX_BODY_BYTES).await?;
    match decode_announcement(&parts.method, parts.uri.path(), &body) {
        Ok(Announcement::Report(report)) => Some(Event::EndpointAnnounced(report)),
        Ok(Announcement::Left(id)) => Some(Event::EndpointLeft(id)),
        Err(error) => {
            let path = parts.uri.path();
            log::warn!("agent: event=bad-announcement path={path} error=\"{error}\"");
            None
        }
    }
}
