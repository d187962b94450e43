//! Takes the announcements of the endpoint beside the agent.

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

/// Largest announcement, in bytes, as the protocol has it.
const MAX_BYTES: usize = 4 << 20;

/// Serves until the agent stops.
pub(super) async fn serve(
    events: mpsc::UnboundedSender<Event>,
    listener: TcpListener,
    stage: watch::Receiver<Stage>,
) {
    let handle = move |req| take(events.clone(), req);
    http::serve(listener, stage, Arc::new(AtomicUsize::new(0)), handle).await;
}

async fn take(events: mpsc::UnboundedSender<Event>, req: Request<Incoming>) -> Response<Body> {
    let status = match event_of(req).await {
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

async fn event_of(req: Request<Incoming>) -> Option<Event> {
    let (parts, body) = req.into_parts();
    let body = http::read_body(body, MAX_BYTES).await?;
    match decode_announcement(&parts.method, parts.uri.path(), &body) {
        Ok(Announcement::Report(report)) => Some(Event::Announced(report)),
        Ok(Announcement::Left(id)) => Some(Event::Left(id)),
        Err(error) => {
            let path = parts.uri.path();
            log::warn!("agent: event=bad-announcement path={path} error=\"{error}\"");
            None
        }
    }
}
