//! The shared secret between hosts, checked before any request is read.

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

const SCHEME: &str = "Bearer ";

/// Why a list of secrets was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is none.
    #[error("no peer secret is given")]
    Empty,
    /// A secret holds a character that a header can't carry.
    #[error("peer secret {position} is empty or holds a character that a header can't carry")]
    Character {
        /// Its place in the list; the first is 1.
        position: usize,
    },
}

/// One secret.
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

/// All accepted secrets. The first one is sent; the others serve to rotate it.
#[derive(Debug, Clone)]
pub struct Secrets {
    header: HeaderValue,
    digests: Arc<[[u8; 32]]>,
}

impl Secrets {
    /// Checks the secrets.
    ///
    /// # Errors
    ///
    /// [`Error`] names the secret that can't be used.
    pub fn new(secrets: &[Secret]) -> Result<Self, Error> {
        for (place, secret) in secrets.iter().enumerate() {
            let position = place + 1;
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

    /// The headers that a client sends.
    pub(super) fn headers(&self) -> HeaderMap {
        HeaderMap::from_iter([(AUTHORIZATION, self.header.clone())])
    }

    /// Compares digests in constant time, so that neither content nor length of a secret shows in
    /// the time taken.
    fn accept(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(SCHEME.as_bytes()))
            .map(digest);
        let Some(given) = given else {
            return false;
        };
        self.digests
            .iter()
            .fold(false, |found, accepted| found | same(accepted, &given))
    }
}

fn header(secret: &Secret) -> Option<HeaderValue> {
    let mut value = HeaderValue::from_str(&format!("{SCHEME}{}", secret.0)).ok()?;
    value.set_sensitive(true);
    Some(value)
}

fn digest(secret: &[u8]) -> [u8; 32] {
    Sha256::digest(secret).into()
}

fn same(left: &[u8; 32], right: &[u8; 32]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |sum, (left, right)| sum | (left ^ right));
    std::hint::black_box(difference) == 0
}

/// Refuses requests without an accepted secret.
#[derive(Debug, Clone)]
pub(super) struct Check(pub(super) Option<Secrets>);

impl<Inner> Layer<Inner> for Check {
    type Service = Checked<Inner>;

    fn layer(&self, inner: Inner) -> Self::Service {
        Checked {
            secrets: self.0.clone(),
            inner,
        }
    }
}

/// A service behind [`Check`].
#[derive(Debug, Clone)]
pub(super) struct Checked<Inner> {
    secrets: Option<Secrets>,
    inner: Inner,
}

type Refused = Ready<Result<HttpResponse, BoxError>>;

impl<Inner, Body> Service<HttpRequest<Body>> for Checked<Inner>
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
            Some(secrets) => secrets.accept(request.headers()),
            None => true,
        };
        if accepted {
            return Box::pin(self.inner.call(request));
        }
        Box::pin(refuse())
    }
}

fn refuse() -> Refused {
    let mut response = HttpResponse::new(HttpBody::empty());
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    ready(Ok(response))
}
