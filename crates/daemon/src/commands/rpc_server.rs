//! JSON-RPC server for the other instances.

use {
    crate::{
        commands::{
            claim_response, eject::local_healthy_slots, permit_acquire, permit_release,
            pool_handover, quota_calls,
        },
        queries::config_response,
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
        ClaimResponseRequest, ConfigPartRequest, ConfigRequest, HealthySlotsRequest, PermitRequest,
        PermitReturn, PoolEvidence, PoolRequest, QuotaTake, QuotaTimePass, SyncRequest,
    },
};

/// Maximum connections from other instances.
const CONNECTIONS_MAX: u32 = 10_000;
/// Maximum message size, in bytes; fits a stored response in hexadecimal.
const MESSAGE_MAX_BYTES: u32 = 32 << 20;

/// Serves the node's methods on `listener`.
///
/// # Errors
///
/// The listener can't be used, or a method name is registered twice.
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
    let module = build_module(node).map_err(io::Error::other)?;
    Ok(server.start(module))
}

fn build_module(
    node: &Arc<Node>,
) -> Result<RpcModule<Arc<Node>>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(Arc::clone(node));
    register_method(
        &mut module,
        "permit_take",
        |node, request: PermitRequest| async move {
            if node.stage() >= Stage::Draining {
                return Err(stopping_error());
            }
            Ok(permit_acquire::acquire_permit(&node, &request).await)
        },
    )?;
    register_method(
        &mut module,
        "permit_return",
        |node, permit_return: PermitReturn| async move {
            permit_release::release_permit(&node, &permit_return);
            Ok(true)
        },
    )?;
    register_method(
        &mut module,
        "claim_answer",
        |node, request: ClaimResponseRequest| async move {
            Ok(claim_response::claim_response(&node, &request).await)
        },
    )?;
    register_method(
        &mut module,
        "config_current",
        |node, request: ConfigRequest| async move { Ok(config_response(&node, request.known_version)) },
    )?;
    register_method(
        &mut module,
        "proved",
        |node, request: HealthySlotsRequest| async move {
            Ok(local_healthy_slots(
                &node,
                &request.service,
                &request.area,
                None,
            ))
        },
    )?;
    register_method(
        &mut module,
        "pool_evidence",
        |node, request: PoolRequest| async move {
            Ok(pool_handover::local_pool_snapshot(&node, &request))
        },
    )?;
    register_method(
        &mut module,
        "pool_adopt",
        |node, evidence: PoolEvidence| async move {
            pool_handover::merge_pool_snapshot(&node, &evidence);
            Ok(true)
        },
    )?;
    register_method(
        &mut module,
        "quota_take",
        |node, request: QuotaTake| async move {
            if node.stage() >= Stage::Draining {
                return Err(stopping_error());
            }
            Ok(quota_calls::respond_to_take(&node, &request))
        },
    )?;
    register_method(
        &mut module,
        "quota_time",
        |node, request: QuotaTimePass| async move { Ok(quota_calls::respond_to_time(&node, &request)) },
    )?;
    register_feed_methods(&mut module)?;
    Ok(module)
}

/// Registers the methods through which instances get lists and configurations from one another.
fn register_feed_methods(
    module: &mut RpcModule<Arc<Node>>,
) -> Result<(), jsonrpsee::core::RegisterMethodError> {
    register_method(module, "sync", |node, request: SyncRequest| async move {
        match node.feed.get() {
            Some(feed) => {
                feed::commands::record_request(feed, &request);
                Ok(feed::queries::sync_response(feed, &request).await)
            }
            None => Err(stopping_error()),
        }
    })?;
    register_method(
        module,
        "config_part",
        |node, request: ConfigPartRequest| async move {
            match node.feed.get() {
                Some(feed) => Ok(feed::commands::send_config_part(feed, &request)),
                None => Err(stopping_error()),
            }
        },
    )?;
    Ok(())
}

/// Registers a method that takes one request message and returns one response message or an error.
fn register_method<Request, Response, Method, ResponseFuture>(
    module: &mut RpcModule<Arc<Node>>,
    name: &'static str,
    method: Method,
) -> Result<(), jsonrpsee::core::RegisterMethodError>
where
    Request: serde::de::DeserializeOwned + Send + 'static,
    Response: serde::Serialize + Clone + Send + 'static,
    Method: Fn(Arc<Node>, Request) -> ResponseFuture + Clone + Send + Sync + 'static,
    ResponseFuture: Future<Output = Result<Response, ErrorObjectOwned>> + Send + 'static,
{
    let handler = move |params: Params<'static>, node: Arc<Arc<Node>>, _: Extensions| {
        let method = method.clone();
        async move {
            let request = params.one::<Request>()?;
            method(Arc::clone(&node), request).await
        }
    };
    module.register_async_method(name, handler)?;
    Ok(())
}

fn stopping_error() -> ErrorObjectOwned {
    let code = ResultCode::Stopping;
    ErrorObject::owned(i32::from(code.number()), code.message(), None::<()>)
}
