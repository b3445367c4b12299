//! Stand-in of the users' platform store: keyed topics, long reads, the newest of each key.
//!
//! Protocol: `POST /log-append?topic=T&part=0` with framed records, `GET /log-read?topic=T&part=0&from=N&wait_ms=M`,
//! `GET /log-newest?topic=T&part=0&after=KEY`. Groups are not there, since nothing here joins one. Invariant: a
//! record is in the topic before its answer is given, lost, or held back.

use {
    crate::server::{full_response, serve, AbortOnDrop, HttpResponse, SharedState},
    base64::{prelude::BASE64_STANDARD, Engine},
    bytes::{BufMut, Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{body::Incoming, Method, Request},
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

/// Most keys on one page of the newest records.
const PAGE_KEYS: usize = 500;

/// How the store turns calls away.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutageMode {
    /// It does not.
    #[default]
    None,
    /// With 503.
    Refuse,
    /// By closing the connection.
    Close,
    /// By never answering.
    Hang,
}

/// What can be turned while the stand-in runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreKnobs {
    /// Whether and how calls are turned away.
    pub outage: OutageMode,
    /// Added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Share of appends whose answer is lost after they took effect, in percent.
    pub lose_responses_percent: u32,
    /// Time by which appends whose answer is lost take effect late, in milliseconds.
    pub lost_append_delay_ms: u64,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<String, Bytes>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
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
}

/// A running stand-in of the store.
#[derive(Debug)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<SharedState<State>>,
    _running: AbortOnDrop,
}

impl Store {
    /// Starts the stand-in on `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn new(address: SocketAddr) -> io::Result<Self> {
        let shared = SharedState::new(State::default());
        let for_calls = Arc::clone(&shared);
        let handle = move |request| answer(Arc::clone(&for_calls), request);
        let (address, task) = serve(address, handle).await?;
        Ok(Self {
            address,
            shared,
            _running: AbortOnDrop(task),
        })
    }

    /// Turns knobs.
    pub fn update_knobs<Update>(&self, update: Update)
    where
        Update: FnOnce(&mut StoreKnobs),
    {
        update(&mut self.shared.lock().knobs);
    }

    /// Writes a record from outside, as an operator or a backend server does; without a value its key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value.unwrap_or_default().as_bytes());
        self.put_raw(topic, record.freeze());
    }

    /// Writes a record as it is.
    pub fn put_raw(&self, topic: &str, record: Bytes) {
        let mut state = self.shared.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.append(record);
        drop(state);
        self.shared.notify_changed();
    }

    /// Drops the history of a topic; the newest of each key stays.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = self.shared.lock().topics.get_mut(topic) {
            topic.first = topic.end();
            topic.records.clear();
        }
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.shared.lock();
        let value = state.topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Returns how many calls came.
    pub fn request_count(&self) -> u64 {
        self.shared.lock().request_count
    }
}

async fn answer(
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
    let query = query(request.uri().query().unwrap_or_default());
    let topic = query.get("topic").cloned().unwrap_or_default();
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/log-append") => {
            let body = request.into_body().collect().await.ok()?.to_bytes();
            append(&shared, &topic, body, knobs).await
        }
        (&Method::GET, "/log-newest") => Some(newest(
            &shared,
            &topic,
            query.get("after").map(String::as_str),
        )),
        (&Method::GET, "/log-read") => Some(read(&shared, &topic, &query).await),
        _ => Some(full_response(404, "no such call")),
    }
}

async fn append(
    shared: &Arc<SharedState<State>>,
    topic: &str,
    body: Bytes,
    knobs: StoreKnobs,
) -> Option<HttpResponse> {
    let Some(records) = unframe(&body) else {
        return Some(full_response(400, "records are not framed"));
    };
    let lost = fastrand::u32(0..100) < knobs.lose_responses_percent;
    let shared = Arc::clone(shared);
    let topic = topic.to_owned();
    let write = move || {
        let mut locked = shared.lock();
        let topic = locked.topics.entry(topic).or_default();
        let offset = topic.end();
        records.into_iter().for_each(|record| topic.append(record));
        let end = topic.end();
        drop(locked);
        shared.notify_changed();
        json!({ "offset": offset, "end": end })
    };
    if !lost {
        return Some(full_response(200, write().to_string()));
    }
    // Executed now or later, and not answered.
    tokio::spawn(async move {
        sleep(Duration::from_millis(knobs.lost_append_delay_ms)).await;
        write();
    });
    None
}

fn newest(shared: &SharedState<State>, topic: &str, after: Option<&str>) -> HttpResponse {
    let mut state = shared.lock();
    let topic = state.topics.entry(topic.to_owned()).or_default();
    let mut rows = topic
        .newest
        .iter()
        .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
    let items: Vec<_> = rows
        .by_ref()
        .take(PAGE_KEYS)
        .map(|(key, value)| json!({ "key": key, "value": base64(value), "offset": 0 }))
        .collect();
    let more = rows.next().is_some();
    let page = json!({ "items": items, "more": more, "end": topic.end() });
    full_response(200, page.to_string())
}

async fn read(
    shared: &SharedState<State>,
    topic: &str,
    query: &HashMap<String, String>,
) -> HttpResponse {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
    let from: u64 = number("from").unwrap_or_default();
    let wait_ms = number("wait_ms").unwrap_or_default();
    let mut watched = shared.changed.subscribe();
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        if let Some(answer) = read_now(shared, topic, from, false) {
            return answer;
        }
        if tokio::time::timeout_at(until, watched.changed())
            .await
            .is_err()
        {
            return read_now(shared, topic, from, true).unwrap_or_else(|| full_response(500, ""));
        }
    }
}

fn read_now(
    shared: &SharedState<State>,
    topic: &str,
    from: u64,
    may_be_empty: bool,
) -> Option<HttpResponse> {
    let mut state = shared.lock();
    let topic = state.topics.entry(topic.to_owned()).or_default();
    if from < topic.first {
        return Some(full_response(
            410,
            json!({ "first": topic.first }).to_string(),
        ));
    }
    let records = topic
        .records
        .get((from - topic.first) as usize..)
        .unwrap_or_default();
    if records.is_empty() && !may_be_empty {
        return None;
    }
    let mut body = BytesMut::new();
    body.put_u64(topic.end());
    body.put_u64(topic.first);
    for record in records {
        body.put_u32(record.len() as u32);
        body.put_slice(record);
    }
    Some(full_response(200, body.freeze()))
}

fn unframe(body: &Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    let mut at = 0;
    while at < body.len() {
        let length = u32::from_be_bytes(body.get(at..at + 4)?.try_into().ok()?) as usize;
        let end = at + 4 + length;
        if length == 0 || end > body.len() {
            return None;
        }
        records.push(body.slice(at + 4..end));
        at = end;
    }
    Some(records)
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.replace("%20", " ")))
        .collect()
}

fn base64(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}
