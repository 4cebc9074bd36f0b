//! Requests and responses of [`super::Dialect::Native`], the product's own object API.
//!
//! [`request`] is used for both dialects.

use bytes::Bytes;

use super::{
    error::{Error, unreadable},
    object::Object,
};

pub(super) fn object_path(key: &str) -> String {
    format!("/v1/objects/{key}")
}

pub(super) fn request(
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: Bytes,
) -> http::Request<Bytes> {
    let mut builder = http::Request::builder().method(method).uri(path);
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    builder
        .body(body)
        .expect("the parts of a platform request are valid")
}

/// Returns the object's version from the `ETag` header.
pub(super) fn etag(response: &http::Response<Bytes>) -> Option<u64> {
    response
        .headers()
        .get("etag")?
        .to_str()
        .ok()?
        .trim_matches('"')
        .parse()
        .ok()
}

pub(super) fn object(
    step: &'static str,
    key: &str,
    response: http::Response<Bytes>,
) -> Result<Object, Error> {
    let version = etag(&response)
        .ok_or_else(|| unreadable(step, key, "the response has no valid ETag".to_owned()))?;
    Ok(Object {
        version,
        body: response.into_body(),
    })
}
