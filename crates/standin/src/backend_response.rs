//! Responses of a simulated backend server.

use {
    crate::{
        server::{full_response, BoxedBody, HttpResponse},
        GrayFault,
    },
    bytes::Bytes,
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        body::{Frame, Incoming},
        header::HeaderValue,
        Request, Response,
    },
    std::io,
};

/// Size of a chunk of a truncated response, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Request headers and measurements from which the response is built.
#[derive(Debug)]
pub(crate) struct WorkRequest {
    /// Id by which executions are counted: `x-bench-id`, else `request-id`.
    pub(crate) id: String,
    /// The proxy's request id, echoed in the response.
    pub(crate) request_id: Option<HeaderValue>,
    /// Requested size of the response body, in bytes; 0 for the shortest body.
    pub(crate) response_bytes: usize,
    /// Size of the request's body, in bytes.
    pub(crate) received_bytes: usize,
    /// Service time, in microseconds.
    pub(crate) service_us: u64,
}

impl WorkRequest {
    pub(crate) fn new(request: &Request<Incoming>) -> Self {
        let header = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
        };
        let id = header("x-bench-id");
        Self {
            id: if id.is_empty() {
                header("request-id")
            } else {
                id
            }
            .to_owned(),
            request_id: request.headers().get("x-request-id").cloned(),
            response_bytes: header("x-answer-bytes").parse().unwrap_or(0),
            received_bytes: 0,
            service_us: 0,
        }
    }
}

/// Builds the response for a gray failure.
pub(crate) fn build_response(work: &WorkRequest, server: &str, gray: GrayFault) -> HttpResponse {
    let text = body_text(work, server, &work.id);
    let mut response = match gray {
        GrayFault::Errors => full_response(500, "failed"),
        GrayFault::Cut => Response::new(half_body(text, true)),
        GrayFault::Unmeasured => response_without_length(text),
        GrayFault::Mixed => full_response(200, body_text(work, server, "someone-else")),
        GrayFault::None | GrayFault::Hang | GrayFault::Slow | GrayFault::Flap => {
            full_response(200, text)
        }
    };
    let headers = response.headers_mut();
    headers.insert("x-service-us", HeaderValue::from(work.service_us));
    if gray == GrayFault::Mixed {
        headers.insert("x-request-id", HeaderValue::from_static("someone-else"));
    } else if let Some(id) = &work.request_id {
        headers.insert("x-request-id", id.clone());
    }
    response
}

/// Builds the body: a line `id server received-bytes`, lines with the id up to the requested size, and a line `end`.
fn body_text(work: &WorkRequest, server: &str, id: &str) -> String {
    let mut text = format!("{id} {server} {}\n", work.received_bytes);
    while text.len() + id.len() + 5 < work.response_bytes {
        text.push_str(id);
        text.push('\n');
    }
    text.push_str("end\n");
    text
}

fn response_without_length(text: String) -> HttpResponse {
    let mut response = Response::new(half_body(text, false));
    // HTTP/1.0 has no chunked encoding, so the body ends where the connection closes, and a receiver can't tell that it
    // was truncated.
    *response.version_mut() = hyper::Version::HTTP_10;
    response
}

/// Streams half of the text in chunks and then either fails, which closes the connection before the response is
/// complete, or ends regularly.
fn half_body(text: String, aborts: bool) -> BoxedBody {
    let full_body = text.into_bytes();
    let half = &full_body[..full_body.len() / 2];
    let mut frames: Vec<Result<Frame<Bytes>, io::Error>> = half
        .chunks(CHUNK_BYTES)
        .map(|chunk| Ok(Frame::data(Bytes::copy_from_slice(chunk))))
        .collect();
    if aborts {
        frames.push(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
    }
    BodyExt::boxed(StreamBody::new(stream::iter(frames)))
}
