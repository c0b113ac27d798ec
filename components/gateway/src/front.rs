//! HTTP listeners of an entry: callers, readiness and metrics.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use errors::{CallError, ResultCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use crate::answer::error_answer;
use crate::caller_stream::CallerStream;
use crate::exchange;
use crate::holders::NoRoom;
use crate::linger::linger;
use crate::memory::{CallerConnection, ConnectionOrder, wait_for_order};
use crate::net;
use crate::state::{EntryState, StopPhase};

/// Timeout for an idle connection and for a request's header section until the first configuration arrives.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Factor on the configured idle timeout. The entry closes a connection later than configured, so that a
/// caller that respects the timeout never uses a connection that is being closed.
const IDLE_TIMEOUT_FACTOR: f64 = 1.2;
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Time in which the first request of a connection must arrive once the entry accepts no more connections.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the open connections to a page. Pages are read by the balancer and by monitoring.
const MAX_PAGE_CONNECTIONS: usize = 16;
/// Timeout for an idle connection to a page and for the head of a request for it.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failure to accept a connection; the usual cause is that the process has no file descriptors
/// left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of callers until the phase [`StopPhase::Closing`], and those that wait then. Each connection runs
/// as a task of `connections`.
pub async fn serve_callers(entry: Arc<EntryState>, listener: TcpListener, connections: TaskTracker) {
    if let Err(failure) = net::bound_receive_buffers(&listener) {
        warn!(entry.log, "receive buffers not bounded"; "error" => %failure);
    }
    let mut phase = entry.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == StopPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_caller(Arc::clone(&entry), stream));
            }
            Err(failure) => {
                warn!(entry.log, "connection not accepted"; "error" => %failure);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener resets the connections in its queue, some of which bear a request already.
    let queued = match queued_connections(listener) {
        Ok(queued) => queued,
        Err(failure) => {
            warn!(entry.log, "waiting connections not accepted"; "error" => %failure);
            return;
        }
    };
    info!(entry.log, "accepted the last connections"; "connections" => queued.len());
    for stream in queued {
        connections.spawn(serve_caller(Arc::clone(&entry), stream));
    }
}

/// Accepts the connections that wait in the queue of a listener, and closes it.
///
/// # Errors
///
/// Fails when the listener or a connection cannot be handed to or taken from the runtime.
fn queued_connections(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut queued = Vec::new();
    // An error means that the queue is empty or that the process has no file descriptors left.
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        queued.push(TcpStream::from_std(stream)?);
    }
    Ok(queued)
}

async fn serve_caller(entry: Arc<EntryState>, stream: TcpStream) {
    if net::set_connection_timeouts(&stream).is_err() {
        return;
    }
    let caller = match entry.memory.open() {
        Ok(caller) => caller,
        Err(no_room) => return refuse_caller(&entry, stream, &no_room).await,
    };
    let expects_pressure = caller.as_ref().is_some_and(|caller| caller.expects_pressure());
    if expects_pressure && net::set_caller_buffer(&stream).is_err() {
        return;
    }
    let unread = Arc::new(AtomicBool::new(false));
    let (stream, finished) = CallerStream::new(stream, caller.clone());
    let is_aborted = serve_requests(&entry, stream, caller.as_ref(), &unread).await;
    if !is_aborted && unread.load(Ordering::Relaxed) {
        let orders = caller.as_ref().map(|caller| caller.orders());
        linger_after(&entry, finished, orders).await;
    }
}

/// Serves the requests of a connection until it ends. Returns whether it was aborted.
async fn serve_requests(
    entry: &Arc<EntryState>,
    stream: CallerStream,
    caller: Option<&Arc<CallerConnection>>,
    unread: &Arc<AtomicBool>,
) -> bool {
    let limits = entry.table.load().as_ref().map(|table| table.limits());
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        Duration::from_millis(limits.idle_timeout_ms)
    });
    let mut phase = entry.phase.subscribe();
    let (first_request, mut has_request) = watch::channel(false);
    let orders = caller.map(|caller| caller.orders());
    let service = service_fn(|request| {
        first_request.send_replace(true);
        let (entry, caller, unread) = (Arc::clone(entry), caller.cloned(), Arc::clone(unread));
        async move { Ok::<_, Infallible>(exchange::serve(entry, caller, unread, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout.mul_f64(IDLE_TIMEOUT_FACTOR))
        .max_buf_size(head_buffer_bytes(entry))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut aborted = std::pin::pin!(wait_for_order(orders.clone(), ConnectionOrder::Abort));
    // The result is ignored: an error means that the caller disconnected or that a relayed stream broke off.
    let is_stopping = tokio::select! {
        _ = connection.as_mut() => return false,
        () = aborted.as_mut() => return true,
        () = wait_for_order(orders, ConnectionOrder::Close) => false,
        _ = phase.wait_for(|phase| *phase == StopPhase::Closing) => true,
    };
    if is_stopping {
        // A graceful shutdown closes a connection at once that has not received a request yet.
        tokio::select! {
            _ = connection.as_mut() => return false,
            _ = has_request.wait_for(|has_request| *has_request) => {}
            () = sleep(FIRST_REQUEST_TIMEOUT) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => false,
        () = aborted => true,
    }
}

/// Returns the size of the buffer for the head of a request: the largest head of the configuration in force.
fn head_buffer_bytes(entry: &EntryState) -> usize {
    let table = entry.table.load();
    let configured = table.as_ref().map(|table| table.limits().max_header_bytes);
    configured.unwrap_or_default().max(MIN_BUFFER_BYTES)
}

/// Discards what the caller of a refused request still sends. Ends early when others need the connection and when the
/// entry stops.
async fn linger_after(
    entry: &EntryState,
    mut finished: oneshot::Receiver<TcpStream>,
    orders: Option<watch::Receiver<ConnectionOrder>>,
) {
    let Ok(stream) = finished.try_recv() else { return };
    let count = |outcome| entry.metrics.memory.with_label_values(&[outcome]).inc();
    let Ok(_permit) = entry.lingering.try_acquire() else {
        return count("refusal-reset");
    };
    count("refusal-lingering");
    let mut phase = entry.phase.subscribe();
    tokio::select! {
        () = linger(stream) => {}
        () = wait_for_order(orders.clone(), ConnectionOrder::Close) => {}
        () = wait_for_order(orders, ConnectionOrder::Abort) => {}
        _ = phase.wait_for(|phase| *phase == StopPhase::Closing) => {}
    }
}

/// Refuses the first request of a connection for which there is no room. Further connections are reset.
async fn refuse_caller(entry: &EntryState, stream: TcpStream, no_room: &NoRoom) {
    let Ok(_permit) = entry.refusing.try_acquire() else {
        return;
    };
    let service = service_fn(move |_: Request<Incoming>| async move {
        let message = format!("no room for the connection: {no_room}");
        let error = CallError::not_run(ResultCode::MemoryExhausted, message);
        let mut response = error_answer(&error, entry.retry_after_ms(error.code));
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        Ok::<_, Infallible>(response)
    });
    let (stream, finished) = CallerStream::new(stream, None);
    let connection = http1::Builder::new()
        .max_buf_size(head_buffer_bytes(entry))
        .serve_connection(TokioIo::new(stream), service);
    // The result is ignored: the caller is not served either way.
    drop(timeout(FIRST_REQUEST_TIMEOUT, connection).await);
    linger_after(entry, finished, None).await;
}

/// Returns the status and the text for a request path.
pub type PageHandler = dyn Fn(&str) -> (StatusCode, String) + Send + Sync;

/// Serves short texts such as readiness or metrics. Does not return. Beyond [`MAX_PAGE_CONNECTIONS`], the connection that
/// has been open longest is closed for a new one.
pub async fn serve_pages(listener: TcpListener, handler: Arc<PageHandler>, log: Logger) {
    if let Err(failure) = net::bound_receive_buffers(&listener) {
        warn!(log, "receive buffers not bounded"; "error" => %failure);
    }
    let mut open: VecDeque<AbortOnDropHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                open.retain(|connection| !connection.is_finished());
                if open.len() >= MAX_PAGE_CONNECTIONS {
                    open.pop_front();
                }
                let serving = tokio::spawn(serve_page(stream, Arc::clone(&handler)));
                open.push_back(AbortOnDropHandle::new(serving));
            }
            Err(failure) => {
                warn!(log, "connection not accepted"; "error" => %failure);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_page(stream: TcpStream, handler: Arc<PageHandler>) {
    if net::set_connection_timeouts(&stream).is_err() {
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let (status, text) = handler(request.uri().path());
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    // The result is ignored: an error means that the client closed the connection.
    drop(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(PAGE_IDLE_TIMEOUT)
            .max_buf_size(MIN_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}
