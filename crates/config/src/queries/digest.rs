//! The canonical text of a document and its digest.
//!
//! Invariant: equal documents have the same canonical text, regardless of how they were encoded.

use {
    crate::{Account, DetectionMode, Document, Route, Service},
    sha2::{Digest, Sha256},
    std::fmt::Write,
};

/// Returns the document as text with one line per service, route and account.
pub fn canonical_text(document: &Document) -> String {
    let mut text = String::new();
    for service in &document.services {
        text.push_str(&service_line(service));
    }
    for route in &document.routes {
        text.push_str(&route_line(route));
    }
    if let Some(limits) = &document.limits {
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "limits header_bytes={} body_bytes={} header_timeout_ms={} idle_timeout_ms={}",
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms
        );
    }
    for account in &document.accounts {
        text.push_str(&account_line(account));
    }
    text
}

/// Returns the hex SHA-256 of the canonical text.
pub fn document_digest(document: &Document) -> String {
    hex::encode(Sha256::digest(canonical_text(document)))
}

fn service_line(service: &Service) -> String {
    let detection = match service.detection {
        DetectionMode::Fast => "fast",
        DetectionMode::Careful => "careful",
    };
    format!(
        "service {:?} {} floor_slots={} deadline_ms={} retry_percent={} max_body_bytes={} hold_bytes={}\n",
        service.name,
        detection,
        service.floor_slots,
        service.deadline_ms,
        service.retry_percent,
        service.max_body_bytes,
        service.hold_bytes
    )
}

fn route_line(route: &Route) -> String {
    let mut methods = String::new();
    for method in &route.methods {
        // Writing to a string can't fail.
        let _ = write!(methods, " {method:?}");
    }
    let mut destinations = String::new();
    for destination in &route.destinations {
        // Writing to a string can't fail.
        let _ = write!(
            destinations,
            " {:?}={}",
            destination.service, destination.weight
        );
    }
    let mut line = format!(
        "route {:?} {:?} {:?} parts={} methods={} timeout_ms={:?} target_ms={:?} priority={} attempts_max={}",
        route.host,
        route.prefix,
        route.kind,
        destinations,
        methods,
        route.timeout_ms,
        route.target_ms,
        route.priority,
        route.attempts_max
    );
    // Documents without public routes keep the text, and so the digest, that they had before routes could be public.
    if route.is_public {
        line.push_str(" public");
    }
    line.push('\n');
    line
}

fn account_line(account: &Account) -> String {
    let keys: Vec<String> = account.key_digests.iter().map(hex::encode).collect();
    format!(
        "account {:?} keys={} priority={} rate_milli={} burst_requests={}\n",
        account.name,
        keys.join(","),
        account.priority,
        account.rate_milli,
        account.burst_requests
    )
}
