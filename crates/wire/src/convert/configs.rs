//! Conversions of configuration documents and the records of the config stream.

use {
    crate::generated::{
        AccountJson, AccountSpanJson, ConfigKind, ConfigPatchJson, ConfigRecord, DestinationJson,
        DetectionJson, DocumentJson, FindingJson, LimitsJson, RequestKindJson, RouteJson,
        RouteSpanJson, ServiceJson,
    },
    config::{
        AcceptedConfig, Account, ApiKeyDigest, CallerLimits, ConfigEvent, Decision, Destination,
        DetectionMode, Document, DocumentPatch, Proposal, RequestKind, Route, Service, Span,
        ValidationError,
    },
};

/// Encodes a document.
pub fn encode_document(document: &Document) -> DocumentJson {
    DocumentJson {
        services: document.services.iter().map(encode_service).collect(),
        routes: document.routes.iter().map(encode_route).collect(),
        limits: document.limits.as_ref().map(encode_limits),
        accounts: document.accounts.iter().map(encode_account).collect(),
    }
}

/// Decodes a document without validating it.
pub fn decode_document(json: &DocumentJson) -> Document {
    Document {
        services: json.services.iter().map(decode_service).collect(),
        routes: json.routes.iter().map(decode_route).collect(),
        limits: json.limits.as_ref().map(decode_limits),
        accounts: json.accounts.iter().map(decode_account).collect(),
    }
}

/// Encodes the changes from the version `base_version` to the accepted one.
pub fn encode_config_patch(
    base_version: u64,
    accepted: &AcceptedConfig,
    patch: &DocumentPatch,
) -> ConfigPatchJson {
    let routes = patch.routes.iter().map(|span| RouteSpanJson {
        kept_from: span.kept_from as u64,
        kept: span.kept as u64,
        added: span.added.iter().map(encode_route).collect(),
    });
    let accounts = patch.accounts.iter().map(|span| AccountSpanJson {
        kept_from: span.kept_from as u64,
        kept: span.kept as u64,
        added: span.added.iter().map(encode_account).collect(),
    });
    ConfigPatchJson {
        base_version,
        version: accepted.version,
        digest: accepted.digest.clone(),
        through_offset: accepted.through_offset,
        services: patch.services.iter().map(encode_service).collect(),
        limits: patch.limits.as_ref().map(encode_limits),
        routes: routes.collect(),
        accounts: accounts.collect(),
    }
}

/// Decodes the changes of a document.
pub fn decode_document_patch(json: &ConfigPatchJson) -> DocumentPatch {
    let routes = json.routes.iter().map(|span| Span {
        kept_from: span.kept_from as usize,
        kept: span.kept as usize,
        added: span.added.iter().map(decode_route).collect(),
    });
    let accounts = json.accounts.iter().map(|span| Span {
        kept_from: span.kept_from as usize,
        kept: span.kept as usize,
        added: span.added.iter().map(decode_account).collect(),
    });
    DocumentPatch {
        services: json.services.iter().map(decode_service).collect(),
        limits: json.limits.as_ref().map(decode_limits),
        routes: routes.collect(),
        accounts: accounts.collect(),
    }
}

/// Encodes validation findings.
pub fn encode_findings(findings: &[ValidationError]) -> Vec<FindingJson> {
    findings
        .iter()
        .map(|finding| FindingJson {
            path: finding.path.clone(),
            sentence: finding.message.clone(),
        })
        .collect()
}

/// Encodes an event of the config stream; `nonce` identifies the record if the response to its append is lost.
pub fn encode_config_event(event: &ConfigEvent, nonce: u64) -> ConfigRecord {
    match event {
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

/// Decodes an event of the config stream.
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

fn encode_service(service: &Service) -> ServiceJson {
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

fn decode_service(json: &ServiceJson) -> Service {
    Service {
        name: json.name.clone(),
        detection: match json.detection {
            DetectionJson::Fast => DetectionMode::Fast,
            DetectionJson::Careful => DetectionMode::Careful,
        },
        floor_slots: json.floor_slots,
        deadline_ms: json.deadline_ms,
        retry_percent: json.retry_percent,
        max_body_bytes: json.max_body_bytes,
        hold_bytes: json.hold_bytes,
    }
}

fn encode_route(route: &Route) -> RouteJson {
    let is_split = route.destinations.len() > 1;
    let split = route
        .destinations
        .iter()
        .filter(|_| is_split)
        .map(encode_destination);
    let only = route.destinations.first().filter(|_| !is_split);
    RouteJson {
        host: (!route.host.is_empty()).then(|| route.host.clone()),
        prefix: route.prefix.clone(),
        methods: route.methods.clone(),
        service: only.map(|destination| destination.service.clone()),
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
        public: route.is_public.then_some(true),
    }
}

/// Returns a route for all hosts to one service, without timeout and latency target.
pub fn simple_route(prefix: &str, methods: &[&str], service: &str, kind: RequestKind) -> RouteJson {
    encode_route(&Route {
        methods: methods.iter().map(|&method| method.to_owned()).collect(),
        ..Route::new(prefix, service, kind)
    })
}

fn encode_destination(destination: &Destination) -> DestinationJson {
    DestinationJson {
        service: destination.service.clone(),
        weight: destination.weight,
    }
}

fn decode_route(json: &RouteJson) -> Route {
    let only = json.service.iter().map(|service| Destination {
        service: service.clone(),
        weight: 1,
    });
    let split = json.split.iter().map(|destination| Destination {
        service: destination.service.clone(),
        weight: destination.weight,
    });
    Route {
        host: json.host.clone().unwrap_or_default(),
        prefix: json.prefix.clone(),
        methods: json.methods.clone(),
        destinations: only.chain(split).collect(),
        kind: match json.kind {
            RequestKindJson::Safe => RequestKind::Safe,
            RequestKindJson::Unsafe => RequestKind::Unsafe,
            RequestKindJson::Upload => RequestKind::Upload,
        },
        timeout_ms: json.timeout_ms,
        target_ms: json.target_ms,
        priority: json.priority.unwrap_or_default(),
        attempts_max: json.attempts_max.unwrap_or(Route::ATTEMPTS_MAX),
        is_public: json.public.unwrap_or_default(),
    }
}

fn encode_account(account: &Account) -> AccountJson {
    AccountJson {
        name: account.name.clone(),
        key_digests: account.key_digests.iter().map(hex::encode).collect(),
        priority: Some(account.priority),
        rate_per_s: (account.rate_milli > 0).then_some(account.rate_milli as f64 / 1_000.0),
        burst: (account.burst_requests > 0).then_some(account.burst_requests),
    }
}

fn decode_account(json: &AccountJson) -> Account {
    Account {
        name: json.name.clone(),
        key_digests: json
            .key_digests
            .iter()
            .map(|text| decode_key(text))
            .collect(),
        priority: json.priority.unwrap_or_default(),
        rate_milli: json
            .rate_per_s
            .map_or(0, |rate| (rate * 1_000.0).round() as u64),
        burst_requests: json.burst.unwrap_or_default(),
    }
}

/// Decodes the digest of an API key. One that is malformed becomes the digest of no key, so that the validation reports
/// it instead of the decoding losing the whole document.
fn decode_key(text: &str) -> ApiKeyDigest {
    let mut digest = ApiKeyDigest::default();
    if hex::decode_to_slice(text, &mut digest).is_err() {
        return ApiKeyDigest::default();
    }
    digest
}

fn encode_limits(limits: &CallerLimits) -> LimitsJson {
    LimitsJson {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        header_timeout_ms: limits.header_timeout_ms,
        idle_timeout_ms: limits.idle_timeout_ms,
    }
}

fn decode_limits(json: &LimitsJson) -> CallerLimits {
    CallerLimits {
        header_bytes: json.header_bytes,
        body_bytes: json.body_bytes,
        header_timeout_ms: json.header_timeout_ms,
        idle_timeout_ms: json.idle_timeout_ms,
    }
}
