//! Conversions of the platform's member list and its changes.

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

/// Decodes the platform's member list.
///
/// # Errors
///
/// An address is not an IP address with a port; the first such error is returned.
pub fn decode_member_list(list: &MemberList) -> Result<View, CodecError> {
    let instances = list
        .instances
        .iter()
        .map(decode_instance)
        .collect::<Result<_, _>>()?;
    let servers = list
        .servers
        .iter()
        .map(decode_server)
        .collect::<Result<_, _>>()?;
    Ok(View::new(list.version, instances, servers))
}

/// Encodes a member list.
pub fn encode_member_list(
    version: u64,
    instances: &[Instance],
    servers: &[BackendServer],
) -> MemberList {
    MemberList {
        version,
        instances: instances.iter().map(encode_instance).collect(),
        servers: servers.iter().map(encode_server).collect(),
    }
}

/// Decodes the changes received from another instance.
///
/// # Errors
///
/// An address is not an IP address with a port; the first such error is returned.
pub fn decode_delta(response: &SyncResponse) -> Result<Delta, CodecError> {
    Ok(Delta {
        version: response.list_version,
        is_full: response.whole,
        removals_final: response.settled,
        servers: response
            .servers
            .iter()
            .map(decode_server)
            .collect::<Result<_, _>>()?,
        instances: response
            .instances
            .iter()
            .map(decode_instance)
            .collect::<Result<_, _>>()?,
        gone_servers: response
            .gone_servers
            .iter()
            .map(decode_removed_server)
            .collect(),
        refused_servers: response
            .refused_servers
            .iter()
            .map(decode_removed_server)
            .collect(),
        gone_instances: response.gone_instances.clone(),
    })
}

/// Encodes the changes for another instance; the calling code adds the version of the configuration and the time for which
/// the request waited. `feed` is the id of the feed that assigned the version of the list, `source_age_ms` the age of the platform's
/// data in the list.
pub fn encode_delta(delta: &Delta, feed: u64, source_age_ms: u64) -> SyncResponse {
    SyncResponse {
        feed,
        config_version: 0,
        config_age_ms: 0,
        config_offset: None,
        superseded_age_ms: None,
        list_version: delta.version,
        whole: delta.is_full,
        settled: delta.removals_final,
        source_age_ms,
        store_era: None,
        waited_ms: 0,
        instances: delta.instances.iter().map(encode_instance).collect(),
        servers: delta.servers.iter().map(encode_server).collect(),
        gone_instances: delta.gone_instances.clone(),
        gone_servers: delta
            .gone_servers
            .iter()
            .map(encode_removed_server)
            .collect(),
        refused_servers: delta
            .refused_servers
            .iter()
            .map(encode_removed_server)
            .collect(),
    }
}

/// Decodes a removed server, with the version of its last report.
pub fn decode_removed_server(json: &RemovedServer) -> (String, ReportVersion) {
    let report_version = ReportVersion {
        started_at_ms: json.born_ms,
        sequence: json.sequence,
        is_lost_removal: json.lost.unwrap_or(false),
    };
    (json.name.clone(), report_version)
}

/// Encodes a removed server.
pub fn encode_removed_server((name, report_version): &(String, ReportVersion)) -> RemovedServer {
    RemovedServer {
        name: name.clone(),
        born_ms: report_version.started_at_ms,
        lost: report_version.is_lost_removal.then_some(true),
        sequence: report_version.sequence,
    }
}

/// Encodes an instance for the member list.
pub fn encode_instance(instance: &Instance) -> ListedInstance {
    ListedInstance {
        name: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        region: Some(instance.region.clone()),
        rpc_address: instance.rpc_address.to_string(),
        presence: encode_presence(instance.presence),
        capacity_permille: Some(instance.capacity_permille),
        incarnation: Some(instance.incarnation),
    }
}

fn encode_server(server: &BackendServer) -> ListedServer {
    ListedServer {
        name: server.name.clone(),
        service: server.service.clone(),
        data_centre: server.data_centre.clone(),
        region: Some(server.region.clone()),
        address: server.address.to_string(),
        slots: server.slots,
        presence: encode_presence(server.presence),
        born_ms: Some(server.started_at_ms),
        sequence: Some(server.sequence),
        cold_ms: Some(server.warmup_left_ms),
    }
}

fn encode_presence(presence: Presence) -> PresenceJson {
    match presence {
        Presence::Live => PresenceJson::Live,
        Presence::Leaving => PresenceJson::Leaving,
    }
}

/// Decodes an instance of the member list.
///
/// # Errors
///
/// The address is not an IP address with a port.
pub fn decode_instance(json: &ListedInstance) -> Result<Instance, CodecError> {
    let address = decode_address(&json.rpc_address)?;
    let defaults = Instance::new(&json.name, &json.data_centre, address);
    Ok(Instance {
        region: json
            .region
            .clone()
            .unwrap_or_else(|| defaults.region.clone()),
        presence: decode_presence(json.presence),
        capacity_permille: json.capacity_permille.unwrap_or(DEFAULT_CAPACITY_PERMILLE),
        incarnation: json.incarnation.unwrap_or_default(),
        ..defaults
    })
}

fn decode_server(json: &ListedServer) -> Result<BackendServer, CodecError> {
    let address = decode_address(&json.address)?;
    let defaults = BackendServer::new(
        &json.name,
        &json.service,
        &json.data_centre,
        address,
        json.slots,
    );
    Ok(BackendServer {
        region: json
            .region
            .clone()
            .unwrap_or_else(|| defaults.region.clone()),
        presence: decode_presence(json.presence),
        started_at_ms: json.born_ms.unwrap_or_default(),
        sequence: json.sequence.unwrap_or_default(),
        warmup_left_ms: json.cold_ms.unwrap_or_default(),
        ..defaults
    })
}

fn decode_presence(json: PresenceJson) -> Presence {
    match json {
        PresenceJson::Live => Presence::Live,
        PresenceJson::Leaving => Presence::Leaving,
    }
}

fn decode_address(text: &str) -> Result<SocketAddr, CodecError> {
    text.parse().map_err(|_| CodecError::Field {
        expected: "address",
        text: text.to_owned(),
    })
}
