//! Tests of the stand-in of a backend server: it keeps to what the platform's servers do.

use {
    standin::{Backend, BackendKnobs, GrayFault},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Sends one request and returns the status line of its answer.
async fn ask(backend: &Backend, id: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(backend.address)
        .await
        .expect("a connection");
    let head =
        format!("GET /x HTTP/1.1\r\nhost: b\r\nrequest-id: {id}\r\ndeadline-ms: 100\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut text = [0; 12];
    let reading = timeout(Duration::from_secs(2), stream.read_exact(&mut text)).await;
    let line = match reading {
        Ok(Ok(_)) => String::from_utf8_lossy(&text).into_owned(),
        _ => String::new(),
    };
    (stream, line)
}

#[tokio::test]
async fn answer_hang_frees_slot_at_deadline() {
    // A request that hangs gives its slot back at its deadline, also while its connection stays open.
    let knobs = BackendKnobs {
        slots: 1,
        uses_store_protocol: true,
        gray: GrayFault::Hang,
        ..BackendKnobs::default()
    };
    let address = ([127, 0, 0, 1], 0).into();
    let backend = Backend::new("b", address, knobs).await.expect("a server");
    let (_open, hung) = ask(&backend, "r1").await;
    assert_eq!(hung, "", "a server that hangs stays silent");
    backend.update_knobs(|knobs| knobs.gray = GrayFault::None);
    let (_open, next) = ask(&backend, "r2").await;
    assert_eq!(next, "HTTP/1.1 200");
}
