//! Tests of the platform's client against a server that sends slowly.

use {
    hyper::{Method, StatusCode},
    std::{net::SocketAddr, time::Duration},
    stream::{CallError, PlatformClient, RequestBody},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::sleep,
    },
};

/// Time allowed for the begin of a response, in milliseconds.
const TIMEOUT_MS: u64 = 150;

/// Starts a server that sends `parts` bytes of a body of ten, one each 50 ms, and then nothing.
async fn start_slow_server(parts: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1_024]).await;
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
        let _ = stream.write_all(head.as_bytes()).await;
        for _ in 0..parts {
            sleep(Duration::from_millis(50)).await;
            let _ = stream.write_all(b"x").await;
        }
        sleep(Duration::from_secs(5)).await;
    });
    address
}

async fn call(address: SocketAddr) -> Result<(StatusCode, usize), CallError> {
    let client = PlatformClient::new(address);
    let call = client.call(Method::GET, "list", RequestBody::Empty, TIMEOUT_MS);
    call.await
        .map(|response| (response.status, response.body.len()))
}

/// A list that a slow link carries in more than the time limit was discarded and read again, over and over.
#[tokio::test]
async fn call_slow_response_received() {
    let address = start_slow_server(10).await;
    assert_eq!(call(address).await, Ok((StatusCode::OK, 10)));
}

#[tokio::test]
async fn call_response_that_stops_lost() {
    let address = start_slow_server(3).await;
    assert_eq!(call(address).await, Err(CallError::ResponseLost));
}
