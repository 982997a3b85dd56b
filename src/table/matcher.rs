//! Finds the route of a request.

use crate::table::doc::Route;
use crate::table::doc::RoutesDoc;

/// The parts of a request that routes match; headers are looked up separately.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// HTTP method, in capitals.
    pub method: &'a str,
    /// Path without the query string.
    pub path: &'a str,
    /// Name of the organisation; empty when the request names none.
    pub organisation: &'a str,
}

/// Returns the name and the most specific of the routes that match: the longest
/// path, then the most headers, then one that names organisations, then the
/// first in the table. `header` looks up a header of the request.
pub fn find<'a>(
    doc: &'a RoutesDoc,
    query: Query<'_>,
    header: impl Fn(&str) -> Option<String>,
) -> Option<(&'a str, &'a Route)> {
    let mut best: Option<(&str, &Route)> = None;
    for (name, route) in &doc.routes {
        if mismatch(route, query, &header).is_some() {
            continue;
        }
        if best.is_none_or(|(_, held)| specificity(route) > specificity(held)) {
            best = Some((name, route));
        }
    }
    best
}

fn specificity(route: &Route) -> (usize, usize, bool) {
    let is_narrow = !route.organisations.is_empty();
    (route.path.len(), route.headers.len(), is_narrow)
}

/// Returns the first part of the request that does not match the route, or
/// `None` when the route matches.
pub fn mismatch(
    route: &Route,
    query: Query<'_>,
    header: impl Fn(&str) -> Option<String>,
) -> Option<&'static str> {
    if !path_matches(&route.path, query.path) {
        return Some("path");
    }
    if !route.methods.is_empty() && !route.methods.iter().any(|m| m == query.method) {
        return Some("method");
    }
    if !route.organisations.is_empty()
        && !route.organisations.iter().any(|o| o == query.organisation)
    {
        return Some("organisation");
    }
    let wrong = |(name, want): (&String, &String)| header(name).as_ref() != Some(want);
    if route.headers.iter().any(wrong) {
        return Some("header");
    }
    None
}

/// Returns true when `path` starts with `prefix` and the prefix ends at the end
/// of a path segment: `/book` does not match `/bookings`.
fn path_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
