//! Typed refusals of requests, and the API's error object for them.

pub use sardinerelay::refusal_code::{Code, Run};

use {
    axum::body::Body,
    compact_str::CompactString,
    http::{HeaderValue, Response, StatusCode, header},
    serde_json::{Value, json},
    std::time::Duration,
    thiserror::Error,
};

/// Why a request gets no answer, and whether it may have run.
#[derive(Debug, Clone, Error)]
#[error("{code}: {message}")]
pub struct Refusal {
    /// The documented error code.
    pub code: Code,
    /// A description for people.
    pub message: CompactString,
    /// The request parameter at fault, if it is a single one.
    pub param: Option<&'static str>,
    /// How long the caller should wait before it retries. `None` sends no `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Whether the request certainly did not run or may have run.
    pub run: Run,
}

impl Refusal {
    /// Creates a refusal; the code determines whether the request may have run.
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

    /// Sets the parameter at fault.
    pub fn param(mut self, param: &'static str) -> Self {
        self.param = Some(param);
        self
    }

    /// Sets how long the caller should wait before it retries.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Marks the request as possibly run by a target.
    pub fn may_have_run(mut self) -> Self {
        self.run = Run::Unknown;
        self
    }

    /// The error object of the response body.
    pub fn to_json(&self) -> Value {
        json!({
            "error": {
                "message": self.message,
                "type": error_type(self.status()),
                "code": self.code.as_str(),
                "param": self.param,
                "run": self.run.as_str(),
            }
        })
    }

    /// The HTTP status of the code.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// The complete HTTP response, with `Retry-After` in whole seconds if it is set.
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

/// The error type that existing clients of the API expect for this status.
fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::NOT_FOUND => "not_found_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}
