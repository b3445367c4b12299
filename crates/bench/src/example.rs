//! Example system in one process on loopback, to be tried out with curl.

use {
    crate::process::free_address,
    config::RequestKind,
    daemon::{Principal, Settings},
    member::{BackendServer, Instance},
    standin::{Backend, BackendKnobs, Platform},
    std::{io, net::SocketAddr, process::ExitCode, time::Duration},
    tokio::{runtime::Builder, signal::ctrl_c, time::sleep},
    wire::{
        convert,
        generated::{DetectionJson, DocumentJson, ServiceJson},
        to_json,
    },
};

/// Number of backend servers of each example service.
const SERVERS: usize = 3;
/// Service time of the backend servers, in microseconds.
const SERVICE_US: u64 = 20_000;
/// Data centre of the instance and of the backend servers.
const DATA_CENTRE: &str = "tbilisi-1";

/// Serves the example until interrupted.
pub(crate) fn run() -> ExitCode {
    let runtime = match Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(serve()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the example system failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve() -> io::Result<()> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::new(loopback).await?;
    let settings = settings(platform.address)?;
    let document = document();
    // Activated before the instance starts, so that it can serve the first request.
    platform.append_accepted_config(&document);
    let mut backends = Vec::new();
    let mut servers = Vec::new();
    for service in &document.services {
        for number in 1..=SERVERS {
            let name = format!("{}-{number}", service.name);
            let knobs = BackendKnobs {
                service_us: SERVICE_US,
                ..BackendKnobs::default()
            };
            let backend = Backend::new(&name, loopback, knobs).await?;
            servers.push(backend_server(&name, &service.name, backend.address));
            backends.push(backend);
        }
    }
    let instance = Instance::new(&settings.instance, DATA_CENTRE, settings.rpc_address);
    platform.publish_members(&[instance], &servers);
    let started = daemon::commands::start(settings)
        .await
        .map_err(io::Error::other)?;
    while started.node.stage() != daemon::Stage::Running {
        sleep(Duration::from_millis(20)).await;
    }
    print_commands(started.caller_address, started.admin_address, &document)?;
    print_fault_commands(platform.address, backends[0].address);
    ctrl_c().await?;
    started.stop().await;
    Ok(())
}

fn settings(platform_address: SocketAddr) -> io::Result<Settings> {
    let principal = |name: &str| Principal {
        name: name.to_owned(),
        token: format!("{name}-token"),
    };
    let caller_address = free_address()?;
    Ok(Settings {
        rpc_address: free_address()?,
        admin_address: free_address()?,
        principals: vec![principal("operations"), principal("finance")],
        drain_ms: 100,
        log_level: log_level(),
        ..Settings::new("entry-1", DATA_CENTRE, caller_address, platform_address)
    })
}

fn log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

fn backend_server(name: &str, service: &str, address: SocketAddr) -> BackendServer {
    let slots = BackendKnobs::default().slots;
    BackendServer::new(name, service, DATA_CENTRE, address, slots)
}

fn document() -> DocumentJson {
    let service = |name: &str| ServiceJson {
        name: name.to_owned(),
        detection: DetectionJson::Careful,
        floor_slots: 8,
        deadline_ms: 2_000,
        retry_percent: 10,
        max_body_bytes: 200 << 20,
        hold_bytes: 256 << 10,
    };
    let route = convert::simple_route;
    DocumentJson {
        limits: None,
        accounts: Vec::new(),
        services: vec![service("designs"), service("deposits")],
        routes: vec![
            route("/designs", &[], "designs", RequestKind::Safe),
            route("/deposits", &["GET"], "deposits", RequestKind::Safe),
            route("/deposits", &["POST"], "deposits", RequestKind::Unsafe),
        ],
    }
}

fn print_commands(
    caller: SocketAddr,
    admin: SocketAddr,
    document: &DocumentJson,
) -> io::Result<()> {
    let mut proposed = document.clone();
    proposed.services[0].floor_slots = 4;
    let file =
        std::env::temp_dir().join(format!("catkinhitch-example-{}.json", std::process::id()));
    std::fs::write(&file, to_json(&proposed))?;
    let tool = "cargo run --release -q -p cli --";
    println!("The example system is running. Try:\n");
    println!("  curl -i http://{caller}/designs/floor-7");
    println!("  curl -i -X POST -H 'idempotency-key: order-1' -d marble http://{caller}/deposits");
    println!("  (run it again: the same response is returned and the request does not run twice)");
    println!("  {tool} status --admin {admin}");
    println!(
        "  CATKINHITCH_TOKEN=operations-token {tool} propose --admin {admin} {}",
        file.display()
    );
    println!("  {tool} show --admin {admin}");
    println!(
        "  CATKINHITCH_TOKEN=finance-token {tool} approve --admin {admin} --digest DIGEST OFFSET"
    );
    Ok(())
}

fn print_fault_commands(platform: SocketAddr, backend: SocketAddr) {
    println!("\nInject faults:\n");
    println!("  curl -X PUT -d '{{\"gray\":\"errors\"}}' http://{backend}/_knobs   (a backend server returns errors)");
    println!(
        "  curl -X PUT -d '{{\"away\":true}}' http://{platform}/knobs   (the log is unavailable)"
    );
    println!("  curl -X PUT -d '{{}}' to either address clears its faults");
    println!("\nPress Ctrl-C to stop.");
}
