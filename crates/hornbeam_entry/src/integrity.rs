//! Whether a response is the one that its server sent for a request.
//!
//! Failure pattern: a server in trouble, or something between it and this entry, sends a well-formed head whose
//! body is not the server's, or a signature that does not survive in a list of signatures.

use hyper::StatusCode;
use hyper::header;

use crate::dialect::Dialect;
use crate::request::ForwardedRequest;
use crate::response::{RawResponse, fields};

/// Returns true if the response has one signature and the complete body that the request asks for. Stricter
/// for a response that is merged with others.
pub(crate) fn is_intact(
    dialect: &Dialect,
    request: &ForwardedRequest,
    response: &RawResponse,
    is_merged: bool,
) -> bool {
    let mut signatures = response.values(dialect.signature.as_str());
    let Some(signature) = signatures.next().filter(|s| !s.is_empty()) else { return false };
    if signatures.any(|other| other != signature) {
        return false;
    }
    let is_partial = response.status == StatusCode::PARTIAL_CONTENT;
    let is_coded = response.values(header::CONTENT_ENCODING.as_str()).next().is_some();
    if is_merged {
        let divides = |b: &u8| *b == b',' || b.is_ascii_whitespace();
        return !is_partial && !is_coded && !signature.iter().any(divides);
    }
    (!is_partial || has_field(request, header::RANGE.as_str()))
        && (!is_coded || accepts_codings(request))
}

/// Returns true if every request id in a response is that of the request.
pub(crate) fn is_response_to(dialect: &Dialect, id: &str, response: &RawResponse) -> bool {
    response.values(dialect.request_id.as_str()).all(|echoed| echoed == id.as_bytes())
}

fn has_field(request: &ForwardedRequest, name: &str) -> bool {
    fields(&request.head).any(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
}

/// Returns true if the caller accepts a body with a content coding (RFC 9110, section 12.5.3).
fn accepts_codings(request: &ForwardedRequest) -> bool {
    let name = header::ACCEPT_ENCODING.as_str().as_bytes();
    let lists = fields(&request.head).filter(|(n, _)| n.eq_ignore_ascii_case(name));
    let codings = lists.flat_map(|(_, list)| list.split(|b| *b == b','));
    codings.map(<[u8]>::trim_ascii).any(|coding| {
        let (name, weight) = match memchr::memchr(b';', coding) {
            Some(at) => (coding[..at].trim_ascii_end(), coding[at + 1..].trim_ascii()),
            None => (coding, &b""[..]),
        };
        let is_refused = weight
            .strip_prefix(b"q=0")
            .is_some_and(|digits| digits.iter().all(|b| matches!(b, b'.' | b'0')));
        !name.is_empty() && !name.eq_ignore_ascii_case(b"identity") && !is_refused
    })
}
