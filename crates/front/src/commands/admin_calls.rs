//! Administration calls that change the configuration; each requires the token of a principal.

use {
    crate::{queries::json_reply, AdminHandlers},
    bytes::Bytes,
    futures_util::future::BoxFuture,
    std::{convert::Infallible, sync::Arc},
    types::ResultCode,
    warp::{http::StatusCode, reply::Response, Filter, Rejection, Reply},
    wire::{from_json, generated::AdminResponse},
};

/// Largest body of an administration call, in bytes.
const MAX_CALL_BYTES: u64 = 16 << 20;

/// The pending response of a call, or the error message if its body can't be parsed.
type PendingResponse = Result<BoxFuture<'static, AdminResponse>, String>;
/// Parses the body of a call and passes it to the handler on behalf of the principal.
type ChangeCall = Box<dyn Fn(&AdminHandlers, String, &[u8]) -> PendingResponse + Send + Sync>;

/// Returns the routes of the calls that change the configuration.
pub(crate) fn write_routes(
    admin: Arc<AdminHandlers>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let propose: ChangeCall = Box::new(|admin, principal, body| {
        let request = from_json("proposal", body).map_err(|error| error.to_string())?;
        Ok((admin.propose)(principal, request))
    });
    let approve: ChangeCall = Box::new(|admin, principal, body| {
        let request = from_json("approval", body).map_err(|error| error.to_string())?;
        Ok((admin.approve)(principal, request))
    });
    let reject: ChangeCall = Box::new(|admin, principal, body| {
        let request = from_json("rejection", body).map_err(|error| error.to_string())?;
        Ok((admin.reject)(principal, request))
    });
    let handlers = Arc::clone(&admin);
    call_route("propose", propose, admin)
        .or(call_route("approve", approve, Arc::clone(&handlers)))
        .or(call_route("reject", reject, handlers))
}

fn call_route(
    name: &'static str,
    call: ChangeCall,
    admin: Arc<AdminHandlers>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let call = Arc::new(call);
    warp::path!("config" / String)
        .and(warp::post())
        .and_then(move |action: String| async move {
            if action == name {
                Ok(())
            } else {
                Err(warp::reject::not_found())
            }
        })
        .untuple_one()
        .and(warp::header::optional::<String>("authorization"))
        .and(warp::body::content_length_limit(MAX_CALL_BYTES))
        .and(warp::body::bytes())
        .and_then(move |authorization: Option<String>, body: Bytes| {
            let call = Arc::clone(&call);
            let admin = Arc::clone(&admin);
            async move {
                let authorization = authorization.unwrap_or_default();
                Ok::<_, Infallible>(
                    authenticate_and_call(&call, &admin, &authorization, &body).await,
                )
            }
        })
}

async fn authenticate_and_call(
    call: &ChangeCall,
    admin: &AdminHandlers,
    authorization: &str,
    body: &[u8],
) -> Response {
    let token = authorization.strip_prefix("Bearer ").unwrap_or_default();
    let Some(principal) = (admin.authenticate)(token) else {
        return http_response(&error_response(ResultCode::Unauthorised, ""));
    };
    match call(admin, principal, body) {
        Ok(pending) => http_response(&pending.await),
        Err(error) => http_response(&error_response(ResultCode::BadRequest, &error)),
    }
}

fn error_response(code: ResultCode, detail: &str) -> AdminResponse {
    AdminResponse {
        code: code.number().into(),
        text: format!("{} {detail}", code.message()).trim_end().to_owned(),
        offset: 0,
        digest: String::new(),
        version: 0,
        findings: Vec::new(),
    }
}

fn http_response(response: &AdminResponse) -> Response {
    let code = ResultCode::ALL
        .iter()
        .find(|code| u32::from(code.number()) == response.code);
    let status = code.map_or(500, |code| code.http_status());
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    json_reply(response, status)
}
