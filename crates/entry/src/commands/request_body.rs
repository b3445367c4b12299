//! Reads request bodies: short ones are buffered so that retries can send them again, long ones are streamed.
//!
//! Invariant: what a body uses is held in the memory budget before it is received.

use {
    crate::{
        memory_budget::Hold, request::MAX_BUFFERED_BODY_BYTES, BoxedBody, BufferedBody,
        CallerConnection, MeasuredBody, Proxy, RequestBody, RequestPlan, StreamedBody,
    },
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
        time::{Duration, Instant},
    },
    tokio::time::{sleep_until, timeout_at},
    types::ResultCode,
};

/// Time without data after which a caller's body counts as aborted, in milliseconds.
const BODY_IDLE_TIMEOUT_MS: u64 = 10_000;
/// Size of the parts of a buffered body, in bytes. Short chunks are joined to parts, so that each byte takes about one byte.
const PART_BYTES: usize = 16 * 1024;
/// What a streamed upload holds on its way, in bytes: the buffers of the connection to the server, here and in the kernel.
const STREAMED_BYTES: u64 = 192 * 1024;
/// Time between two checks of whether an upload that waits for its caller keeps a slot from others, in milliseconds.
const SLOT_CHECK_MS: u64 = 250;

/// A request's body with what is needed to read it.
pub(crate) struct BodySource<'a> {
    pub(crate) body: BoxedBody,
    /// Length of the body if the caller sent one, in bytes.
    pub(crate) content_length_bytes: Option<u64>,
    pub(crate) connection: &'a Arc<CallerConnection>,
}

/// Buffers or streams a body, depending on its length.
///
/// # Errors
///
/// The body is aborted or too large while it is buffered, or there is no room for it; nothing was sent to a backend server.
pub(crate) async fn read_request_body(
    proxy: &Arc<Proxy>,
    plan: &RequestPlan,
    source: BodySource<'_>,
) -> Result<RequestBody, ResultCode> {
    let body = MeasuredBody::of_request(source.body, source.connection).boxed_unsync();
    let upload = Upload {
        body,
        connection: Arc::clone(source.connection),
        parts: Vec::new(),
        hold: None,
        received_bytes: 0,
        slot_watch: None,
    };
    match source.content_length_bytes {
        Some(0) => Ok(RequestBody::Buffered(BufferedBody {
            parts: Vec::new(),
            _hold: None,
        })),
        Some(bytes) if bytes > MAX_BUFFERED_BODY_BYTES => stream_body(proxy, plan, upload).await,
        _ => buffer_body(proxy, plan, upload).await,
    }
}

/// A body that is being received.
struct Upload {
    body: BoxedBody,
    connection: Arc<CallerConnection>,
    /// Received and not yet passed on.
    parts: Vec<Bytes>,
    hold: Option<Hold>,
    received_bytes: u64,
    /// Set once the upload may hold a slot.
    slot_watch: Option<SlotWatch>,
}

/// Tells whether other requests wait for the slot that an upload holds.
struct SlotWatch {
    proxy: Arc<Proxy>,
    service: String,
}

impl Upload {
    /// Holds at least `bytes` bytes in all.
    async fn hold(&mut self, bytes: u64) -> Result<(), ResultCode> {
        let has_room = match &mut self.hold {
            Some(hold) => hold.grow_to(bytes).await,
            none => {
                *none = self.connection.hold(bytes).await;
                none.is_some()
            }
        };
        has_room.then_some(()).ok_or(ResultCode::NoRoom)
    }

    /// Reads the next data frame; fails with `TimedOut` if the caller sends nothing, and with `QuotaExceeded` if the
    /// connection is evicted.
    async fn next_data(&mut self) -> io::Result<Option<Bytes>> {
        let idle_at = Instant::now() + Duration::from_millis(BODY_IDLE_TIMEOUT_MS);
        loop {
            let check_at = Instant::now() + Duration::from_millis(SLOT_CHECK_MS);
            let frame = tokio::select! {
                biased;
                frame = timeout_at(idle_at.into(), self.body.frame()) => frame?,
                () = self.connection.must_stop_receiving() => {
                    return Err(io::ErrorKind::QuotaExceeded.into());
                }
                () = sleep_until(check_at.into()), if self.slot_watch.is_some() => {
                    self.check_slot();
                    continue;
                }
            };
            let Some(frame) = frame.transpose()? else {
                return Ok(None);
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Stops the upload if it stalls while other requests of its service wait for slots.
    fn check_slot(&self) {
        let watch = self.slot_watch.as_ref();
        if watch.is_some_and(|watch| watch.proxy.slot_shortage.is_short(&watch.service)) {
            self.connection.evict_if_slow();
        }
    }
}

/// Buffers a body. If a body without a length exceeds the buffer, the buffered part and the rest are streamed.
async fn buffer_body(
    proxy: &Arc<Proxy>,
    plan: &RequestPlan,
    mut upload: Upload,
) -> Result<RequestBody, ResultCode> {
    let mut part = BytesMut::new();
    loop {
        let data = upload.next_data().await;
        let data = data.map_err(|error| match error.kind() {
            io::ErrorKind::QuotaExceeded => ResultCode::NoRoom,
            _ => ResultCode::BadRequest,
        })?;
        let Some(mut data) = data else {
            break;
        };
        upload.received_bytes += data.len() as u64;
        if upload.received_bytes > plan.max_body_bytes {
            return Err(ResultCode::BodyTooLarge);
        }
        while !data.is_empty() {
            if part.capacity() == part.len() {
                upload.parts.extend(full_part(&mut part));
                let parts = upload.parts.len() as u64 + 1;
                upload.hold(parts * PART_BYTES as u64).await?;
                part = BytesMut::with_capacity(PART_BYTES);
            }
            let fitting_bytes = data.len().min(part.capacity() - part.len());
            part.extend_from_slice(&data.split_to(fitting_bytes));
        }
        if upload.received_bytes > MAX_BUFFERED_BODY_BYTES {
            upload.parts.extend(full_part(&mut part));
            return stream_body(proxy, plan, upload).await;
        }
    }
    upload.parts.extend(full_part(&mut part));
    Ok(RequestBody::Buffered(BufferedBody {
        parts: upload.parts,
        _hold: upload.hold.map(Arc::new),
    }))
}

fn full_part(part: &mut BytesMut) -> Option<Bytes> {
    (!part.is_empty()).then(|| std::mem::take(part).freeze())
}

/// Streams what was received and then the rest; the stream fails if the caller sends nothing for too long or more than
/// the service allows in total, or if the connection is evicted.
async fn stream_body(
    proxy: &Arc<Proxy>,
    plan: &RequestPlan,
    mut upload: Upload,
) -> Result<RequestBody, ResultCode> {
    upload.hold(STREAMED_BYTES).await?;
    upload.slot_watch = Some(SlotWatch {
        proxy: Arc::clone(proxy),
        service: plan.service.clone(),
    });
    let max_bytes = plan.max_body_bytes;
    let caller_aborted = Arc::new(AtomicBool::new(false));
    let aborted = Arc::clone(&caller_aborted);
    // Removed from the end.
    upload.parts.reverse();
    let frames = stream::try_unfold(upload, move |mut upload| async move {
        let data = match upload.parts.pop() {
            Some(part) => part,
            None => match upload.next_data().await? {
                Some(data) => {
                    upload.received_bytes += data.len() as u64;
                    data
                }
                None => return Ok(None),
            },
        };
        if upload.received_bytes > max_bytes {
            return Err(io::Error::from(io::ErrorKind::FileTooLarge));
        }
        Ok(Some((Frame::data(data), upload)))
    });
    let frames = frames.inspect_err(move |_: &io::Error| aborted.store(true, Ordering::SeqCst));
    Ok(RequestBody::Streamed(StreamedBody {
        body: Arc::new(Mutex::new(Some(StreamBody::new(frames).boxed_unsync()))),
        caller_aborted,
    }))
}
