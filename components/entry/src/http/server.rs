//! Accepts connections of callers and operators.

use std::convert::Infallible;
use std::sync::Arc;

use errors::ResultCode;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use slog::{debug, warn};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::context::EntryContext;
use crate::http::reply::{HttpReply, error_reply};
use crate::http::request::{BufferedRequest, discard_body};
use crate::http::room::BodyRoom;
use crate::http::route::{answer_request, authenticate};

/// Largest head of a request, and largest part of a body that is read at once, in bytes. The buffer of a connection grows
/// to this size when bytes arrive faster than they are used.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Serves until the token is cancelled, then waits for the requests in progress.
pub(crate) async fn serve_http(context: Arc<EntryContext>, listener: TcpListener, stop: CancellationToken) {
    let permits = Arc::new(Semaphore::new(context.options.connections));
    let room = BodyRoom::new(context.options.bodies_bytes);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(context.options.log, "accept failed"; "error" => %error);
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            debug!(context.options.log, "connection refused"; "reason" => "limit");
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!(context.options.log, "TCP_NODELAY not set"; "error" => %error);
        }
        let (serving, room) = (Arc::clone(&context), room.clone());
        let service = service_fn(move |request| answer(Arc::clone(&serving), room.clone(), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(context.options.header_timeout)
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = watched.await;
            drop(permit);
        });
    }
    graceful.shutdown().await;
}

async fn answer(
    context: Arc<EntryContext>,
    room: BodyRoom,
    request: Request<Incoming>,
) -> Result<HttpReply, Infallible> {
    let (parts, body) = request.into_parts();
    // Nothing is held for clients without a valid key.
    if let Err(error) = authenticate(&context, &parts) {
        discard_body(body).await;
        return Ok(error_reply(&error));
    }
    let reply = match BufferedRequest::read(parts, body, context.options.body_bytes, &room).await {
        Ok(request) => answer_request(context, request).await,
        Err(error) => {
            if error.code == ResultCode::MemoryExhausted {
                context.metrics().record_refused_body();
                debug!(context.options.log, "body refused"; "error" => &error.message, "limit" => context.options.bodies_bytes);
            }
            error_reply(&error)
        }
    };
    Ok(reply)
}
