//! One HTTP exchange with one backend server.
//!
//! Invariant: an outcome counts as not run only if no byte was written or the server itself reported it.

use {
    crate::{
        commands::permit::{AttemptReport, Permit},
        connection_pool::connect,
        memory_budget::Hold,
        queries,
        request_log::RequestLog,
        response::parts_body,
        AttemptOutcome, BoxedBody, CallerConnection, Connection, Proxy, RequestBody, RequestHead,
        RequestPlan, StoredResponse,
    },
    bytes::{Bytes, BytesMut},
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        body::{Body, Frame, Incoming, SizeHint},
        Request, Response, StatusCode, Uri,
    },
    member::ServerNotice,
    std::{
        io,
        pin::Pin,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// Time after the request's deadline for which a response body may go on, in milliseconds.
const BODY_GRACE_MS: u64 = 250;

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// A complete response.
    Completed(StoredResponse),
    /// A response whose body is forwarded while it is received.
    Streamed(Box<Response<BoxedBody>>),
    /// Not run: no connection could be opened, or another attempt had taken the streamed body.
    NotConnected,
    /// Not run, as reported by the server.
    Shed,
    /// Not run: another server uses the address now.
    Misdirected,
    /// The request may have run.
    Unknown {
        /// Whether a reused connection failed before any response. The connection may be at fault instead of the
        /// server, so the permit is not released as failed.
        connection_failed: bool,
    },
    /// The caller aborted the request body.
    BodyAborted,
}

/// A request with everything that its attempts need.
#[derive(Clone)]
pub(crate) struct RequestContext {
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) plan: Arc<RequestPlan>,
    pub(crate) head: Arc<RequestHead>,
    pub(crate) body: RequestBody,
    pub(crate) log: RequestLog,
    /// Connection on which the request was received.
    pub(crate) connection: Arc<CallerConnection>,
    /// Set when the caller disconnects.
    pub(crate) caller_left: Arc<AtomicBool>,
}

/// Sends the request to the permit's server, over an idle connection if `may_reuse` and there is one.
pub(crate) async fn exchange(
    context: &RequestContext,
    permit: &Arc<Permit>,
    may_reuse: bool,
) -> ExchangeOutcome {
    let address = permit.grant().address;
    let idle = may_reuse
        .then(|| context.proxy.connections.take_idle(address))
        .flatten();
    let connection = match idle {
        Some(connection) => {
            permit.mark_reused();
            connection
        }
        None => match connect(address).await {
            Ok(connection) => connection,
            Err(_) => {
                permit.release(AttemptReport::new(AttemptOutcome::Unreachable));
                return ExchangeOutcome::NotConnected;
            }
        },
    };
    let is_body_sent = Arc::new(AtomicBool::new(false));
    let Some(body) = take_body(&context.body) else {
        // Another attempt has taken the streamed body, so nothing is sent.
        permit.release_inconclusive();
        return ExchangeOutcome::NotConnected;
    };
    let body = SentBody::new(body, &is_body_sent).boxed_unsync();
    send(context, permit, connection, body, is_body_sent).await
}

/// A request's body that records when all of it was taken by the connection.
struct SentBody {
    body: BoxedBody,
    is_sent: Arc<AtomicBool>,
}

impl SentBody {
    fn new(body: BoxedBody, is_sent: &Arc<AtomicBool>) -> Self {
        // An empty body is not asked for data.
        is_sent.store(body.is_end_stream(), Ordering::SeqCst);
        Self {
            body,
            is_sent: Arc::clone(is_sent),
        }
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.is_sent.store(true, Ordering::SeqCst);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn take_body(body: &RequestBody) -> Option<BoxedBody> {
    match body {
        RequestBody::Buffered(body) => Some(parts_body(body.parts.clone())),
        RequestBody::Streamed(streamed) => streamed.take(),
    }
}

async fn send(
    context: &RequestContext,
    permit: &Arc<Permit>,
    mut connection: Connection,
    body: BoxedBody,
    is_body_sent: Arc<AtomicBool>,
) -> ExchangeOutcome {
    let started = Instant::now();
    let request = build_request(context, permit, body);
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_) => return no_response(context, permit, connection.reused),
    };
    let first_byte_us = started.elapsed().as_micros() as u64;
    let conventions = &context.proxy.conventions;
    let is_own = queries::echoes_request(&response, conventions, &context.plan.request_id);
    let is_misdirected = is_own
        && conventions.target_server.is_some()
        && response.status() == StatusCode::MISDIRECTED_REQUEST;
    // A misdirected request is answered by a server other than the permit's.
    let notice = if is_own && !is_misdirected {
        queries::server_notice(&response, conventions)
    } else {
        ServerNotice::default()
    };
    // An answer without a limit ends the one that the server named before.
    let names_limits = is_own && !is_misdirected && conventions.limit.is_some();
    if names_limits || notice != ServerNotice::default() {
        (context.proxy.slots.record_notice)(permit.grant(), notice);
    }
    let report = |outcome| AttemptReport {
        outcome,
        first_byte_us,
        response_us: 0,
        is_leaving: notice.is_leaving,
        limit_milli: names_limits.then(|| notice.limit_milli.unwrap_or(0)),
    };
    if is_misdirected {
        permit.release(report(AttemptOutcome::Misdirected));
        return ExchangeOutcome::Misdirected;
    }
    // A refusal of another request, sent late or once more, proves nothing about this one.
    if is_own && response.headers().contains_key(&conventions.not_run) {
        permit.release(report(AttemptOutcome::Shed));
        return ExchangeOutcome::Shed;
    }
    // Only the header proves that the request was not run, so such a status without it must not be forwarded.
    let unproven_not_run =
        conventions.status_implies_not_run && queries::implies_not_run(response.status());
    if unproven_not_run
        || !queries::is_final_status(response.status())
        || !queries::is_matching_response(&response, conventions, &context.plan.request_id)
        || !queries::has_reliable_framing(&response, conventions, &context.head.method)
    {
        permit.release(AttemptReport::new(AttemptOutcome::Failed));
        return ExchangeOutcome::Unknown {
            connection_failed: false,
        };
    }
    let report = report(outcome_of_status(response.status()));
    let stream = ResponseStream {
        context: context.clone(),
        permit: Arc::clone(permit),
        connection: Some(connection),
        is_close_delimited: queries::is_close_delimited(&response, &context.head.method),
        is_body_sent,
        report,
        started,
    };
    receive_response(stream, response).await
}

fn build_request(context: &RequestContext, permit: &Permit, body: BoxedBody) -> Request<BoxedBody> {
    let authority = permit.grant().address.to_string();
    let path = context
        .head
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut request = Request::new(body);
    *request.method_mut() = context.head.method.clone();
    // Can't fail: the path was received as part of a valid URI.
    *request.uri_mut() = path.parse::<Uri>().unwrap_or_default();
    *request.headers_mut() = queries::upstream_headers(
        &context.head,
        &context.plan,
        &context.proxy.conventions,
        permit.grant(),
        &authority,
    );
    request
}

/// Returns the outcome of an exchange without a response. An aborted caller's body does not count against the server;
/// a new connection that fails does.
fn no_response(context: &RequestContext, permit: &Permit, reused: bool) -> ExchangeOutcome {
    if let RequestBody::Streamed(streamed) = &context.body {
        if streamed.caller_aborted.load(Ordering::SeqCst) {
            permit.release(AttemptReport::new(AttemptOutcome::Inconclusive));
            return ExchangeOutcome::BodyAborted;
        }
    }
    if reused {
        return ExchangeOutcome::Unknown {
            connection_failed: true,
        };
    }
    permit.release(AttemptReport::new(AttemptOutcome::Failed));
    ExchangeOutcome::Unknown {
        connection_failed: false,
    }
}

async fn receive_response(
    mut stream: ResponseStream,
    response: Response<Incoming>,
) -> ExchangeOutcome {
    let (head, mut body) = response.into_parts();
    let hold_bytes = stream.context.plan.hold_bytes;
    let exact_bytes = body.size_hint().exact();
    let fits_buffer = exact_bytes.is_some_and(|bytes| bytes <= hold_bytes);
    let headers = queries::without_hop_by_hop_headers(&head.headers);
    let known_bytes = exact_bytes.filter(|_| fits_buffer).unwrap_or(0);
    let mut hold = stream.context.connection.hold(known_bytes).await;
    let buffered_bytes = hold.as_ref().map_or(0, |_| known_bytes as usize);
    let mut buffer = BytesMut::with_capacity(buffered_bytes);
    loop {
        match stream.next(&mut body).await {
            Ok(Some(data)) => buffer.extend_from_slice(&data),
            Ok(None) => {
                let body = buffer.freeze();
                return ExchangeOutcome::Completed(StoredResponse {
                    status: head.status,
                    headers,
                    body: match hold {
                        Some(hold) => hold.attach_to(body),
                        None => body,
                    },
                });
            }
            Err(_) => {
                return ExchangeOutcome::Unknown {
                    connection_failed: false,
                }
            }
        }
        // Without room for the whole response it is forwarded while it is received.
        let has_room = match &mut hold {
            Some(hold) => hold.grow_to(buffer.capacity() as u64).await,
            None => false,
        };
        if !has_room || (!fits_buffer && buffer.len() as u64 > hold_bytes) {
            let mut response = Response::new(stream.into_body(body, buffer.freeze(), hold));
            *response.status_mut() = head.status;
            *response.headers_mut() = headers;
            return ExchangeOutcome::Streamed(Box::new(response));
        }
    }
}

/// Response body that is being received; its end releases the permit.
struct ResponseStream {
    context: RequestContext,
    permit: Arc<Permit>,
    connection: Option<Connection>,
    /// Whether the body ends with the connection.
    is_close_delimited: bool,
    /// Whether the connection has taken the whole request.
    is_body_sent: Arc<AtomicBool>,
    report: AttemptReport,
    started: Instant,
}

impl ResponseStream {
    /// Reads the next data. A complete body returns the connection to the pool, an error closes it, as does a body that
    /// goes on past the request's deadline, since it may have no end. A body that ends with the connection is complete only if
    /// the server had received the whole request: a reset that follows its part of a response may be read as a regular end.
    async fn next(&mut self, body: &mut Incoming) -> io::Result<Option<Bytes>> {
        let end = self.context.plan.deadline + Duration::from_millis(BODY_GRACE_MS);
        loop {
            let frame = match timeout_at(end.into(), body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Err(self.fail(io::ErrorKind::TimedOut.into())),
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(self.fail(io::Error::other(error))),
                None => {
                    if self.is_close_delimited && !self.ended_regularly().await {
                        return Err(self.fail(io::ErrorKind::ConnectionReset.into()));
                    }
                    self.finish();
                    return Ok(None);
                }
            }
        }
    }

    async fn ended_regularly(&mut self) -> bool {
        match &mut self.connection {
            Some(connection) if self.is_body_sent.load(Ordering::SeqCst) => {
                connection.ended_regularly().await
            }
            _ => false,
        }
    }

    fn fail(&mut self, error: io::Error) -> io::Error {
        self.connection = None;
        self.permit
            .release(AttemptReport::new(AttemptOutcome::Failed));
        error
    }

    fn finish(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        self.report.response_us = self.started.elapsed().as_micros() as u64;
        self.permit.release(self.report);
        let proxy = Arc::clone(&self.context.proxy);
        let address = self.permit.grant().address;
        tokio::spawn(async move { proxy.connections.put_back(address, connection).await });
    }

    /// Returns the body that consists of `buffer` and the rest. What is held for the buffer is held until the end, for the
    /// buffers of the connection.
    fn into_body(self, body: Incoming, buffer: Bytes, hold: Option<Hold>) -> BoxedBody {
        let start = (self, body, hold, Some(buffer));
        let frames = stream::try_unfold(start, |(mut stream, mut body, hold, buffer)| async move {
            let data = match buffer {
                Some(buffer) => Some(buffer),
                None => stream.next(&mut body).await?,
            };
            Ok(data.map(|data| (Frame::data(data), (stream, body, hold, None))))
        });
        StreamBody::new(frames).boxed_unsync()
    }
}

/// Returns the outcome of an attempt whose complete response has `status`. Server errors count against the server, 504
/// as overdue. That includes a 503 without the header that says that the request was not run.
fn outcome_of_status(status: StatusCode) -> AttemptOutcome {
    match status {
        StatusCode::GATEWAY_TIMEOUT => AttemptOutcome::Overdue,
        status if status.is_server_error() => AttemptOutcome::Failed,
        _ => AttemptOutcome::Completed,
    }
}
