//! Tests of the log client against a stand-in for the platform.

use {
    standin::{FaultProxy, Platform as StandIn},
    std::net::SocketAddr,
    stream::{
        commands::append,
        queries::{read, read_members},
        AppendError, PlatformClient, ReadError,
    },
};

async fn start_stand_in() -> StandIn {
    StandIn::new(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("a platform")
}

#[tokio::test]
async fn append_and_read() {
    let log = start_stand_in().await;
    let platform = PlatformClient::new(log.address);
    assert_eq!(append(&platform, "s", "a").await, Ok(0));
    assert_eq!(append(&platform, "s", "b").await, Ok(1));
    let part = read(&platform, "s", 1, 0).await.expect("a response");
    let response = part.response;
    assert_eq!(response.records.len(), 1);
    assert_eq!(
        (
            response.records[0].offset,
            response.records[0].body.as_str()
        ),
        (1, "b")
    );
}

#[tokio::test]
async fn append_response_lost_after_effect() {
    let log = start_stand_in().await;
    log.update_knobs(|knobs| knobs.lose_responses_percent = 100);
    let platform = PlatformClient::new(log.address);
    assert_eq!(
        append(&platform, "s", "a").await,
        Err(AppendError::ResponseLost)
    );
    assert_eq!(log.records("s").len(), 1);
}

#[tokio::test]
async fn append_refused_during_outage() {
    let log = start_stand_in().await;
    log.update_knobs(|knobs| knobs.away = true);
    let platform = PlatformClient::new(log.address);
    assert_eq!(append(&platform, "s", "a").await, Err(AppendError::Refused));
    assert!(log.records("s").is_empty());
}

#[tokio::test]
async fn append_one_way_partition() {
    let log = start_stand_in().await;
    let proxy = FaultProxy::new(log.address).await.expect("a proxy");
    proxy.update_knobs(|knobs| knobs.drop_from_target = true);
    let platform = PlatformClient::new(proxy.address);
    assert_eq!(
        append(&platform, "s", "a").await,
        Err(AppendError::ResponseLost)
    );
    assert_eq!(log.records("s").len(), 1);
}

#[tokio::test]
async fn append_over_rate_limit() {
    let log = start_stand_in().await;
    log.update_knobs(|knobs| knobs.appends_per_s = 1);
    let platform = PlatformClient::new(log.address);
    assert_eq!(append(&platform, "s", "a").await, Ok(0));
    assert_eq!(append(&platform, "s", "b").await, Err(AppendError::Refused));
}

#[tokio::test]
async fn read_trimmed() {
    let log = start_stand_in().await;
    log.append("s", "a");
    log.trim_stream("s");
    let platform = PlatformClient::new(log.address);
    let error = read(&platform, "s", 0, 0)
        .await
        .expect_err("it was trimmed");
    assert!(matches!(
        error,
        ReadError::Trimmed {
            first_offset: 1,
            ..
        }
    ));
}

#[tokio::test]
async fn read_after_timeout_uses_new_connection() {
    let log = start_stand_in().await;
    log.append("s", "a");
    let proxy = FaultProxy::new(log.address).await.expect("a proxy");
    let platform = PlatformClient::new(proxy.address);
    assert!(read(&platform, "s", 0, 0).await.is_ok());
    proxy.silence_open_connections();
    assert!(matches!(
        read(&platform, "s", 0, 0).await,
        Err(ReadError::Unavailable)
    ));
    assert!(read(&platform, "s", 0, 0).await.is_ok());
}

#[tokio::test]
async fn read_members_outage_apart_from_log() {
    let log = start_stand_in().await;
    log.update_knobs(|knobs| knobs.list_away = true);
    let platform = PlatformClient::new(log.address);
    assert!(read_members(&platform, 0).await.is_err());
    assert!(read(&platform, "s", 0, 0).await.is_ok());
}

#[tokio::test]
async fn read_members_known_version() {
    let log = start_stand_in().await;
    log.publish_members(&[], &[]);
    let platform = PlatformClient::new(log.address);
    let first = read_members(&platform, 0)
        .await
        .expect("a response")
        .expect("a list");
    assert!(read_members(&platform, first.version)
        .await
        .expect("a response")
        .is_none());
}

/// A reader took the records behind a lost one for those that followed it.
#[tokio::test]
async fn read_rolled_back() {
    let log = start_stand_in().await;
    let platform = PlatformClient::new(log.address);
    log.append("s", "a");
    let copy = log.copy();
    log.append("s", "b");
    let part = read(&platform, "s", 0, 0).await.expect("records");
    assert_eq!((part.response.records.len(), part.era), (2, Some(1)));
    log.roll_back(copy);
    let error = read(&platform, "s", 2, 0)
        .await
        .expect_err("no such offset");
    assert!(matches!(error, ReadError::Trimmed { era: Some(2), .. }));
    let part = read(&platform, "s", 0, 0).await.expect("records");
    assert_eq!((part.response.records.len(), part.era), (1, Some(2)));
}
