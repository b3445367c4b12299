//! Serves the administration API over HTTP.

use {
    crate::{commands::admin_calls, queries, AdminHandlers},
    std::{future::Future, sync::Arc},
    tokio::net::TcpListener,
    warp::Filter,
};

/// Serves the administration API on `listener` until `stop` completes.
pub async fn serve_admin<Stop>(listener: TcpListener, admin: Arc<AdminHandlers>, stop: Stop)
where
    Stop: Future<Output = ()> + Send + 'static,
{
    let routes = queries::read_routes(Arc::clone(&admin)).or(admin_calls::write_routes(admin));
    warp::serve(routes)
        .incoming(listener)
        .graceful(stop)
        .run()
        .await;
}
