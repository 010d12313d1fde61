//! The secret that the hosts share. The server checks it before it reads any request.

use {
    http::{HeaderMap, HeaderValue, StatusCode, header::AUTHORIZATION},
    jsonrpsee::{
        core::BoxError,
        server::{HttpBody, HttpRequest, HttpResponse},
    },
    sha2::{Digest as _, Sha256},
    std::{
        fmt,
        future::{Future, Ready, ready},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tower::{Layer, Service},
};

/// Prefix of the secret in the `Authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// Why a list of secrets is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The list is empty.
    #[error("no secret is given")]
    Empty,
    /// A secret is empty or contains a character that a header can't carry.
    #[error("secret {position} is empty or contains a character that an HTTP header can't carry")]
    Character {
        /// Position of the secret in the list, counted from 1.
        position: usize,
    },
}

/// One secret. Its `Debug` output doesn't reveal it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

impl<Text> From<Text> for Secret
where
    Text: Into<String>,
{
    fn from(text: Text) -> Self {
        Self(text.into())
    }
}

/// All accepted secrets. The first one is sent; the others allow rotating it.
#[derive(Debug, Clone)]
pub struct Secrets {
    header: HeaderValue,
    digests: Arc<[[u8; 32]]>,
}

impl Secrets {
    /// Checks the secrets and prepares the header.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no secret, or with the position of one that can't be used.
    pub fn new(secrets: &[Secret]) -> Result<Self, Error> {
        for (index, secret) in secrets.iter().enumerate() {
            let position = index + 1;
            if secret.0.is_empty() {
                return Err(Error::Character { position });
            }
            header(secret).ok_or(Error::Character { position })?;
        }
        let first = secrets.first().and_then(header).ok_or(Error::Empty)?;
        let digests = secrets.iter().map(|secret| digest(secret.0.as_bytes()));
        Ok(Self {
            header: first,
            digests: digests.collect(),
        })
    }

    /// Returns the headers that a client sends: `Authorization` with the first secret.
    pub(super) fn headers(&self) -> HeaderMap {
        HeaderMap::from_iter([(AUTHORIZATION, self.header.clone())])
    }

    /// Whether the request has an accepted secret. Digests are compared in constant time, so that
    /// the duration reveals neither content nor length of a secret.
    fn is_accepted(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(BEARER_PREFIX.as_bytes()))
            .map(digest);
        let Some(given) = given else {
            return false;
        };
        self.digests.iter().fold(false, |found, accepted| {
            found | constant_time_eq(accepted, &given)
        })
    }
}

fn header(secret: &Secret) -> Option<HeaderValue> {
    let mut value = HeaderValue::from_str(&format!("{BEARER_PREFIX}{}", secret.0)).ok()?;
    value.set_sensitive(true);
    Some(value)
}

fn digest(secret: &[u8]) -> [u8; 32] {
    Sha256::digest(secret).into()
}

fn constant_time_eq(left: &[u8; 32], right: &[u8; 32]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |sum, (left, right)| sum | (left ^ right));
    std::hint::black_box(difference) == 0
}

/// A layer that refuses requests without an accepted secret. Without secrets, it refuses none.
#[derive(Debug, Clone)]
pub(super) struct SecretLayer(pub(super) Option<Secrets>);

impl<Inner> Layer<Inner> for SecretLayer {
    type Service = SecretService<Inner>;

    fn layer(&self, inner: Inner) -> Self::Service {
        SecretService {
            secrets: self.0.clone(),
            inner,
        }
    }
}

/// The service that [`SecretLayer`] adds.
#[derive(Debug, Clone)]
pub(super) struct SecretService<Inner> {
    secrets: Option<Secrets>,
    inner: Inner,
}

type ReadyResponse = Ready<Result<HttpResponse, BoxError>>;

impl<Inner, Body> Service<HttpRequest<Body>> for SecretService<Inner>
where
    Inner: Service<HttpRequest<Body>, Response = HttpResponse, Error = BoxError>,
    Inner::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, BoxError>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest<Body>) -> Self::Future {
        let accepted = match &self.secrets {
            Some(secrets) => secrets.is_accepted(request.headers()),
            None => true,
        };
        if accepted {
            return Box::pin(self.inner.call(request));
        }
        Box::pin(unauthorized())
    }
}

fn unauthorized() -> ReadyResponse {
    let mut response = HttpResponse::new(HttpBody::empty());
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    ready(Ok(response))
}
