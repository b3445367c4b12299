//! Follows the ejection streams of the services whose pools this node owns.

use {
    crate::Node,
    log::{info, warn},
    outlier::{commands, queries, EjectionReplica},
    std::{collections::HashSet, sync::Arc},
    stream::queries::{follow, StreamHandler},
    types::shard_hash,
    wire::{
        convert, from_json,
        generated::{EjectionRecord, LogRecord, PlacementDecision},
        to_json,
    },
};

/// Returns the name of a service's ejection stream.
pub(crate) fn ejection_stream_name(service: &str) -> String {
    format!("ejections-{service}")
}

/// Starts following the ejection stream of `service`, unless this node already follows it.
pub(crate) fn follow_ejections(node: &Arc<Node>, service: &str) {
    let is_new = node.ejections.with(shard_hash(service), |replicas| {
        let is_followed = replicas.contains_key(service);
        replicas
            .entry(service.to_owned())
            .or_insert_with(EjectionReplica::new);
        !is_followed
    });
    if is_new {
        tokio::spawn(follow_stream(Arc::clone(node), service.to_owned()));
    }
}

async fn follow_stream(node: Arc<Node>, service: String) {
    let clones = |node: &Arc<Node>, service: &str| (Arc::clone(node), service.to_owned());
    let (for_offset, offset_service) = clones(&node, &service);
    let (for_records, records_service) = clones(&node, &service);
    let (for_trim, trim_service) = clones(&node, &service);
    let (for_continue, continue_service) = clones(&node, &service);
    let (for_loss, loss_service) = clones(&node, &service);
    let handler = StreamHandler {
        next_offset: Box::new(move || {
            with_ejections(&for_offset, &offset_service, |replica| {
                queries::next_offset(replica)
            })
        }),
        handle_records: Box::new(move |response| {
            for record in &response.records {
                let age_ms = response.now_ms.saturating_sub(record.at_ms);
                apply_record(&for_records, &records_service, record, age_ms);
            }
        }),
        should_continue: Box::new(move || {
            for_continue
                .ejections
                .with(shard_hash(continue_service.as_str()), |replicas| {
                    replicas.contains_key(&continue_service)
                })
        }),
        on_trimmed: Box::new(move |first_offset, _| {
            with_ejections(&for_trim, &trim_service, |replica| {
                commands::skip_to(replica, first_offset);
            });
        }),
        on_rolled_back: Box::new(move || {
            with_ejections(&for_loss, &loss_service, commands::start_over);
        }),
    };
    follow(&node.platform, &ejection_stream_name(&service), &handler).await;
}

/// Stops following the streams of services of which this node no longer owns a pool.
pub(crate) fn unfollow_unowned(node: &Node) {
    let mut owned = HashSet::new();
    node.pools.for_each(|state| {
        owned.insert(state.service.clone());
    });
    node.ejections
        .for_each(|replicas| replicas.retain(|service, _| owned.contains(service)));
}

/// Calls `work` with the ejection replica of `service`, or with an empty one if its stream is not followed.
pub(crate) fn with_ejections<Output, Work>(node: &Node, service: &str, work: Work) -> Output
where
    Work: FnOnce(&mut EjectionReplica) -> Output,
{
    node.ejections.with(shard_hash(service), |replicas| {
        match replicas.get_mut(service) {
            Some(replica) => work(replica),
            None => work(&mut EjectionReplica::new()),
        }
    })
}

fn apply_record(node: &Node, service: &str, record: &LogRecord, age_ms: u64) {
    let decoded: EjectionRecord = match from_json("ejection record", record.body.as_bytes()) {
        Ok(decoded) => decoded,
        Err(error) => {
            return warn!(
            "ignored the record at offset {} of the ejection stream of service {service}: {error}",
            record.offset
        )
        }
    };
    let event = convert::decode_ejection_event(&decoded);
    let now_ms = node.now_ms();
    let took_effect = with_ejections(node, service, |replica| {
        commands::apply_event(replica, record.offset, &event, record.at_ms, age_ms, now_ms)
    });
    if decoded.proposer == node.settings.instance {
        let verdict = if took_effect { "accepted" } else { "void" };
        node.metrics.ejections.with_label_values(&[verdict]).inc();
    }
    let decision = PlacementDecision {
        service: service.to_owned(),
        data_centre: String::new(),
        server: decoded.server.clone(),
        standing: decoded.kind.to_string(),
        reason: format!(
            "took effect: {took_effect}, proved {}",
            decoded.proved_slots
        ),
    };
    info!(target: "decision.placement", "{}", to_json(&decision));
}
