//! Guards against API keys that reach a backend server, and against requests that run under another account's name.

mod support;

use {
    account::KeyIndex,
    config::{Account, Document, DocumentIndex, RequestKind, Route},
    entry::{commands::handle_request, CallerResponse, HeaderConventions, RoutingConfig},
    hyper::Method,
    sha2::{Digest, Sha256},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    support::{document, fixture_with_conventions, incoming},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    types::ResultCode,
};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Request-Shed: 1\r\nContent-Length: 0\r\n\r\n";

/// The heads of the requests that the servers of a test received, in lower case.
type Heads = Arc<Mutex<Vec<String>>>;

/// Starts a server that records the head of each request and sends `response`.
async fn recording_server(heads: &Heads, response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let heads = Arc::clone(heads);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&heads), response));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, heads: Heads, response: &'static [u8]) {
    let mut head = Vec::new();
    let mut buffer = [0; 1_024];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => head.extend_from_slice(&buffer[..length]),
        }
        if head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&head).to_lowercase();
            heads.lock().expect("no panic").push(text);
            head.clear();
            // The proxy may have closed the connection.
            let _ = stream.write_all(response).await;
        }
    }
}

/// Returns a document with one account, a route that needs its key for `/x`, and public ones if `is_public`.
fn document_with_account(is_public: bool) -> Document {
    let routes = ["GET", "POST"].map(|method| Route {
        methods: vec![method.to_owned()],
        is_public,
        ..Route::new(
            "/",
            "s",
            if method == "GET" {
                RequestKind::Safe
            } else {
                RequestKind::Unsafe
            },
        )
    });
    Document {
        routes: routes.into(),
        accounts: vec![Account {
            key_digests: vec![Sha256::digest("secret-key").into()],
            ..Account::new("pots")
        }],
        ..document(1_000, 1_500)
    }
}

async fn send_to(
    addresses: &[SocketAddr],
    document: &Document,
    is_current: bool,
    method: Method,
    headers: &[(&'static str, &str)],
) -> CallerResponse {
    let fixture = fixture_with_conventions(addresses, Duration::ZERO, HeaderConventions::new());
    let config = RoutingConfig {
        version: 1,
        is_current,
        document,
        index: &DocumentIndex::new(document),
        keys: &KeyIndex::new(&document.accounts),
        accepts_keys: true,
    };
    handle_request(&fixture.proxy, config, incoming(method, headers, "")).await
}

/// The account is named on the retry too, whatever the caller names, and no attempt carries the key.
#[tokio::test]
async fn forward_account_on_retry() {
    for method in [Method::GET, Method::POST] {
        let heads = Heads::default();
        let addresses = [
            recording_server(&heads, REFUSAL).await,
            recording_server(&heads, RESPONSE).await,
        ];
        let headers = [
            ("authorization", "Bearer secret-key"),
            ("catkinhitch-account", "glazes"),
            ("x-other", "kept"),
        ];
        let document = document_with_account(false);
        let response = send_to(&addresses, &document, true, method, &headers).await;
        assert_eq!(response.status(), 200);
        let heads = heads.lock().expect("no panic");
        assert_eq!(heads.len(), 2);
        for head in heads.iter() {
            assert!(head.contains("\r\ncatkinhitch-account: pots\r\n"), "{head}");
            assert!(head.contains("\r\nx-other: kept\r\n"), "{head}");
            assert!(!head.contains("authorization"), "{head}");
            assert!(
                !head.contains("secret-key") && !head.contains("glazes"),
                "{head}"
            );
        }
    }
}

/// A caller that names the header in `Connection` must not keep the account's name from the server.
#[tokio::test]
async fn forward_account_named_in_connection() {
    let heads = Heads::default();
    let addresses = [recording_server(&heads, RESPONSE).await];
    let headers = [
        ("authorization", "Bearer secret-key"),
        ("connection", "catkinhitch-account"),
    ];
    let document = document_with_account(false);
    let response = send_to(&addresses, &document, true, Method::GET, &headers).await;
    assert_eq!(response.status(), 200);
    let heads = heads.lock().expect("no panic");
    assert!(heads[0].contains("\r\ncatkinhitch-account: pots\r\n"));
}

/// On a public route neither a key that is sent without need nor an account that the caller names may go on.
#[tokio::test]
async fn forward_public_route() {
    let heads = Heads::default();
    let addresses = [recording_server(&heads, RESPONSE).await];
    let document = document_with_account(true);
    for headers in [
        [
            ("authorization", "Bearer secret-key"),
            ("catkinhitch-account", "pots"),
        ],
        [
            ("authorization", "Basic dXNlcjpwYXNz"),
            ("catkinhitch-account", "pots"),
        ],
    ] {
        let response = send_to(&addresses, &document, true, Method::GET, &headers).await;
        assert_eq!(response.status(), 200);
    }
    let heads = heads.lock().expect("no panic");
    assert!(heads
        .iter()
        .all(|head| !head.contains("catkinhitch-account")));
    assert!(!heads[0].contains("authorization"));
    // Credentials of another scheme are the application's own.
    assert!(heads[1].contains("\r\nauthorization: basic"));
}

/// Without accounts in the configuration, the header belongs to the application.
#[tokio::test]
async fn forward_without_accounts() {
    let heads = Heads::default();
    let addresses = [recording_server(&heads, RESPONSE).await];
    let headers = [("authorization", "Bearer anything")];
    let response = send_to(
        &addresses,
        &document(1_000, 1_500),
        true,
        Method::GET,
        &headers,
    )
    .await;
    assert_eq!(response.status(), 200);
    assert!(heads.lock().expect("no panic")[0].contains("\r\nauthorization: bearer anything\r\n"));
}

/// A request without a valid key is refused before it reaches a server; by an instance that may not know the newest keys,
/// with a status after which it is sent elsewhere.
#[tokio::test]
async fn refuse_unknown_key() {
    let heads = Heads::default();
    let addresses = [recording_server(&heads, RESPONSE).await];
    let document = document_with_account(false);
    for headers in [
        vec![],
        vec![("authorization", "Bearer other-key")],
        vec![("authorization", "Basic secret-key")],
    ] {
        for (is_current, code) in [
            (true, ResultCode::UnknownKey),
            (false, ResultCode::KeysUnconfirmed),
        ] {
            let response = send_to(&addresses, &document, is_current, Method::POST, &headers).await;
            assert_eq!(response.code(), code);
        }
    }
    assert!(heads.lock().expect("no panic").is_empty());
    assert_eq!(
        CallerResponse::generated(ResultCode::UnknownKey).status(),
        401
    );
}
