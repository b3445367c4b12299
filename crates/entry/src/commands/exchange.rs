//! One exchange with one backend server over one connection.
//!
//! Invariant: `NotRun` is only given before a byte was written or when the server itself said so.

use {
    crate::{
        commands::permit::{Finding, Permit},
        connection_pool::connect,
        queries,
        request_log::Trace,
        response::whole,
        AttemptOutcome, BoxedBody, Connection, Proxy, RequestBody, RequestHead, RequestPlan,
        StoredResponse,
    },
    bytes::{Bytes, BytesMut},
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        body::{Body as _, Frame, Incoming},
        Request, Response, StatusCode, Uri,
    },
    std::{
        io,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Instant,
    },
};

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum End {
    /// A whole answer.
    Whole(StoredResponse),
    /// The head of an answer whose body is passed on as it comes.
    Streamed(Box<Response<BoxedBody>>),
    /// Proved not run: no connection.
    Refused,
    /// Proved not run: the server said so.
    Shed,
    /// Proved not run: another server has the address.
    Misdirected,
    /// May have run. `silent` if a connection used before gave no byte.
    Unknown {
        /// Whether the connection rather than the server is to blame.
        silent: bool,
    },
    /// The caller's own body ended early.
    BodyCut,
}

/// All that an exchange needs.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) path: Arc<Proxy>,
    pub(crate) plan: Arc<RequestPlan>,
    pub(crate) head: Arc<RequestHead>,
    pub(crate) body: RequestBody,
    pub(crate) trace: Trace,
    /// Set once the caller is known to have left.
    pub(crate) caller_left: Arc<AtomicBool>,
}

/// Runs the request at the permit's server, over an idle connection if there is one and it may be reused.
pub(crate) async fn exchange(job: &Job, permit: &Arc<Permit>, may_reuse: bool) -> End {
    let address = permit.grant().address;
    let idle = may_reuse
        .then(|| job.path.connections.take_idle(address))
        .flatten();
    let connection = match idle {
        Some(connection) => {
            permit.set_reused();
            connection
        }
        None => match connect(address).await {
            Ok(connection) => connection,
            Err(_) => {
                permit.settle(Finding::new(AttemptOutcome::Unreachable));
                return End::Refused;
            }
        },
    };
    let Some(body) = payload(&job.body) else {
        // Another attempt took the body, so this one wrote nothing.
        permit.clear();
        return End::Refused;
    };
    send(job, permit, connection, body).await
}

fn payload(body: &RequestBody) -> Option<BoxedBody> {
    match body {
        RequestBody::Buffered(bytes) => Some(whole(bytes.clone())),
        RequestBody::Streamed(once) => once.take(),
    }
}

async fn send(job: &Job, permit: &Arc<Permit>, mut connection: Connection, body: BoxedBody) -> End {
    let started = Instant::now();
    let request = request(job, permit, body);
    let answer = match connection.sender.send_request(request).await {
        Ok(answer) => answer,
        Err(_) => return no_answer(job, permit, connection.reused),
    };
    let first_byte_us = started.elapsed().as_micros() as u64;
    let conventions = &job.path.conventions;
    let draining = conventions
        .draining
        .as_ref()
        .is_some_and(|name| answer.headers().get(name).is_some_and(|v| v == "true"));
    let finding = |outcome| Finding {
        outcome,
        first_byte_us,
        response_us: 0,
        draining,
    };
    if conventions.target_server.is_some() && answer.status() == StatusCode::MISDIRECTED_REQUEST {
        permit.settle(finding(AttemptOutcome::Misdirected));
        return End::Misdirected;
    }
    if answer.headers().contains_key(&conventions.not_run) {
        permit.settle(finding(AttemptOutcome::Shed));
        return End::Shed;
    }
    // Only the mark proves that the request was not run, so such a status without it must not reach the caller.
    let false_promise =
        conventions.status_implies_not_run && queries::implies_not_run(answer.status());
    if false_promise
        || !queries::is_matching_response(&answer, conventions, &job.plan.request_id)
        || !queries::has_reliable_framing(&answer, conventions, &job.head.method)
    {
        permit.settle(Finding::new(AttemptOutcome::Failed));
        return End::Unknown { silent: false };
    }
    let finding = finding(evidence_of(answer.status()));
    receive(job, permit, connection, answer, finding, started).await
}

fn request(job: &Job, permit: &Permit, body: BoxedBody) -> Request<BoxedBody> {
    let authority = permit.grant().address.to_string();
    let path = job
        .head
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut request = Request::new(body);
    *request.method_mut() = job.head.method.clone();
    // The path came in as a valid URI.
    *request.uri_mut() = path.parse::<Uri>().unwrap_or_default();
    *request.headers_mut() = queries::upstream_headers(
        &job.head,
        &job.plan,
        &job.path.conventions,
        permit.grant(),
        &authority,
    );
    request
}

fn no_answer(job: &Job, permit: &Permit, reused: bool) -> End {
    if let RequestBody::Streamed(once) = &job.body {
        if once.caller_aborted.load(Ordering::SeqCst) {
            permit.settle(Finding::new(AttemptOutcome::Inconclusive));
            return End::BodyCut;
        }
    }
    if reused {
        return End::Unknown { silent: true };
    }
    permit.settle(Finding::new(AttemptOutcome::Failed));
    End::Unknown { silent: false }
}

async fn receive(
    job: &Job,
    permit: &Arc<Permit>,
    connection: Connection,
    answer: Response<Incoming>,
    finding: Finding,
    started: Instant,
) -> End {
    let (head, body) = answer.into_parts();
    let short = body
        .size_hint()
        .exact()
        .is_some_and(|bytes| bytes <= job.plan.hold_bytes);
    let mut passing = Passing {
        job: job.clone(),
        permit: Arc::clone(permit),
        connection: Some(connection),
        body,
        finding,
        started,
    };
    let headers = queries::without_hop_by_hop_headers(&head.headers);
    let mut held = BytesMut::new();
    loop {
        match passing.next().await {
            Ok(Some(data)) => held.extend_from_slice(&data),
            Ok(None) => {
                return End::Whole(StoredResponse {
                    status: head.status,
                    headers,
                    body: held.freeze(),
                })
            }
            Err(_) => return End::Unknown { silent: false },
        }
        if !short && held.len() as u64 > job.plan.hold_bytes {
            let mut response = Response::new(passing.into_body(held.freeze()));
            *response.status_mut() = head.status;
            *response.headers_mut() = headers;
            return End::Streamed(Box::new(response));
        }
    }
}

/// An answer's body on its way, which settles the permit when it ends.
struct Passing {
    job: Job,
    permit: Arc<Permit>,
    connection: Option<Connection>,
    body: Incoming,
    finding: Finding,
    started: Instant,
}

impl Passing {
    /// Reads the next data; at the whole end puts the connection back, on an error closes it.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    self.connection = None;
                    self.permit.settle(Finding::new(AttemptOutcome::Failed));
                    return Err(io::Error::other(error));
                }
                None => {
                    self.finish();
                    return Ok(None);
                }
            }
        }
    }

    fn finish(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        self.finding.response_us = self.started.elapsed().as_micros() as u64;
        self.permit.settle(self.finding);
        let path = Arc::clone(&self.job.path);
        let address = self.permit.grant().address;
        tokio::spawn(async move { path.connections.put_back(address, connection).await });
    }

    fn into_body(self, held: Bytes) -> BoxedBody {
        let frames = stream::try_unfold((self, Some(held)), |(mut passing, held)| async move {
            let data = match held {
                Some(held) => Some(held),
                None => passing.next().await?,
            };
            Ok(data.map(|data| (Frame::data(data), (passing, None))))
        });
        StreamBody::new(frames).boxed_unsync()
    }
}

/// A server's own error or missed deadline, and a refusal without the mark that it was not run, speak against it.
fn evidence_of(status: StatusCode) -> AttemptOutcome {
    match status {
        StatusCode::GATEWAY_TIMEOUT => AttemptOutcome::Overdue,
        status if status.is_server_error() => AttemptOutcome::Failed,
        _ => AttemptOutcome::Completed,
    }
}
