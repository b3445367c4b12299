//! Turns stored answers into messages and back.

use {
    entry::StoredResponse,
    hyper::{
        header::{HeaderName, HeaderValue},
        HeaderMap, StatusCode,
    },
    wire::generated::{ClaimResponse, ClaimState, HeaderField},
};

/// Writes what a claimant knows.
pub(crate) fn encode_claim_response(
    state: ClaimState,
    stored: Option<&StoredResponse>,
) -> ClaimResponse {
    ClaimResponse {
        state,
        status: stored.map_or(0, |stored| stored.status.as_u16().into()),
        headers: stored.map_or_else(Vec::new, |stored| header_texts(&stored.headers)),
        body_hex: stored.map_or_else(String::new, |stored| hex::encode(&stored.body)),
    }
}

/// Reads a stored answer; nothing if it is not valid.
pub(crate) fn decode_stored_response(text: &ClaimResponse) -> Option<StoredResponse> {
    let mut headers = HeaderMap::new();
    for header in &text.headers {
        let name: HeaderName = header.name.parse().ok()?;
        headers.append(
            name,
            HeaderValue::from_bytes(&hex::decode(&header.value).ok()?).ok()?,
        );
    }
    Some(StoredResponse {
        status: StatusCode::from_u16(u16::try_from(text.status).ok()?).ok()?,
        headers,
        body: hex::decode(&text.body_hex).ok()?.into(),
    })
}

/// Values are written in hex, because a header's value need not be text.
fn header_texts(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: hex::encode(value.as_bytes()),
        })
        .collect()
}
