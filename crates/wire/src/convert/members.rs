//! Conversion of the platform's list.

use {
    crate::{
        generated::{
            ListedInstance, ListedServer, MemberList, PresenceJson, RemovedServer, SyncResponse,
        },
        CodecError,
    },
    member::{
        BackendServer, Delta, Instance, Presence, ReportVersion, View, DEFAULT_CAPACITY_PERMILLE,
    },
    std::net::SocketAddr,
};

/// Reads the platform's list.
///
/// # Errors
///
/// The first address that is not an IP number and a port.
pub fn decode_member_list(list: &MemberList) -> Result<View, CodecError> {
    let instances = list
        .instances
        .iter()
        .map(decode_instance)
        .collect::<Result<_, _>>()?;
    let servers = list.servers.iter().map(server).collect::<Result<_, _>>()?;
    Ok(View::new(list.version, instances, servers))
}

/// Writes the platform's list.
pub fn encode_member_list(
    version: u64,
    instances: &[Instance],
    servers: &[BackendServer],
) -> MemberList {
    MemberList {
        version,
        instances: instances.iter().map(encode_instance).collect(),
        servers: servers.iter().map(server_text).collect(),
    }
}

/// Reads what another instance says has changed.
///
/// # Errors
///
/// The first address that is not an IP number and a port.
pub fn decode_delta(answer: &SyncResponse) -> Result<Delta, CodecError> {
    Ok(Delta {
        version: answer.list_version,
        is_full: answer.whole,
        removals_final: answer.settled,
        servers: answer
            .servers
            .iter()
            .map(server)
            .collect::<Result<_, _>>()?,
        instances: answer
            .instances
            .iter()
            .map(decode_instance)
            .collect::<Result<_, _>>()?,
        gone_servers: answer.gone_servers.iter().map(gone_server).collect(),
        gone_instances: answer.gone_instances.clone(),
    })
}

/// Writes what has changed for another instance; the configuration is added by the caller.
pub fn encode_delta(delta: &Delta, feed: u64, source_age_ms: u64) -> SyncResponse {
    SyncResponse {
        feed,
        config: None,
        list_version: delta.version,
        whole: delta.is_full,
        settled: delta.removals_final,
        source_age_ms,
        instances: delta.instances.iter().map(encode_instance).collect(),
        servers: delta.servers.iter().map(server_text).collect(),
        gone_instances: delta.gone_instances.clone(),
        gone_servers: delta.gone_servers.iter().map(gone_server_text).collect(),
    }
}

fn gone_server(text: &RemovedServer) -> (String, ReportVersion) {
    let report_version = ReportVersion {
        started_at_ms: text.born_ms,
        sequence: text.sequence,
    };
    (text.name.clone(), report_version)
}

fn gone_server_text((name, report_version): &(String, ReportVersion)) -> RemovedServer {
    RemovedServer {
        name: name.clone(),
        born_ms: report_version.started_at_ms,
        sequence: report_version.sequence,
    }
}

/// Writes one instance as listed.
pub fn encode_instance(instance: &Instance) -> ListedInstance {
    ListedInstance {
        name: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        region: Some(instance.region.clone()),
        rpc_address: instance.rpc_address.to_string(),
        presence: presence_text(instance.presence),
        capacity_permille: Some(instance.capacity_permille),
        incarnation: Some(instance.incarnation),
    }
}

fn server_text(server: &BackendServer) -> ListedServer {
    ListedServer {
        name: server.name.clone(),
        service: server.service.clone(),
        data_centre: server.data_centre.clone(),
        region: Some(server.region.clone()),
        address: server.address.to_string(),
        slots: server.slots,
        presence: presence_text(server.presence),
        born_ms: Some(server.started_at_ms),
        sequence: Some(server.sequence),
        cold_ms: Some(server.warmup_left_ms),
    }
}

fn presence_text(presence: Presence) -> PresenceJson {
    match presence {
        Presence::Live => PresenceJson::Live,
        Presence::Leaving => PresenceJson::Leaving,
    }
}

/// Reads one instance as listed.
///
/// # Errors
///
/// The address is not an IP number and a port.
pub fn decode_instance(text: &ListedInstance) -> Result<Instance, CodecError> {
    let address = address(&text.rpc_address)?;
    let plain = Instance::new(&text.name, &text.data_centre, address);
    Ok(Instance {
        region: text.region.clone().unwrap_or_else(|| plain.region.clone()),
        presence: presence(text.presence),
        capacity_permille: text.capacity_permille.unwrap_or(DEFAULT_CAPACITY_PERMILLE),
        incarnation: text.incarnation.unwrap_or_default(),
        ..plain
    })
}

fn server(text: &ListedServer) -> Result<BackendServer, CodecError> {
    let address = address(&text.address)?;
    let plain = BackendServer::new(
        &text.name,
        &text.service,
        &text.data_centre,
        address,
        text.slots,
    );
    Ok(BackendServer {
        region: text.region.clone().unwrap_or_else(|| plain.region.clone()),
        presence: presence(text.presence),
        started_at_ms: text.born_ms.unwrap_or_default(),
        sequence: text.sequence.unwrap_or_default(),
        warmup_left_ms: text.cold_ms.unwrap_or_default(),
        ..plain
    })
}

fn presence(text: PresenceJson) -> Presence {
    match text {
        PresenceJson::Live => Presence::Live,
        PresenceJson::Leaving => Presence::Leaving,
    }
}

fn address(text: &str) -> Result<SocketAddr, CodecError> {
    text.parse().map_err(|_| CodecError::Field {
        what: "address",
        text: text.to_owned(),
    })
}
