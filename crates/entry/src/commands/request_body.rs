//! Reads request bodies: short ones are buffered so that retries can send them again, long ones are streamed.

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

/// Time without data after which a caller's body counts as aborted, in milliseconds.
const BODY_IDLE_TIMEOUT_MS: u64 = 10_000;

/// Buffers or streams `body`, depending on its length; `content_length_bytes` is the length if the caller sent one.
///
/// # Errors
///
/// The body is aborted or too large while it is buffered; nothing was sent to a backend server.
pub(crate) async fn read_request_body(
    plan: &RequestPlan,
    body: BoxedBody,
    content_length_bytes: Option<u64>,
) -> Result<RequestBody, ResultCode> {
    match content_length_bytes {
        Some(0) => Ok(RequestBody::Buffered(Bytes::new())),
        Some(bytes) if bytes > MAX_BUFFERED_BODY_BYTES => Ok(RequestBody::Streamed(stream_body(
            body,
            Bytes::new(),
            plan.max_body_bytes,
        ))),
        _ => buffer_body(plan, body).await,
    }
}

/// Buffers a body. If a body without a length exceeds the buffer, the buffered part and the rest are streamed.
async fn buffer_body(plan: &RequestPlan, mut body: BoxedBody) -> Result<RequestBody, ResultCode> {
    let mut buffer = BytesMut::new();
    while let Some(data) = next_data(&mut body)
        .await
        .map_err(|_| ResultCode::BadRequest)?
    {
        buffer.extend_from_slice(&data);
        if buffer.len() as u64 > plan.max_body_bytes {
            return Err(ResultCode::BodyTooLarge);
        }
        if buffer.len() as u64 > MAX_BUFFERED_BODY_BYTES {
            let body = stream_body(body, buffer.freeze(), plan.max_body_bytes);
            return Ok(RequestBody::Streamed(body));
        }
    }
    Ok(RequestBody::Buffered(buffer.freeze()))
}

/// Reads the next data frame; fails with `TimedOut` if the caller sends nothing.
async fn next_data(body: &mut BoxedBody) -> io::Result<Option<Bytes>> {
    let idle_timeout = Duration::from_millis(BODY_IDLE_TIMEOUT_MS);
    loop {
        let frame = match timeout(idle_timeout, body.frame()).await {
            Ok(Some(frame)) => frame?,
            Ok(None) => return Ok(None),
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Streams `first` and then `body`; the stream fails if the caller sends nothing for too long or more than
/// `max_bytes` in total.
fn stream_body(body: BoxedBody, first: Bytes, max_bytes: u64) -> StreamedBody {
    let caller_aborted = Arc::new(AtomicBool::new(false));
    let aborted = Arc::clone(&caller_aborted);
    let first = Some(first).filter(|first| !first.is_empty());
    let start = (body, first, 0_u64);
    let frames = stream::try_unfold(start, move |(mut body, first, received_bytes)| async move {
        let data = match first {
            Some(first) => first,
            None => match next_data(&mut body).await? {
                Some(data) => data,
                None => return Ok(None),
            },
        };
        let received_bytes = received_bytes + data.len() as u64;
        if received_bytes > max_bytes {
            return Err(io::Error::from(io::ErrorKind::FileTooLarge));
        }
        Ok(Some((Frame::data(data), (body, None, received_bytes))))
    });
    let frames = frames.inspect_err(move |_: &io::Error| aborted.store(true, Ordering::SeqCst));
    StreamedBody {
        body: Arc::new(Mutex::new(Some(StreamBody::new(frames).boxed_unsync()))),
        caller_aborted,
    }
}
