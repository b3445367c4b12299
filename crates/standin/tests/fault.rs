//! Tests of the fault proxy: each fault has the effect that the experiments rely on.

use {
    standin::FaultProxy,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Starts an echo server.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

/// Sends a byte and returns whether it is echoed within 200 ms.
async fn is_echoed(stream: &mut TcpStream) -> bool {
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let mut byte = [0];
    let read = timeout(Duration::from_millis(200), stream.read_exact(&mut byte)).await;
    matches!(read, Ok(Ok(_)))
}

async fn connect(proxy: &FaultProxy) -> TcpStream {
    TcpStream::connect(proxy.address)
        .await
        .expect("a connection")
}

#[tokio::test]
async fn silence_old_connections_only() {
    let proxy = FaultProxy::new(start_echo_server().await)
        .await
        .expect("a proxy");
    let mut old = connect(&proxy).await;
    assert!(is_echoed(&mut old).await);
    proxy.silence_open_connections();
    assert!(!is_echoed(&mut old).await);
    assert!(is_echoed(&mut connect(&proxy).await).await);
}

#[tokio::test]
async fn drop_one_way_and_restore() {
    let proxy = FaultProxy::new(start_echo_server().await)
        .await
        .expect("a proxy");
    proxy.update_knobs(|knobs| knobs.drop_from_target = true);
    assert!(!is_echoed(&mut connect(&proxy).await).await);
    proxy.update_knobs(|knobs| knobs.drop_from_target = false);
    assert!(is_echoed(&mut connect(&proxy).await).await);
}

#[tokio::test]
async fn reset_open_connections() {
    let proxy = FaultProxy::new(start_echo_server().await)
        .await
        .expect("a proxy");
    let mut stream = connect(&proxy).await;
    assert!(is_echoed(&mut stream).await);
    proxy.update_knobs(|knobs| knobs.reset = true);
    let mut byte = [0];
    let read = timeout(Duration::from_secs(1), stream.read(&mut byte)).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))));
}

#[tokio::test]
async fn control_over_http() {
    let proxy = FaultProxy::new(start_echo_server().await)
        .await
        .expect("a proxy");
    let control = proxy.serve_control().await.expect("a port");
    let mut stream = TcpStream::connect(control).await.expect("a connection");
    let body = r#"{"cut_up":true}"#;
    let request = format!(
        "PUT /knobs HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("an open connection");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("a response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(!is_echoed(&mut connect(&proxy).await).await);
}
