//! Answers on their way to a caller.

use {
    bytes::Bytes,
    http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full},
    hyper::{
        header::{HeaderName, HeaderValue, CONTENT_TYPE, RETRY_AFTER},
        HeaderMap, Response, StatusCode,
    },
    std::{convert::Infallible, io},
    types::ResultCode,
    wire::{generated::ResultBody, to_json},
};

/// Body towards a caller or a backend server; an error aborts the connection.
pub type BoxedBody = UnsyncBoxBody<Bytes, io::Error>;

/// Header that says whether the request ran.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("catkinhitch-outcome");
/// Header that carries the result code.
const CODE_HEADER: HeaderName = HeaderName::from_static("catkinhitch-code");

/// Time after which a caller may try again when servers refused its request, in milliseconds: another try costs no
/// retry of the fleet's, and slots come free within a fraction of a service time.
const RETRY_SOON_MS: u64 = 150;
/// Time after which a caller may try again when there is nothing to serve it with, in milliseconds: about the time
/// in which an instance learns of a configuration or of a server.
const RETRY_LATER_MS: u64 = 500;

/// A whole answer that can be given more than once.
#[derive(Clone, Debug)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without those of one hop.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ForwardedResponse {
    /// Held until whole.
    Buffered(StoredResponse),
    /// Passed on as it comes; ends in an error if it is cut.
    Streamed(Box<Response<BoxedBody>>),
}

/// What the request path ends with.
#[derive(Debug)]
pub enum CallerResponse {
    /// A backend server's answer.
    Forwarded(ForwardedResponse),
    /// An answer of catkinhitch's own, with the time after which the caller may try again, in milliseconds.
    Generated(ResultCode, Option<u64>),
}

impl CallerResponse {
    /// Makes an answer of catkinhitch's own without a time for another try.
    pub fn generated(code: ResultCode) -> Self {
        Self::Generated(code, None)
    }

    /// Returns the HTTP status that the caller gets.
    pub fn status(&self) -> u16 {
        match self {
            Self::Forwarded(ForwardedResponse::Buffered(stored)) => stored.status.as_u16(),
            Self::Forwarded(ForwardedResponse::Streamed(response)) => response.status().as_u16(),
            Self::Generated(code, _) => code.http_status(),
        }
    }

    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Forwarded(_) => ResultCode::Answered,
            Self::Generated(code, _) => *code,
        }
    }

    /// Turns the answer into a response with the outcome headers.
    pub fn into_response(self) -> Response<BoxedBody> {
        match self {
            Self::Forwarded(ForwardedResponse::Buffered(stored)) => {
                let mut response = Response::new(whole(stored.body));
                *response.status_mut() = stored.status;
                *response.headers_mut() = stored.headers;
                mark(response, ResultCode::Answered)
            }
            Self::Forwarded(ForwardedResponse::Streamed(response)) => {
                mark(*response, ResultCode::Answered)
            }
            Self::Generated(code, retry_after_ms) => generated_response(code, retry_after_ms),
        }
    }
}

/// Makes a body that is there whole.
pub(crate) fn whole(body: Bytes) -> BoxedBody {
    Full::new(body)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

fn generated_response(code: ResultCode, retry_after_ms: Option<u64>) -> Response<BoxedBody> {
    let text = ResultBody {
        code: code.number().into(),
        outcome: code.execution_status().as_str().to_owned(),
        text: code.message().to_owned(),
    };
    let mut response = Response::new(whole(Bytes::from(to_json(&text))));
    *response.status_mut() = StatusCode::from_u16(code.http_status()).unwrap_or_default();
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    if code.http_status() == 503 {
        let after_ms = retry_after_ms.unwrap_or_else(|| default_retry_ms(code));
        let after = HeaderValue::from_str(&seconds_text(after_ms));
        if let Ok(after) = after {
            response.headers_mut().insert(RETRY_AFTER, after);
        }
    }
    mark(response, code)
}

/// Spread by a half, so that callers who were refused together do not come back together.
fn default_retry_ms(code: ResultCode) -> u64 {
    let least_ms = match code {
        ResultCode::Overloaded | ResultCode::RetryBudgetSpent | ResultCode::DeadlineNotRun => {
            RETRY_SOON_MS
        }
        _ => RETRY_LATER_MS,
    };
    least_ms + fastrand::u64(0..=least_ms / 2)
}

/// Writes a time in seconds, with a fraction only if there is one.
fn seconds_text(ms: u64) -> String {
    if ms.is_multiple_of(1_000) {
        (ms / 1_000).to_string()
    } else {
        format!("{}.{:03}", ms / 1_000, ms % 1_000)
    }
}

fn mark(mut response: Response<BoxedBody>, code: ResultCode) -> Response<BoxedBody> {
    let headers = response.headers_mut();
    let outcome = HeaderValue::from_static(code.execution_status().as_str());
    headers.insert(OUTCOME_HEADER, outcome);
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
    response
}
