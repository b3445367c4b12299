//! Serves other instances over JSON-RPC.

use {
    crate::{
        commands::{
            claim_response, eject::local_healthy_slots, permit_acquire, permit_release,
            pool_handover,
        },
        queries::config_answer,
        Node, Stage,
    },
    jsonrpsee::{
        server::{Server, ServerConfig, ServerHandle},
        types::{ErrorObject, ErrorObjectOwned, Params},
        Extensions, RpcModule,
    },
    std::{future::Future, io, net::TcpListener, sync::Arc},
    types::ResultCode,
    wire::generated::{
        ClaimResponseRequest, ConfigRequest, HealthySlotsRequest, PermitRequest, PermitReturn,
        PoolEvidence, PoolRequest, SyncRequest,
    },
};

/// Most connections from other instances.
const CONNECTIONS_MAX: u32 = 10_000;
/// Largest message, in bytes; holds a stored answer in hex.
const MESSAGE_MAX_BYTES: u32 = 32 << 20;

/// Serves the node's methods on `listener`.
///
/// # Errors
///
/// The listener can't be used, or a method's name stands twice.
pub(crate) fn serve_rpc(node: &Arc<Node>, listener: TcpListener) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .ws_only()
        .max_connections(CONNECTIONS_MAX)
        .max_request_body_size(MESSAGE_MAX_BYTES)
        .max_response_body_size(MESSAGE_MAX_BYTES)
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(listener)?;
    let module = methods(node).map_err(io::Error::other)?;
    Ok(server.start(module))
}

fn methods(node: &Arc<Node>) -> Result<RpcModule<Arc<Node>>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(Arc::clone(node));
    add(
        &mut module,
        "permit_take",
        |node, ask: PermitRequest| async move {
            if node.stage() >= Stage::Draining {
                return Err(stopping());
            }
            Ok(permit_acquire::acquire_permit(&node, &ask).await)
        },
    )?;
    add(
        &mut module,
        "permit_return",
        |node, back: PermitReturn| async move {
            permit_release::release_permit(&node, &back);
            Ok(true)
        },
    )?;
    add(
        &mut module,
        "claim_answer",
        |node, ask: ClaimResponseRequest| async move {
            Ok(claim_response::claim_response(&node, &ask).await)
        },
    )?;
    add(
        &mut module,
        "config_current",
        |node, ask: ConfigRequest| async move { Ok(config_answer(&node, ask.known_version)) },
    )?;
    add(
        &mut module,
        "proved",
        |node, ask: HealthySlotsRequest| async move {
            Ok(local_healthy_slots(&node, &ask.service, &ask.area, None))
        },
    )?;
    add(
        &mut module,
        "pool_evidence",
        |node, ask: PoolRequest| async move { Ok(pool_handover::local_pool_snapshot(&node, &ask)) },
    )?;
    add(
        &mut module,
        "pool_adopt",
        |node, evidence: PoolEvidence| async move {
            pool_handover::merge_pool_snapshot(&node, &evidence);
            Ok(true)
        },
    )?;
    add(&mut module, "sync", |node, ask: SyncRequest| async move {
        match node.feed.get() {
            Some(feed) => {
                feed::commands::record_requester(feed, &ask.own);
                Ok(feed::queries::sync_response(feed, &ask).await)
            }
            None => Err(stopping()),
        }
    })?;
    Ok(module)
}

/// Adds one method that takes one message and returns one.
fn add<Ask, Answer, Method, Answering>(
    module: &mut RpcModule<Arc<Node>>,
    name: &'static str,
    method: Method,
) -> Result<(), jsonrpsee::core::RegisterMethodError>
where
    Ask: serde::de::DeserializeOwned + Send + 'static,
    Answer: serde::Serialize + Clone + Send + 'static,
    Method: Fn(Arc<Node>, Ask) -> Answering + Clone + Send + Sync + 'static,
    Answering: Future<Output = Result<Answer, ErrorObjectOwned>> + Send + 'static,
{
    let handle = move |params: Params<'static>, node: Arc<Arc<Node>>, _: Extensions| {
        let method = method.clone();
        async move {
            let ask = params.one::<Ask>()?;
            method(Arc::clone(&node), ask).await
        }
    };
    module.register_async_method(name, handle)?;
    Ok(())
}

fn stopping() -> ErrorObjectOwned {
    let code = ResultCode::Stopping;
    ErrorObject::owned(i32::from(code.number()), code.message(), None::<()>)
}
