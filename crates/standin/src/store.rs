//! In-memory store of the users' platform: keyed topics, long polling reads, and the newest record of each key.
//!
//! Protocol: `POST /log-append?topic=T&part=0` with framed records, `GET /log-read?topic=T&part=0&from=N&wait_ms=M`,
//! `GET /log-newest?topic=T&part=0&after=KEY`. Groups are not implemented, since nothing here joins one. Invariant: the
//! records of an append are in the topic before its response is sent. Without a response they are appended after
//! `lost_append_delay_ms`. Each response states the store's era in the header `Store-Era`. A drill returns the store to an
//! earlier copy of its records, with the next era.

use {
    crate::server::{full_response, serve, AbortOnDrop, HttpResponse, SharedState},
    base64::{prelude::BASE64_STANDARD, Engine},
    bytes::{BufMut, Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{body::Incoming, header::HeaderValue, Method, Request},
    serde_json::json,
    std::{
        collections::{BTreeMap, HashMap},
        io,
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Maximum number of keys on one page of newest records.
const MAX_KEYS_PER_PAGE: usize = 500;
/// Header in which the store states its era.
const ERA_HEADER: &str = "store-era";
/// Era before the first drill.
const FIRST_ERA: u64 = 1;

/// How requests to the store fail.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutageMode {
    /// They succeed.
    #[default]
    None,
    /// They get a 503.
    Refuse,
    /// The connection is closed without a response.
    Close,
    /// They never get a response.
    Hang,
}

/// Behaviour of the store, adjustable at run time.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreKnobs {
    /// Whether and how requests fail.
    pub outage: OutageMode,
    /// Latency added to every request, in milliseconds.
    pub slow_ms: u64,
    /// Share of appends that get no response and take effect late, in percent.
    pub lose_responses_percent: u32,
    /// Delay after which appends without a response take effect, in milliseconds.
    pub lost_append_delay_ms: u64,
}

/// A copy of the store's records, to which it can return.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    topics: HashMap<String, Topic>,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    first_offset: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<String, Bytes>,
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn append(&mut self, record: Bytes) {
        let key_bytes = record.first().map_or(0, |length| usize::from(*length));
        let key = String::from_utf8_lossy(&record[1..=key_bytes]).into_owned();
        let value = record.slice(1 + key_bytes..);
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, value);
        }
        self.records.push(record);
    }
}

#[derive(Debug, Default)]
struct State {
    knobs: StoreKnobs,
    topics: HashMap<String, Topic>,
    request_count: u64,
    /// Number of returns to a copy.
    rollbacks: u64,
    /// Whether responses lack the era.
    hides_era: bool,
}

/// A running in-memory store; dropping it stops the listener.
#[derive(Debug)]
pub struct Store {
    /// Listening address.
    pub address: SocketAddr,
    shared: Arc<SharedState<State>>,
    _server_task: AbortOnDrop,
}

impl Store {
    /// Starts the store on `address`.
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
        Update: FnOnce(&mut StoreKnobs),
    {
        update(&mut self.shared.lock().knobs);
    }

    /// Appends a record without a request, as an operator or a backend server does; without a value it deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value.unwrap_or_default().as_bytes());
        self.put_raw(topic, record.freeze());
    }

    /// Appends an encoded record: key length in one byte, key, value.
    pub fn put_raw(&self, topic: &str, record: Bytes) {
        let mut state = self.shared.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.append(record);
        drop(state);
        self.shared.notify_changed();
    }

    /// Drops a topic's records from the log; the newest value of each key stays readable.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = self.shared.lock().topics.get_mut(topic) {
            topic.first_offset = topic.end_offset();
            topic.records.clear();
        }
    }

    /// Copies all records.
    pub fn copy(&self) -> StoreCopy {
        let topics = self.shared.lock().topics.clone();
        StoreCopy { topics }
    }

    /// Returns to the records of a copy, in the next era, and returns the lost records, each with its topic. Requests that are
    /// underway get no response.
    pub fn roll_back(&self, copy: StoreCopy) -> Vec<(String, Bytes)> {
        let mut state = self.shared.lock();
        let mut lost = Vec::new();
        for (name, topic) in &state.topics {
            let kept = copy.topics.get(name).map_or(0, Topic::end_offset);
            let kept = kept.saturating_sub(topic.first_offset) as usize;
            let records = topic.records.iter().skip(kept);
            lost.extend(records.map(|record| (name.clone(), record.clone())));
        }
        state.topics = copy.topics;
        state.rollbacks += 1;
        drop(state);
        self.shared.notify_changed();
        lost
    }

    /// Sets whether responses lack the era.
    pub fn hide_era(&self, hides_era: bool) {
        self.shared.lock().hides_era = hides_era;
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.shared.lock();
        let value = state.topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> u64 {
        self.shared.lock().request_count
    }
}

/// Handles a request, and states the store's era. A request during which the store returns to a copy gets no response.
async fn handle_request(
    shared: Arc<SharedState<State>>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    let rollbacks = shared.lock().rollbacks;
    let mut response = answer_request(Arc::clone(&shared), request).await?;
    let state = shared.lock();
    if state.rollbacks != rollbacks {
        return None;
    }
    if !state.hides_era {
        let era = HeaderValue::from(FIRST_ERA + rollbacks);
        response.headers_mut().insert(ERA_HEADER, era);
    }
    Some(response)
}

async fn answer_request(
    shared: Arc<SharedState<State>>,
    request: Request<Incoming>,
) -> Option<HttpResponse> {
    let knobs = {
        let mut state = shared.lock();
        state.request_count += 1;
        state.knobs
    };
    match knobs.outage {
        OutageMode::None => sleep(Duration::from_millis(knobs.slow_ms)).await,
        OutageMode::Refuse => return Some(full_response(503, "away")),
        OutageMode::Close => return None,
        OutageMode::Hang => std::future::pending().await,
    }
    let query = parse_query(request.uri().query().unwrap_or_default());
    let topic = query.get("topic").cloned().unwrap_or_default();
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/log-append") => {
            let body = request.into_body().collect().await.ok()?.to_bytes();
            handle_append(&shared, &topic, body, knobs).await
        }
        (&Method::GET, "/log-newest") => Some(newest_page(
            &shared,
            &topic,
            query.get("after").map(String::as_str),
        )),
        (&Method::GET, "/log-read") => Some(handle_read(&shared, &topic, &query).await),
        _ => Some(full_response(404, "no such call")),
    }
}

async fn handle_append(
    shared: &Arc<SharedState<State>>,
    topic: &str,
    body: Bytes,
    knobs: StoreKnobs,
) -> Option<HttpResponse> {
    let Some(records) = decode_frames(&body) else {
        return Some(full_response(400, "records are not framed"));
    };
    let is_response_lost = fastrand::u32(0..100) < knobs.lose_responses_percent;
    let shared = Arc::clone(shared);
    let topic = topic.to_owned();
    let append_records = move || {
        let mut state = shared.lock();
        let topic = state.topics.entry(topic).or_default();
        let offset = topic.end_offset();
        records.into_iter().for_each(|record| topic.append(record));
        let end_offset = topic.end_offset();
        drop(state);
        shared.notify_changed();
        json!({ "offset": offset, "end": end_offset })
    };
    if !is_response_lost {
        return Some(full_response(200, append_records().to_string()));
    }
    // The append takes effect after the delay, and no response is sent.
    tokio::spawn(async move {
        sleep(Duration::from_millis(knobs.lost_append_delay_ms)).await;
        append_records();
    });
    None
}

fn newest_page(shared: &SharedState<State>, topic: &str, after: Option<&str>) -> HttpResponse {
    let mut state = shared.lock();
    let topic = state.topics.entry(topic.to_owned()).or_default();
    let mut rows = topic
        .newest
        .iter()
        .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
    let items: Vec<_> = rows
        .by_ref()
        .take(MAX_KEYS_PER_PAGE)
        .map(|(key, value)| json!({ "key": key, "value": encode_base64(value), "offset": 0 }))
        .collect();
    let has_more = rows.next().is_some();
    let page = json!({ "items": items, "more": has_more, "end": topic.end_offset() });
    full_response(200, page.to_string())
}

async fn handle_read(
    shared: &SharedState<State>,
    topic: &str,
    query: &HashMap<String, String>,
) -> HttpResponse {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
    let from: u64 = number("from").unwrap_or_default();
    let wait_ms = number("wait_ms").unwrap_or_default();
    let mut changes = shared.changed.subscribe();
    let read_deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        if let Some(response) = try_read(shared, topic, from, false) {
            return response;
        }
        if tokio::time::timeout_at(read_deadline, changes.changed())
            .await
            .is_err()
        {
            return try_read(shared, topic, from, true).unwrap_or_else(|| full_response(500, ""));
        }
    }
}

/// Reads the records from offset `from`; `None` if there are none and an empty response is not allowed.
fn try_read(
    shared: &SharedState<State>,
    topic: &str,
    from: u64,
    allow_empty: bool,
) -> Option<HttpResponse> {
    let mut state = shared.lock();
    let topic = state.topics.entry(topic.to_owned()).or_default();
    if from < topic.first_offset || from > topic.end_offset() {
        return Some(full_response(
            410,
            json!({ "first": topic.first_offset }).to_string(),
        ));
    }
    let records = topic
        .records
        .get((from - topic.first_offset) as usize..)
        .unwrap_or_default();
    if records.is_empty() && !allow_empty {
        return None;
    }
    let mut body = BytesMut::new();
    body.put_u64(topic.end_offset());
    body.put_u64(topic.first_offset);
    for record in records {
        body.put_u32(record.len() as u32);
        body.put_slice(record);
    }
    Some(full_response(200, body.freeze()))
}

/// Splits an append request into records, each preceded by its length in four bytes.
fn decode_frames(body: &Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    let mut position = 0;
    while position < body.len() {
        let length =
            u32::from_be_bytes(body.get(position..position + 4)?.try_into().ok()?) as usize;
        let end = position + 4 + length;
        if length == 0 || end > body.len() {
            return None;
        }
        records.push(body.slice(position + 4..end));
        position = end;
    }
    Some(records)
}

fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.replace("%20", " ")))
        .collect()
}

fn encode_base64(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}
