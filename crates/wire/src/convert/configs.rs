//! Conversions of the configuration document and the records of the config stream.

use {
    crate::generated::{
        ConfigKind, ConfigRecord, DestinationJson, DetectionJson, DocumentJson, FindingJson,
        LimitsJson, RequestKindJson, RouteJson, ServiceJson,
    },
    config::{
        AcceptedConfig, CallerLimits, ConfigEvent, Decision, Destination, DetectionMode, Document,
        Proposal, RequestKind, Route, Service, ValidationError,
    },
};

/// Writes a document.
pub fn encode_document(document: &Document) -> DocumentJson {
    DocumentJson {
        services: document.services.iter().map(service_text).collect(),
        routes: document.routes.iter().map(route_text).collect(),
        limits: document.limits.as_ref().map(limits_text),
    }
}

/// Reads a document; whether it makes sense is the verifier's business.
pub fn decode_document(text: &DocumentJson) -> Document {
    Document {
        services: text.services.iter().map(service).collect(),
        routes: text.routes.iter().map(route).collect(),
        limits: text.limits.as_ref().map(limits),
    }
}

/// Writes the verifier's findings.
pub fn encode_findings(findings: &[ValidationError]) -> Vec<FindingJson> {
    findings
        .iter()
        .map(|finding| FindingJson {
            path: finding.path.clone(),
            sentence: finding.message.clone(),
        })
        .collect()
}

/// Writes an entry of the config stream with the number by which a lost append is looked up.
pub fn encode_config_event(entry: &ConfigEvent, nonce: u64) -> ConfigRecord {
    match entry {
        ConfigEvent::Propose(proposal) => ConfigRecord {
            principal: proposal.proposer.clone(),
            ..proposal_record(ConfigKind::Propose, proposal, nonce)
        },
        ConfigEvent::Approve(decision) => decision_record(ConfigKind::Approve, decision, nonce),
        ConfigEvent::Reject(decision) => decision_record(ConfigKind::Reject, decision, nonce),
        ConfigEvent::Snapshot(accepted) => ConfigRecord {
            kind: ConfigKind::Snapshot,
            nonce,
            principal: String::new(),
            proposer: String::new(),
            proposal_offset: 0,
            version: accepted.version,
            digest: accepted.digest.clone(),
            through_offset: accepted.through_offset,
            document: encode_document(&accepted.document),
        },
    }
}

/// Reads an entry of the config stream.
pub fn decode_config_event(record: &ConfigRecord) -> ConfigEvent {
    let document = decode_document(&record.document);
    if record.kind == ConfigKind::Snapshot {
        return ConfigEvent::Snapshot(AcceptedConfig {
            version: record.version,
            digest: record.digest.clone(),
            through_offset: record.through_offset,
            document,
        });
    }
    let proposal = Proposal {
        offset: record.proposal_offset,
        base_version: record.version,
        digest: record.digest.clone(),
        proposer: record.proposer.clone(),
        document,
    };
    let decision = |proposal| Decision {
        principal: record.principal.clone(),
        proposal,
    };
    match record.kind {
        ConfigKind::Approve => ConfigEvent::Approve(decision(proposal)),
        ConfigKind::Reject => ConfigEvent::Reject(decision(proposal)),
        ConfigKind::Propose | ConfigKind::Snapshot => ConfigEvent::Propose(proposal),
    }
}

fn decision_record(kind: ConfigKind, decision: &Decision, nonce: u64) -> ConfigRecord {
    ConfigRecord {
        principal: decision.principal.clone(),
        ..proposal_record(kind, &decision.proposal, nonce)
    }
}

fn proposal_record(kind: ConfigKind, proposal: &Proposal, nonce: u64) -> ConfigRecord {
    ConfigRecord {
        kind,
        nonce,
        principal: String::new(),
        proposer: proposal.proposer.clone(),
        proposal_offset: proposal.offset,
        version: proposal.base_version,
        digest: proposal.digest.clone(),
        through_offset: 0,
        document: encode_document(&proposal.document),
    }
}

fn service_text(service: &Service) -> ServiceJson {
    ServiceJson {
        name: service.name.clone(),
        detection: match service.detection {
            DetectionMode::Fast => DetectionJson::Fast,
            DetectionMode::Careful => DetectionJson::Careful,
        },
        floor_slots: service.floor_slots,
        deadline_ms: service.deadline_ms,
        retry_percent: service.retry_percent,
        max_body_bytes: service.max_body_bytes,
        hold_bytes: service.hold_bytes,
    }
}

fn service(text: &ServiceJson) -> Service {
    Service {
        name: text.name.clone(),
        detection: match text.detection {
            DetectionJson::Fast => DetectionMode::Fast,
            DetectionJson::Careful => DetectionMode::Careful,
        },
        floor_slots: text.floor_slots,
        deadline_ms: text.deadline_ms,
        retry_percent: text.retry_percent,
        max_body_bytes: text.max_body_bytes,
        hold_bytes: text.hold_bytes,
    }
}

fn route_text(route: &Route) -> RouteJson {
    let is_split = route.destinations.len() > 1;
    let split = route
        .destinations
        .iter()
        .filter(|_| is_split)
        .map(part_text);
    let only = route.destinations.first().filter(|_| !is_split);
    RouteJson {
        host: (!route.host.is_empty()).then(|| route.host.clone()),
        prefix: route.prefix.clone(),
        methods: route.methods.clone(),
        service: only.map(|part| part.service.clone()),
        split: split.collect(),
        kind: match route.kind {
            RequestKind::Safe => RequestKindJson::Safe,
            RequestKind::Unsafe => RequestKindJson::Unsafe,
            RequestKind::Upload => RequestKindJson::Upload,
        },
        timeout_ms: route.timeout_ms,
        target_ms: route.target_ms,
        priority: Some(route.priority),
        attempts_max: Some(route.attempts_max),
    }
}

/// Writes a route of all hosts to one service, with neither timeout nor target.
pub fn simple_route(prefix: &str, methods: &[&str], service: &str, kind: RequestKind) -> RouteJson {
    route_text(&Route {
        methods: methods.iter().map(|&method| method.to_owned()).collect(),
        ..Route::new(prefix, service, kind)
    })
}

fn part_text(part: &Destination) -> DestinationJson {
    DestinationJson {
        service: part.service.clone(),
        weight: part.weight,
    }
}

fn route(text: &RouteJson) -> Route {
    let only = text.service.iter().map(|service| Destination {
        service: service.clone(),
        weight: 1,
    });
    let split = text.split.iter().map(|part| Destination {
        service: part.service.clone(),
        weight: part.weight,
    });
    Route {
        host: text.host.clone().unwrap_or_default(),
        prefix: text.prefix.clone(),
        methods: text.methods.clone(),
        destinations: only.chain(split).collect(),
        kind: match text.kind {
            RequestKindJson::Safe => RequestKind::Safe,
            RequestKindJson::Unsafe => RequestKind::Unsafe,
            RequestKindJson::Upload => RequestKind::Upload,
        },
        timeout_ms: text.timeout_ms,
        target_ms: text.target_ms,
        priority: text.priority.unwrap_or_default(),
        attempts_max: text.attempts_max.unwrap_or(Route::ATTEMPTS_MAX),
    }
}

fn limits_text(limits: &CallerLimits) -> LimitsJson {
    LimitsJson {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        header_timeout_ms: limits.header_timeout_ms,
        idle_timeout_ms: limits.idle_timeout_ms,
    }
}

fn limits(text: &LimitsJson) -> CallerLimits {
    CallerLimits {
        header_bytes: text.header_bytes,
        body_bytes: text.body_bytes,
        header_timeout_ms: text.header_timeout_ms,
        idle_timeout_ms: text.idle_timeout_ms,
    }
}
