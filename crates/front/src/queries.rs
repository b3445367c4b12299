//! Queries: read-only administration calls.

use {
    crate::AdminHandlers,
    serde_json::json,
    std::sync::Arc,
    warp::{
        http::{header::CONTENT_TYPE, HeaderValue, StatusCode},
        reply::Response,
        Filter, Rejection, Reply,
    },
    wire::to_json,
};

/// Returns the routes of the read-only calls.
pub(crate) fn read_routes(
    admin: Arc<AdminHandlers>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let ready = read_route("ready", Arc::clone(&admin), |admin| {
        let ready = (admin.is_ready)();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json_reply(&json!({ "ready": ready }), status)
    });
    let metrics = read_route("metrics", Arc::clone(&admin), |admin| {
        (admin.metrics)().into_response()
    });
    let status = read_route("status", Arc::clone(&admin), |admin| {
        json_reply(&(admin.status)(), StatusCode::OK)
    });
    let config = read_route("config", Arc::clone(&admin), |admin| {
        json_reply(&(admin.config)(), StatusCode::OK)
    });
    let history = read_route("history", admin, |admin| {
        json_reply(&(admin.history)(), StatusCode::OK)
    });
    ready.or(metrics).or(status).or(config).or(history)
}

/// Creates a JSON response.
pub(crate) fn json_reply<Value>(value: &Value, status: StatusCode) -> Response
where
    Value: serde::Serialize,
{
    let mut response = to_json(value).into_response();
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn read_route<Read>(
    name: &'static str,
    admin: Arc<AdminHandlers>,
    read: Read,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone
where
    Read: Fn(&AdminHandlers) -> Response + Clone + Send + Sync + 'static,
{
    warp::path(name)
        .and(warp::path::end())
        .and(warp::get())
        .map(move || read(&admin))
}
