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

/// Starts to follow `service`'s stream, unless this node follows it already.
pub(crate) fn follow_ejections(node: &Arc<Node>, service: &str) {
    let is_new = node.ejections.with(shard_hash(service), |folds| {
        let known = folds.contains_key(service);
        folds
            .entry(service.to_owned())
            .or_insert_with(EjectionReplica::new);
        !known
    });
    if is_new {
        tokio::spawn(follow_stream(Arc::clone(node), service.to_owned()));
    }
}

async fn follow_stream(node: Arc<Node>, service: String) {
    let with = |node: &Arc<Node>, service: &str| (Arc::clone(node), service.to_owned());
    let (for_offset, offset_service) = with(&node, &service);
    let (for_take, take_service) = with(&node, &service);
    let (for_skip, skip_service) = with(&node, &service);
    let (for_wanted, wanted_service) = with(&node, &service);
    let follower = StreamHandler {
        next_offset: Box::new(move || {
            with_ejections(&for_offset, &offset_service, |fold| {
                queries::next_offset(fold)
            })
        }),
        handle_records: Box::new(move |answer| {
            for record in &answer.records {
                let age_ms = answer.now_ms.saturating_sub(record.at_ms);
                take(&for_take, &take_service, record, age_ms);
            }
        }),
        should_continue: Box::new(move || {
            for_wanted
                .ejections
                .with(shard_hash(wanted_service.as_str()), |folds| {
                    folds.contains_key(&wanted_service)
                })
        }),
        on_trimmed: Box::new(move |first_offset, _| {
            with_ejections(&for_skip, &skip_service, |fold| {
                commands::skip_to(fold, first_offset);
            });
        }),
    };
    follow(&node.platform, &ejection_stream_name(&service), &follower).await;
}

/// Forgets the streams of the services of which this node owns no pool any more.
pub(crate) fn unfollow_unowned(node: &Node) {
    let mut owned = HashSet::new();
    node.pools.for_each(|state| {
        owned.insert(state.service.clone());
    });
    node.ejections
        .for_each(|folds| folds.retain(|service, _| owned.contains(service)));
}

/// Runs `work` on the fold of `service`'s ejections, on an empty one if it is not followed.
pub(crate) fn with_ejections<Output, Work>(node: &Node, service: &str, work: Work) -> Output
where
    Work: FnOnce(&mut EjectionReplica) -> Output,
{
    node.ejections
        .with(shard_hash(service), |folds| match folds.get_mut(service) {
            Some(fold) => work(fold),
            None => work(&mut EjectionReplica::new()),
        })
}

fn take(node: &Node, service: &str, record: &LogRecord, age_ms: u64) {
    let text: EjectionRecord = match from_json("ejection record", record.body.as_bytes()) {
        Ok(text) => text,
        Err(error) => return warn!("offset {} of {service}: {error}", record.offset),
    };
    let entry = convert::decode_ejection_event(&text);
    let now_ms = node.now_ms();
    let took_effect = with_ejections(node, service, |fold| {
        commands::apply_event(fold, record.offset, &entry, record.at_ms, age_ms, now_ms)
    });
    if text.proposer == node.settings.instance {
        let verdict = if took_effect { "accepted" } else { "void" };
        node.metrics.ejections.with_label_values(&[verdict]).inc();
    }
    let decision = PlacementDecision {
        service: service.to_owned(),
        data_centre: String::new(),
        server: text.server.clone(),
        standing: text.kind.to_string(),
        reason: format!("took effect: {took_effect}, proved {}", text.proved_slots),
    };
    info!(target: "decision.placement", "{}", to_json(&decision));
}
