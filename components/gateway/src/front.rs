//! The listeners of an entry: callers, readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

use crate::exchange;
use crate::net;
use crate::state::{EntryState, StopPhase};

/// Idle and header limit while no configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Factor on the configured idle limit, so that a caller that stays within it never meets a closing connection.
const IDLE_SLACK: f64 = 1.2;
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Pause after a failure to accept, which mostly means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the entry closes; each connection runs as a task of the tracker.
pub async fn serve_callers(entry: Arc<EntryState>, listener: TcpListener, connections: TaskTracker) {
    let mut phase = entry.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == StopPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_caller(Arc::clone(&entry), stream));
            }
            Err(failure) => {
                warn!(entry.log, "connection not accepted"; "error" => %failure);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(entry: Arc<EntryState>, stream: TcpStream) {
    if net::set_connection_timeouts(&stream).is_err() {
        return;
    }
    let limits = entry.table.load().as_ref().map(|table| table.limits());
    let idle = limits.map_or(DEFAULT_IDLE, |limits| {
        Duration::from_millis(limits.idle_timeout_ms)
    });
    let buffer = limits.map_or(MIN_BUFFER_BYTES, |limits| {
        limits.max_header_bytes.max(MIN_BUFFER_BYTES)
    });
    let mut phase = entry.phase.subscribe();
    let service = service_fn(move |request| {
        let entry = Arc::clone(&entry);
        async move { Ok::<_, Infallible>(exchange::serve(entry, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.mul_f64(IDLE_SLACK))
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // A connection that the caller or a broken stream ends has nothing left to report.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|phase| *phase == StopPhase::Closing) => connection.as_mut().graceful_shutdown(),
    }
    drop(connection.await);
}

/// What a small page answers to a path.
pub type PageHandler = dyn Fn(&str) -> (StatusCode, String) + Send + Sync;

/// Serves short texts, readiness or metrics, for ever.
pub async fn serve_pages(listener: TcpListener, answer: Arc<PageHandler>, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_page(stream, Arc::clone(&answer)))),
            Err(failure) => {
                warn!(log, "connection not accepted"; "error" => %failure);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_page(stream: TcpStream, answer: Arc<PageHandler>) {
    if net::set_connection_timeouts(&stream).is_err() {
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let (status, text) = answer(request.uri().path());
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    // A checker that closes its connection has nothing left to report.
    drop(
        http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}
