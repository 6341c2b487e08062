//! Parses methods and paths into endpoints.

use trillium_http::Method;

use crate::{check, refusal::Refusal};

/// The endpoint that a method and a path select.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Models,
    Model(String),
    /// A completion by a model.
    Completion(check::CompletionKind),
    /// A call to a plain service.
    Plain {
        service: String,
        /// Path and query below the service, starting with `/`.
        path: String,
    },
}

impl Endpoint {
    pub(crate) fn parse(method: Method, path_and_query: &str) -> Result<Self, Refusal> {
        let path = path_and_query.split('?').next().unwrap_or_default();
        if let Some(rest) = path_and_query.strip_prefix("/services/") {
            return plain(rest);
        }
        let (target, allowed) = match path {
            "/v1/models" => (Self::Models, Method::Get),
            "/v1/chat/completions" => (Self::Completion(check::CompletionKind::Chat), Method::Post),
            "/v1/completions" => (Self::Completion(check::CompletionKind::Text), Method::Post),
            _ => {
                let model = path
                    .strip_prefix("/v1/models/")
                    .ok_or(Refusal::UnknownPath)?;
                (Self::Model(model.to_owned()), Method::Get)
            }
        };
        if method != allowed {
            let name = if allowed == Method::Get {
                "GET"
            } else {
                "POST"
            };
            return Err(Refusal::MethodNotAllowed(name));
        }
        Ok(target)
    }
}

fn plain(rest: &str) -> Result<Endpoint, Refusal> {
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if service.is_empty() {
        return Err(Refusal::UnknownPath);
    }
    let slash = if path.starts_with('/') { "" } else { "/" };
    Ok(Endpoint::Plain {
        service: service.to_owned(),
        path: format!("{slash}{path}"),
    })
}
