//! Tests of the simulated backend server: it behaves as servers on the store's platform do.

use {
    standin::{Backend, BackendKnobs, GrayFault},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Sends one request with a deadline of 100 ms; returns the open connection and the start of the status line, which is
/// empty if there is no response within two seconds.
async fn send_request(backend: &Backend, id: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(backend.address)
        .await
        .expect("a connection");
    let head =
        format!("GET /x HTTP/1.1\r\nhost: b\r\nrequest-id: {id}\r\ndeadline-ms: 100\r\n\r\n");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("a sent request");
    let mut buffer = [0; 12];
    let read = timeout(Duration::from_secs(2), stream.read_exact(&mut buffer)).await;
    let status_line = match read {
        Ok(Ok(_)) => String::from_utf8_lossy(&buffer).into_owned(),
        _ => String::new(),
    };
    (stream, status_line)
}

#[tokio::test]
async fn handle_work_hang_frees_slot_at_deadline() {
    // A hanging request once kept its slot past its deadline while its connection stayed open, so that the server shed
    // all later requests.
    let knobs = BackendKnobs {
        slots: 1,
        uses_store_protocol: true,
        gray: GrayFault::Hang,
        ..BackendKnobs::default()
    };
    let address = ([127, 0, 0, 1], 0).into();
    let backend = Backend::new("b", address, knobs).await.expect("a server");
    let (_open, hung_status) = send_request(&backend, "r1").await;
    assert_eq!(hung_status, "", "a hanging server must not respond");
    backend.update_knobs(|knobs| knobs.gray = GrayFault::None);
    let (_open, next_status) = send_request(&backend, "r2").await;
    assert_eq!(next_status, "HTTP/1.1 200");
}
