//! Tests of the command-line tool against an instance in the same process.

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
    stdout: String,
    stderr: String,
}

async fn run_tool(token: &str, arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_catkinhitch"));
    command.env("CATKINHITCH_TOKEN", token).args(arguments);
    let running = tokio::task::spawn_blocking(move || command.output());
    let output = running.await.expect("no panic").expect("the tool starts");
    Run {
        status: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("catkinhitch-tool-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("a file");
    path
}

fn path_text(path: &Path) -> &str {
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
async fn tool_complete_change() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::new(any).await.expect("a platform");
    let started = start(settings(platform.address))
        .await
        .expect("an instance");
    let admin = started.admin_address.to_string();
    let document = write_file("document.json", DOCUMENT);
    let target = ["--admin", admin.as_str()];

    let proposed = run_tool(
        "operations-token",
        &["propose", target[0], target[1], path_text(&document)],
    )
    .await;
    assert_eq!(proposed.status, Some(0), "{}", proposed.stderr);
    let shown = run_tool("", &["show", target[0], target[1]]).await;
    assert!(
        shown.stdout.contains("are never repeated"),
        "{}",
        shown.stdout
    );
    let approve = shown
        .stdout
        .lines()
        .find_map(|line| line.trim().strip_prefix("To approve: catkinhitch "));
    let mut arguments: Vec<&str> = approve
        .expect("a line with the command to approve")
        .split(' ')
        .collect();
    arguments.splice(1..1, target);
    let by_proposer = run_tool("operations-token", &arguments).await;
    assert_eq!(by_proposer.status, Some(4), "{}", by_proposer.stderr);
    let approved = run_tool("finance-token", &arguments).await;
    assert_eq!(
        (approved.status, approved.stdout.trim()),
        (Some(0), "Version 1 is in force.")
    );
    let changed = write_file("changed.json", &DOCUMENT.replace("1000,\n", "900,\n"));
    let compared = ["check", path_text(&changed), target[0], target[1]];
    let compared = run_tool("", &compared).await;
    assert_eq!(compared.status, Some(0), "{}", compared.stderr);
    let difference = "deadline changes from 1000 to 900 ms";
    assert!(
        compared.stdout.contains("Against version 1:"),
        "{}",
        compared.stdout
    );
    assert!(compared.stdout.contains(difference), "{}", compared.stdout);
    let _ = fs::remove_file(changed);
    let history = run_tool("", &["history", target[0], target[1]]).await;
    assert!(history.stdout.contains("finance") && history.stdout.contains("InForce"));
    let status = run_tool("", &["--json", "status", target[0], target[1]]).await;
    assert!(
        status.stdout.contains(r#""config_version":1"#),
        "{}",
        status.stdout
    );
    let _ = fs::remove_file(document);
}

#[tokio::test]
async fn check_each_exit_status() {
    let good = write_file("good.json", DOCUMENT);
    let unused = write_file("unused.json", &DOCUMENT.replace("}]\n}", "}, {\"prefix\": \"/\", \"methods\": [\"POST\", \"POST\"], \"service\": \"s\", \"kind\": \"safe\"}]\n}"));
    let run = run_tool("", &["check", path_text(&unused)]).await;
    assert_eq!(run.status, Some(6), "{}", run.stderr);
    assert!(
        run.stderr.contains("warning: $.routes[1]: never matches"),
        "{}",
        run.stderr
    );
    let run = run_tool("", &["--json", "check", path_text(&unused)]).await;
    assert!(
        run.stdout.contains(r#""warnings":[{"path":"$.routes[1]""#),
        "{}",
        run.stdout
    );
    let wrong = write_file("wrong.json", &DOCUMENT.replace("\"/\"", "\"no\""));
    let broken = write_file("broken.json", "{");
    assert_eq!(
        run_tool("", &["check", path_text(&good)]).await.status,
        Some(0)
    );
    let run = run_tool("", &["check", path_text(&wrong)]).await;
    assert_eq!(run.status, Some(3));
    assert!(run.stderr.contains("$.routes[0].prefix"), "{}", run.stderr);
    assert_eq!(
        run_tool("", &["check", path_text(&broken)]).await.status,
        Some(2)
    );
    assert_eq!(
        run_tool("", &["check", "/nowhere.json"]).await.status,
        Some(2)
    );
    let unreachable = ["show", "--admin", "127.0.0.1:9"];
    assert_eq!(run_tool("", &unreachable).await.status, Some(5));
    for path in [good, unused, wrong, broken] {
        let _ = fs::remove_file(path);
    }
}
