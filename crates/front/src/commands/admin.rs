//! Serves operators and their tools over HTTP.

use {
    crate::{commands::admin_calls, queries, AdminHandlers},
    std::{future::Future, sync::Arc},
    tokio::net::TcpListener,
    warp::Filter,
};

/// Serves operators on `listener` until `stop` ends.
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
