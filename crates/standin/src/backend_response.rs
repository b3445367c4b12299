//! What a stand-in backend server answers to work.

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

/// Size of a chunk of a long answer, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// One piece of work as the stand-in sees it.
#[derive(Debug)]
pub(crate) struct WorkRequest {
    /// Id by which runs are counted.
    pub(crate) id: String,
    /// Request id of the proxy, echoed.
    pub(crate) request_id: Option<HeaderValue>,
    /// Size of the answer, in bytes; 0 for the short answer.
    pub(crate) response_bytes: usize,
    /// Size of the request's body, in bytes.
    pub(crate) received_bytes: usize,
    /// Time spent working, in microseconds.
    pub(crate) service_us: u64,
}

impl WorkRequest {
    pub(crate) fn new(request: &Request<Incoming>) -> Self {
        let text = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
        };
        let id = text("x-bench-id");
        Self {
            id: if id.is_empty() {
                text("request-id")
            } else {
                id
            }
            .to_owned(),
            request_id: request.headers().get("x-request-id").cloned(),
            response_bytes: text("x-answer-bytes").parse().unwrap_or(0),
            received_bytes: 0,
            service_us: 0,
        }
    }
}

/// Makes the answer that the mode asks for.
pub(crate) fn build_response(work: &WorkRequest, server: &str, gray: GrayFault) -> HttpResponse {
    let text = body_text(work, server, &work.id);
    let mut answer = match gray {
        GrayFault::Errors => full_response(500, "failed"),
        GrayFault::Cut => Response::new(cut_body(text, true)),
        GrayFault::Unmeasured => unmeasured(text),
        GrayFault::Mixed => full_response(200, body_text(work, server, "someone-else")),
        GrayFault::None | GrayFault::Hang | GrayFault::Slow | GrayFault::Flap => {
            full_response(200, text)
        }
    };
    let headers = answer.headers_mut();
    headers.insert("x-service-us", HeaderValue::from(work.service_us));
    if gray == GrayFault::Mixed {
        headers.insert("x-request-id", HeaderValue::from_static("someone-else"));
    } else if let Some(id) = &work.request_id {
        headers.insert("x-request-id", id.clone());
    }
    answer
}

/// `id server received-bytes`, filled up to the asked size with a mark of the id, then a last line.
fn body_text(work: &WorkRequest, server: &str, id: &str) -> String {
    let mut text = format!("{id} {server} {}\n", work.received_bytes);
    while text.len() + id.len() + 5 < work.response_bytes {
        text.push_str(id);
        text.push('\n');
    }
    text.push_str("end\n");
    text
}

fn unmeasured(text: String) -> HttpResponse {
    let mut answer = Response::new(cut_body(text, false));
    // HTTP/1.0 has no chunks, so the end of the connection would be the end of the answer.
    *answer.version_mut() = hyper::Version::HTTP_10;
    answer
}

/// Half of the text in chunks; then an error that cuts the connection, or a plain end.
fn cut_body(text: String, error: bool) -> BoxedBody {
    let whole = text.into_bytes();
    let half = &whole[..whole.len() / 2];
    let mut frames: Vec<Result<Frame<Bytes>, io::Error>> = half
        .chunks(CHUNK_BYTES)
        .map(|chunk| Ok(Frame::data(Bytes::copy_from_slice(chunk))))
        .collect();
    if error {
        frames.push(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
    }
    BodyExt::boxed(StreamBody::new(stream::iter(frames)))
}
