//! Takes in a request's body: short ones are held so that they can be sent again, long ones are streamed.

use {
    crate::{request::MAX_BUFFERED_BODY_BYTES, BoxedBody, RequestBody, RequestPlan, StreamedBody},
    bytes::{Bytes, BytesMut},
    futures_util::{stream, TryStreamExt},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    std::{
        io,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        time::Duration,
    },
    tokio::time::timeout,
    types::ResultCode,
};

/// Time without a byte after which a caller's body counts as cut, in milliseconds.
const SILENT_CALLER_MS: u64 = 10_000;

/// Takes in `body`, whose length is `content_length_bytes` if the caller gave it.
///
/// # Errors
///
/// A held body that is cut or too large; nothing was sent to any backend server.
pub(crate) async fn take_in(
    plan: &RequestPlan,
    body: BoxedBody,
    content_length_bytes: Option<u64>,
) -> Result<RequestBody, ResultCode> {
    match content_length_bytes {
        Some(0) => Ok(RequestBody::Buffered(Bytes::new())),
        Some(bytes) if bytes > MAX_BUFFERED_BODY_BYTES => Ok(RequestBody::Streamed(watched(
            body,
            Bytes::new(),
            plan.max_body_bytes,
        ))),
        _ => hold(plan, body).await,
    }
}

/// Holds a body; one without a length that turns out long is streamed, what was read of it first.
async fn hold(plan: &RequestPlan, mut body: BoxedBody) -> Result<RequestBody, ResultCode> {
    let mut held = BytesMut::new();
    while let Some(data) = next_data(&mut body)
        .await
        .map_err(|_| ResultCode::BadRequest)?
    {
        held.extend_from_slice(&data);
        if held.len() as u64 > plan.max_body_bytes {
            return Err(ResultCode::BodyTooLarge);
        }
        if held.len() as u64 > MAX_BUFFERED_BODY_BYTES {
            let body = watched(body, held.freeze(), plan.max_body_bytes);
            return Ok(RequestBody::Streamed(body));
        }
    }
    Ok(RequestBody::Buffered(held.freeze()))
}

/// Reads the next data frame; a silent caller is an error.
async fn next_data(body: &mut BoxedBody) -> io::Result<Option<Bytes>> {
    let silent = Duration::from_millis(SILENT_CALLER_MS);
    loop {
        let frame = match timeout(silent, body.frame()).await {
            Ok(Some(frame)) => frame?,
            Ok(None) => return Ok(None),
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Streams `first` and then a body, which ends in an error when it is silent or larger than `max_bytes`.
fn watched(body: BoxedBody, first: Bytes, max_bytes: u64) -> StreamedBody {
    let caller_aborted = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&caller_aborted);
    let first = Some(first).filter(|first| !first.is_empty());
    let start = (body, first, 0_u64);
    let frames = stream::try_unfold(start, move |(mut body, first, seen_bytes)| async move {
        let data = match first {
            Some(first) => first,
            None => match next_data(&mut body).await? {
                Some(data) => data,
                None => return Ok(None),
            },
        };
        let seen_bytes = seen_bytes + data.len() as u64;
        if seen_bytes > max_bytes {
            return Err(io::Error::from(io::ErrorKind::FileTooLarge));
        }
        Ok(Some((Frame::data(data), (body, None, seen_bytes))))
    });
    let frames = frames.inspect_err(move |_: &io::Error| flag.store(true, Ordering::SeqCst));
    StreamedBody {
        body: Arc::new(Mutex::new(Some(StreamBody::new(frames).boxed_unsync()))),
        caller_aborted,
    }
}
