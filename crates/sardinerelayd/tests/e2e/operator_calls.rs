//! Calls of the operators' interface.

use {
    super::SHARED_SECRET,
    jsonrpsee::{
        core::client::{ClientT, Error},
        rpc_params,
        ws_client::{HeaderMap, HeaderValue, WsClientBuilder},
    },
    sardinerelay::{
        operator::{self, Digest, Submission, Verdict},
        sheet::Sheet,
    },
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    uuid::Uuid,
};

/// Submits a sheet at an operator address.
pub async fn submit_sheet(
    address: SocketAddr,
    sheet: &Sheet,
    proposal: Uuid,
) -> Result<Verdict, Error> {
    let submission = Submission {
        number: sheet.number,
        digest: Digest(sheet.digest()),
        toml: sheet.to_toml(),
        proposal,
    };
    let params = serde_json::to_value(submission).expect("a submission is JSON");
    let verdict = call_operator(address, operator::SHEET_SUBMIT, params).await?;
    Ok(serde_json::from_value(verdict).expect("the verdict can be read"))
}

/// The number of the sheet that a host has in force. `None` if it has none or does not respond.
pub async fn sheet_number_in_force(operator: SocketAddr) -> Option<u64> {
    let health = call_operator(operator, operator::HEALTH, Value::Null)
        .await
        .ok()?;
    health["in_force"]["number"].as_u64()
}

/// Calls an operator method. Parameters other than an object are left out.
pub async fn call_operator(
    address: SocketAddr,
    method: &str,
    params: Value,
) -> Result<Value, Error> {
    let mut headers = HeaderMap::new();
    let secret = format!("Bearer {SHARED_SECRET}");
    headers.insert(
        "authorization",
        HeaderValue::from_str(&secret).expect("the secret is ASCII"),
    );
    let client = WsClientBuilder::default()
        .set_headers(headers)
        .request_timeout(Duration::from_secs(10))
        .build(format!("ws://{address}"))
        .await
        .map_err(|error| Error::Custom(error.to_string()))?;
    match params {
        Value::Object(map) => client.request(method, NamedParams(map)).await,
        _ => client.request(method, rpc_params![]).await,
    }
}

/// JSON-RPC parameters by name.
struct NamedParams(serde_json::Map<String, Value>);

impl jsonrpsee::core::traits::ToRpcParams for NamedParams {
    fn to_rpc_params(self) -> Result<Option<Box<serde_json::value::RawValue>>, serde_json::Error> {
        serde_json::value::to_raw_value(&self.0).map(Some)
    }
}
