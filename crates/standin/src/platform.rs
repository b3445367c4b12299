//! Simulated platform service: the append-only log and the member list, which may lag.
//!
//! Protocol: `POST /streams/NAME` appends, `GET /streams/NAME?from=N&wait_ms=M` reads (410 below the first retained
//! offset), `GET /members?known=N` returns the member list (304 if N is still its version), `PUT /members` publishes a
//! list, and `PUT /knobs` replaces the knobs. Each response states the log's era in the header `Catkinhitch-Store-Era`, which
//! increases each time the log returns to an earlier copy.

use {
    crate::{
        log_store::LogStore,
        server::{full_response, serve, unix_time_ms, AbortOnDrop, HttpResponse, SharedState},
    },
    config::{queries::document_digest, AcceptedConfig, ConfigEvent},
    http_body_util::BodyExt,
    hyper::{body::Incoming, header::HeaderValue, Method, Request},
    member::{BackendServer, Instance},
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
    wire::{
        convert, from_json,
        generated::{AppendResponse, DocumentJson, LogRecord, MemberList, ReadResponse},
        to_json,
    },
};

/// Maximum number of records in one read response.
const MAX_RECORDS_PER_READ: usize = 1_000;
/// Header in which the platform states the log's era.
const ERA_HEADER: &str = "catkinhitch-store-era";
/// Era before the first return to a copy.
const FIRST_ERA: u64 = 1;

/// Behaviour of the simulated platform, adjustable at run time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformKnobs {
    /// Whether every log request gets a 503.
    pub away: bool,
    /// Whether every member list request gets a 503.
    pub list_away: bool,
    /// Latency added to every log and member list request, in milliseconds.
    pub slow_ms: u64,
    /// Share of appends whose response is lost after they took effect, in percent.
    #[serde(rename = "lose_answers_percent")]
    pub lose_responses_percent: u32,
    /// Appends accepted per second; more get a 503.
    pub appends_per_s: u32,
    /// Time for which records are retained, in milliseconds.
    pub retention_ms: u64,
    /// Time from the publication of a member list until requests see it, in milliseconds.
    pub list_lag_ms: u64,
}

impl Default for PlatformKnobs {
    fn default() -> Self {
        Self {
            away: false,
            list_away: false,
            slow_ms: 0,
            lose_responses_percent: 0,
            appends_per_s: 400,
            retention_ms: 3_600_000,
            list_lag_ms: 0,
        }
    }
}

/// A copy of the log, to which the platform can return.
#[derive(Clone, Debug)]
pub struct LogCopy {
    log: LogStore,
}

#[derive(Debug, Default)]
struct State {
    knobs: PlatformKnobs,
    log: LogStore,
    /// Published member lists with their publication times, oldest first.
    member_lists: VecDeque<(u64, MemberList)>,
    list_version: u64,
    /// Times of the appends of the last second, for the rate limit.
    recent_append_times: VecDeque<u64>,
    refused_count: u64,
    appended_count: u64,
    /// Number of returns to a copy.
    rollbacks: u64,
}

/// A running simulated platform; dropping it stops the listener.
#[derive(Debug)]
pub struct Platform {
    /// Listening address.
    pub address: SocketAddr,
    shared: Arc<SharedState<State>>,
    _server_task: AbortOnDrop,
}

impl Platform {
    /// Starts the platform on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn new(address: SocketAddr) -> io::Result<Self> {
        let shared = SharedState::new(State::default());
        let handler_state = Arc::clone(&shared);
        let handler = move |request| handle_request(Arc::clone(&handler_state), request);
        let (address, task) = serve(address, handler).await?;
        Ok(Self {
            address,
            shared,
            _server_task: AbortOnDrop(task),
        })
    }

    /// Changes the knobs.
    pub fn update_knobs<Update>(&self, update: Update)
    where
        Update: FnOnce(&mut PlatformKnobs),
    {
        update(&mut self.shared.lock().knobs);
    }

    /// Publishes a member list under the next version; requests see it after `list_lag_ms`.
    pub fn publish_members(&self, instances: &[Instance], servers: &[BackendServer]) {
        push_member_list(
            &self.shared,
            convert::encode_member_list(0, instances, servers),
        );
    }

    /// Appends a snapshot event with `document` as the accepted configuration, version 1.
    pub fn append_accepted_config(&self, document: &DocumentJson) {
        let document = convert::decode_document(document);
        let snapshot = ConfigEvent::Snapshot(AcceptedConfig {
            version: 1,
            digest: document_digest(&document),
            through_offset: 0,
            document,
        });
        self.append(
            "config",
            &to_json(&convert::encode_config_event(&snapshot, 1)),
        );
    }

    /// Copies the log.
    pub fn copy(&self) -> LogCopy {
        let log = self.shared.lock().log.clone();
        LogCopy { log }
    }

    /// Returns to a copy of the log, in the next era. Requests that are underway get no response.
    pub fn roll_back(&self, copy: LogCopy) {
        let mut state = self.shared.lock();
        state.log = copy.log;
        state.rollbacks += 1;
        drop(state);
        self.shared.notify_changed();
    }

    /// Drops all records of `stream`.
    pub fn trim_stream(&self, stream: &str) {
        if let Some(stream) = self.shared.lock().log.streams.get_mut(stream) {
            stream.trim(u64::MAX);
        }
    }

    /// Appends a record without a request, as an operator's tool would, and returns its offset.
    pub fn append(&self, stream: &str, body: &str) -> u64 {
        let offset = self
            .shared
            .lock()
            .log
            .append(stream, body.to_owned(), unix_time_ms());
        self.shared.notify_changed();
        offset
    }

    /// Returns the retained records of `stream` with their offsets.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        let state = self.shared.lock();
        state
            .log
            .streams
            .get(stream)
            .map_or_else(Vec::new, |stream| {
                (stream.first_offset..)
                    .zip(&stream.records)
                    .map(|(offset, record)| LogRecord {
                        offset,
                        at_ms: record.appended_at_ms,
                        body: record.body.clone(),
                    })
                    .collect()
            })
    }

    /// Returns the numbers of accepted appends and of appends refused by the rate limit.
    pub fn append_counts(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.appended_count, state.refused_count)
    }
}

fn push_member_list(shared: &SharedState<State>, mut members: MemberList) {
    let mut state = shared.lock();
    state.list_version += 1;
    members.version = state.list_version;
    state.member_lists.push_back((unix_time_ms(), members));
}

/// Handles a request, and states the log's era. A request during which the log returns to a copy gets no response.
async fn handle_request(
    shared: Arc<SharedState<State>>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    let rollbacks = shared.lock().rollbacks;
    let mut response = answer_request(Arc::clone(&shared), request).await?;
    if shared.lock().rollbacks != rollbacks {
        return None;
    }
    let era = HeaderValue::from(FIRST_ERA + rollbacks);
    response.headers_mut().insert(ERA_HEADER, era);
    Some(response)
}

async fn answer_request(
    shared: Arc<SharedState<State>>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::PUT {
        return Some(handle_put(&shared, &path, request).await);
    }
    let knobs = shared.lock().knobs.clone();
    let is_list = path == "/members";
    if if is_list { knobs.list_away } else { knobs.away } {
        return Some(full_response(503, "away"));
    }
    sleep(Duration::from_millis(knobs.slow_ms)).await;
    if is_list {
        let known_version = number_parameter(request.uri().query().unwrap_or_default(), "known=");
        let list = current_members(&shared, knobs.list_lag_ms);
        return Some(if known_version == list.version {
            full_response(304, "")
        } else {
            full_response(200, to_json(&list))
        });
    }
    let stream = path.strip_prefix("/streams/")?.to_owned();
    if request.method() == Method::POST {
        return handle_append(&shared, &stream, request).await;
    }
    let query = request.uri().query().unwrap_or_default();
    let (from, wait_ms) = (
        number_parameter(query, "from="),
        number_parameter(query, "wait_ms="),
    );
    Some(handle_read(&shared, &stream, from, wait_ms).await)
}

async fn handle_put(
    shared: &SharedState<State>,
    path: &str,
    request: Request<Incoming>,
) -> HttpResponse {
    let Ok(body) = request.into_body().collect().await else {
        return full_response(400, "body cut");
    };
    let text = body.to_bytes();
    match path {
        "/members" => match from_json::<MemberList>("member list", &text) {
            Ok(members) => {
                push_member_list(shared, members);
                full_response(200, "ok")
            }
            Err(error) => full_response(400, error.to_string()),
        },
        "/knobs" => match from_json::<PlatformKnobs>("knobs", &text) {
            Ok(knobs) => {
                shared.lock().knobs = knobs;
                full_response(200, "ok")
            }
            Err(error) => full_response(400, error.to_string()),
        },
        _ => full_response(404, "no such control"),
    }
}

/// Returns the newest list that is at least `lag_ms` old, or else the oldest kept one, and drops the lists before it.
fn current_members(shared: &SharedState<State>, lag_ms: u64) -> MemberList {
    let mut state = shared.lock();
    let visible_before_ms = unix_time_ms().saturating_sub(lag_ms);
    while state.member_lists.len() > 1 && state.member_lists[1].0 <= visible_before_ms {
        state.member_lists.pop_front();
    }
    match state.member_lists.front() {
        Some((_, list)) => list.clone(),
        None => MemberList {
            version: 0,
            instances: Vec::new(),
            servers: Vec::new(),
        },
    }
}

async fn handle_append(
    shared: &SharedState<State>,
    stream: &str,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let body = String::from_utf8(body.to_vec()).ok()?;
    let (offset, is_response_lost) = {
        let mut state = shared.lock();
        let now_ms = unix_time_ms();
        while state
            .recent_append_times
            .front()
            .is_some_and(|at_ms| at_ms + 1_000 <= now_ms)
        {
            state.recent_append_times.pop_front();
        }
        if state.recent_append_times.len() >= state.knobs.appends_per_s as usize {
            state.refused_count += 1;
            return Some(full_response(503, "too many appends"));
        }
        state.recent_append_times.push_back(now_ms);
        state.appended_count += 1;
        let is_response_lost = fastrand::u32(0..100) < state.knobs.lose_responses_percent;
        let retention_ms = state.knobs.retention_ms;
        state.log.trim(now_ms.saturating_sub(retention_ms));
        (state.log.append(stream, body, now_ms), is_response_lost)
    };
    shared.notify_changed();
    // A lost response closes the connection after the append took effect.
    (!is_response_lost).then(|| full_response(200, to_json(&AppendResponse { offset })))
}

async fn handle_read(
    shared: &SharedState<State>,
    stream: &str,
    from: u64,
    wait_ms: u64,
) -> HttpResponse {
    let mut changes = shared.changed.subscribe();
    let read_deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let (status, response) = read_records(shared, stream, from);
        if status != 200
            || !response.records.is_empty()
            || tokio::time::Instant::now() >= read_deadline
        {
            return full_response(status, to_json(&response));
        }
        // The stream is read again after a change, and once more after the timeout, when the response may be empty.
        let _ = tokio::time::timeout_at(read_deadline, changes.changed()).await;
    }
}

/// Reads the records from offset `from`, with status 410 if it was trimmed or lies behind the end.
fn read_records(shared: &SharedState<State>, stream: &str, from: u64) -> (u16, ReadResponse) {
    let mut state = shared.lock();
    let now_ms = unix_time_ms();
    let retention_ms = state.knobs.retention_ms;
    let stream = state.log.streams.entry(stream.to_owned()).or_default();
    stream.trim(now_ms.saturating_sub(retention_ms));
    let skip_count = from.saturating_sub(stream.first_offset) as usize;
    let records: Vec<LogRecord> = (from..)
        .zip(
            stream
                .records
                .iter()
                .skip(skip_count)
                .take(MAX_RECORDS_PER_READ),
        )
        .map(|(offset, record)| LogRecord {
            offset,
            at_ms: record.appended_at_ms,
            body: record.body.clone(),
        })
        .collect();
    let is_trimmed = from < stream.first_offset || from > stream.next_offset();
    let response = ReadResponse {
        first_offset: stream.first_offset,
        first_at_ms: stream
            .records
            .front()
            .map_or(now_ms, |record| record.appended_at_ms),
        next_offset: stream.next_offset(),
        now_ms,
        records: if is_trimmed { Vec::new() } else { records },
    };
    (if is_trimmed { 410 } else { 200 }, response)
}

fn number_parameter(query: &str, name: &str) -> u64 {
    query
        .split('&')
        .find_map(|part| part.strip_prefix(name))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
