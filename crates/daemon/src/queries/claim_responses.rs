//! Converts stored responses to messages and back.

use {
    entry::StoredResponse,
    hyper::{
        header::{HeaderName, HeaderValue},
        HeaderMap, StatusCode,
    },
    wire::generated::{ClaimResponse, ClaimState, HeaderField},
};

/// Encodes the state of a claimed key, with the stored response if there is one.
pub(crate) fn encode_claim_response(
    state: ClaimState,
    stored: Option<&StoredResponse>,
) -> ClaimResponse {
    ClaimResponse {
        state,
        status: stored.map_or(0, |stored| stored.status.as_u16().into()),
        headers: stored.map_or_else(Vec::new, |stored| encode_headers(&stored.headers)),
        body_hex: stored.map_or_else(String::new, |stored| hex::encode(&stored.body)),
    }
}

/// Decodes a stored response; `None` if the message is invalid.
pub(crate) fn decode_stored_response(response: &ClaimResponse) -> Option<StoredResponse> {
    let mut headers = HeaderMap::new();
    for header in &response.headers {
        let name: HeaderName = header.name.parse().ok()?;
        headers.append(
            name,
            HeaderValue::from_bytes(&hex::decode(&header.value).ok()?).ok()?,
        );
    }
    Some(StoredResponse {
        status: StatusCode::from_u16(u16::try_from(response.status).ok()?).ok()?,
        headers,
        body: hex::decode(&response.body_hex).ok()?.into(),
    })
}

/// Encodes header values in hexadecimal, because they need not be valid text.
fn encode_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: hex::encode(value.as_bytes()),
        })
        .collect()
}
