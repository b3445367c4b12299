//! Administration calls that change the configuration; each needs a principal's token.

use {
    crate::{queries::reply, AdminHandlers},
    bytes::Bytes,
    futures_util::future::BoxFuture,
    std::{convert::Infallible, sync::Arc},
    types::ResultCode,
    warp::{http::StatusCode, reply::Response, Filter, Rejection, Reply},
    wire::{from_json, generated::AdminResponse},
};

/// Largest administrative call, in bytes.
const CALL_MAX_BYTES: u64 = 16 << 20;

/// A call that is under way, or the sentence that says why its body can't be read.
type Begun = Result<BoxFuture<'static, AdminResponse>, String>;
type Call = Box<dyn Fn(&AdminHandlers, String, &[u8]) -> Begun + Send + Sync>;

/// Returns the routes of the calls that change something.
pub(crate) fn write_routes(
    admin: Arc<AdminHandlers>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let propose: Call = Box::new(|admin, principal, body| {
        let ask = from_json("proposal", body).map_err(|error| error.to_string())?;
        Ok((admin.propose)(principal, ask))
    });
    let approve: Call = Box::new(|admin, principal, body| {
        let ask = from_json("approval", body).map_err(|error| error.to_string())?;
        Ok((admin.approve)(principal, ask))
    });
    let reject: Call = Box::new(|admin, principal, body| {
        let ask = from_json("rejection", body).map_err(|error| error.to_string())?;
        Ok((admin.reject)(principal, ask))
    });
    let base = Arc::clone(&admin);
    call_route("propose", propose, admin)
        .or(call_route("approve", approve, Arc::clone(&base)))
        .or(call_route("reject", reject, base))
}

fn call_route(
    name: &'static str,
    call: Call,
    admin: Arc<AdminHandlers>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let call = Arc::new(call);
    warp::path!("config" / String)
        .and(warp::post())
        .and_then(move |asked: String| async move {
            if asked == name {
                Ok(())
            } else {
                Err(warp::reject::not_found())
            }
        })
        .untuple_one()
        .and(warp::header::optional::<String>("authorization"))
        .and(warp::body::content_length_limit(CALL_MAX_BYTES))
        .and(warp::body::bytes())
        .and_then(move |authorization: Option<String>, body: Bytes| {
            let call = Arc::clone(&call);
            let admin = Arc::clone(&admin);
            async move {
                let authorization = authorization.unwrap_or_default();
                Ok::<_, Infallible>(perform(&call, &admin, &authorization, &body).await)
            }
        })
}

async fn perform(call: &Call, admin: &AdminHandlers, authorization: &str, body: &[u8]) -> Response {
    let token = authorization.strip_prefix("Bearer ").unwrap_or_default();
    let Some(principal) = (admin.authenticate)(token) else {
        return receipt(&own_receipt(ResultCode::Unauthorised, ""));
    };
    match call(admin, principal, body) {
        Ok(running) => receipt(&running.await),
        Err(sentence) => receipt(&own_receipt(ResultCode::BadRequest, &sentence)),
    }
}

fn own_receipt(code: ResultCode, detail: &str) -> AdminResponse {
    AdminResponse {
        code: code.number().into(),
        text: format!("{} {detail}", code.message()).trim_end().to_owned(),
        offset: 0,
        digest: String::new(),
        version: 0,
        findings: Vec::new(),
    }
}

fn receipt(receipt: &AdminResponse) -> Response {
    let code = ResultCode::ALL
        .iter()
        .find(|code| u32::from(code.number()) == receipt.code);
    let status = code.map_or(500, |code| code.http_status());
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply(receipt, status)
}
