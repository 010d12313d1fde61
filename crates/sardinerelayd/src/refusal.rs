//! Typed refusals and the API's error object.

pub use sardinerelay::refusal_code::{Code, Run};

use {
    axum::body::Body,
    compact_str::CompactString,
    http::{HeaderValue, Response, StatusCode, header},
    serde_json::{Value, json},
    std::time::Duration,
    thiserror::Error,
};

/// A request that gets no answer, and whether it may have run.
#[derive(Debug, Clone, Error)]
#[error("{code}: {message}")]
pub struct Refusal {
    /// The documented reason.
    pub code: Code,
    /// What happened, for people.
    pub message: CompactString,
    /// The parameter at fault.
    pub param: Option<&'static str>,
    /// When another try makes sense.
    pub retry_after: Option<Duration>,
    /// Whether the request certainly did not run.
    pub run: Run,
}

impl Refusal {
    /// A refusal with the code's own statement on whether the request ran.
    pub fn new<M>(code: Code, message: M) -> Self
    where
        M: Into<CompactString>,
    {
        Self {
            code,
            message: message.into(),
            param: None,
            retry_after: None,
            run: code.run(),
        }
    }

    /// Names the parameter at fault.
    pub fn param(mut self, param: &'static str) -> Self {
        self.param = Some(param);
        self
    }

    /// States when another try makes sense.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// States that a target may have run the request.
    pub fn may_have_run(mut self) -> Self {
        self.run = Run::Unknown;
        self
    }

    /// The API's error object.
    pub fn to_json(&self) -> Value {
        json!({
            "error": {
                "message": self.message,
                "type": kind(self.status()),
                "code": self.code.as_str(),
                "param": self.param,
                "run": self.run.as_str(),
            }
        })
    }

    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// The whole HTTP response.
    pub fn to_response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.to_json().to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1000) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        response
    }
}

/// The error type that published clients of the API know for this status.
fn kind(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::NOT_FOUND => "not_found_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}
