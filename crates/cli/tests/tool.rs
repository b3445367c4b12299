//! Tests of the command-line tool against one instance in this process.

use {
    daemon::{commands::start, Principal, Settings},
    standin::Platform,
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Command,
    },
};

const DOCUMENT: &str = r#"{
    "services": [{"name": "s", "detection": "careful", "floor_slots": 8, "deadline_ms": 1000,
        "retry_percent": 10, "max_body_bytes": 1000, "hold_bytes": 1000}],
    "routes": [{"prefix": "/", "methods": ["POST"], "service": "s", "kind": "unsafe"}]
}"#;

struct Run {
    status: Option<i32>,
    out: String,
    err: String,
}

async fn tool(token: &str, arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_catkinhitch"));
    command.env("CATKINHITCH_TOKEN", token).args(arguments);
    let running = tokio::task::spawn_blocking(move || command.output());
    let output = running.await.expect("no panic").expect("it runs");
    Run {
        status: output.status.code(),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("catkinhitch-tool-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("a file");
    path
}

fn text(path: &Path) -> &str {
    path.to_str().expect("a path in UTF-8")
}

fn settings(platform_address: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let principal = |name: &str| Principal {
        name: name.into(),
        token: format!("{name}-token"),
    };
    Settings {
        principals: vec![principal("operations"), principal("finance")],
        claim_window_ms: 1_000,
        snapshot_interval_ms: 1_000,
        drain_ms: 0,
        log_level: log::LevelFilter::Off,
        ..Settings::new("i", "a", any, platform_address)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_whole_change() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::new(any).await.expect("a platform");
    let started = start(settings(platform.address))
        .await
        .expect("an instance");
    let admin = started.admin_address.to_string();
    let document = file("whole.json", DOCUMENT);
    let target = ["--admin", admin.as_str()];

    let proposed = tool(
        "operations-token",
        &["propose", target[0], target[1], text(&document)],
    )
    .await;
    assert_eq!(proposed.status, Some(0), "{}", proposed.err);
    let shown = tool("", &["show", target[0], target[1]]).await;
    assert!(shown.out.contains("are never repeated"), "{}", shown.out);
    let approve = shown
        .out
        .lines()
        .find_map(|line| line.trim().strip_prefix("To approve: catkinhitch "));
    let mut words: Vec<&str> = approve.expect("a line to approve by").split(' ').collect();
    words.splice(1..1, target);
    let own = tool("operations-token", &words).await;
    assert_eq!(own.status, Some(4), "{}", own.err);
    let approved = tool("finance-token", &words).await;
    assert_eq!(
        (approved.status, approved.out.trim()),
        (Some(0), "Version 1 is in force.")
    );
    let history = tool("", &["history", target[0], target[1]]).await;
    assert!(history.out.contains("finance") && history.out.contains("InForce"));
    let status = tool("", &["--json", "status", target[0], target[1]]).await;
    assert!(
        status.out.contains(r#""config_version":1"#),
        "{}",
        status.out
    );
    let _ = fs::remove_file(document);
}

#[tokio::test]
async fn check_each_exit_status() {
    let good = file("good.json", DOCUMENT);
    let wrong = file("wrong.json", &DOCUMENT.replace("\"/\"", "\"no\""));
    let broken = file("broken.json", "{");
    assert_eq!(tool("", &["check", text(&good)]).await.status, Some(0));
    let run = tool("", &["check", text(&wrong)]).await;
    assert_eq!(run.status, Some(3));
    assert!(run.err.contains("$.routes[0].prefix"), "{}", run.err);
    assert_eq!(tool("", &["check", text(&broken)]).await.status, Some(2));
    assert_eq!(tool("", &["check", "/nowhere.json"]).await.status, Some(2));
    let nobody = ["show", "--admin", "127.0.0.1:9"];
    assert_eq!(tool("", &nobody).await.status, Some(5));
    for path in [good, wrong, broken] {
        let _ = fs::remove_file(path);
    }
}
