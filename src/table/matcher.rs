//! Matches a request to a route.

use crate::table::doc::Route;
use crate::table::doc::RoutesDoc;

/// The parts of a request that routes look at.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path without the query string.
    pub path: &'a str,
    /// Organisation; empty when the request names none.
    pub organisation: &'a str,
}

/// The most specific route that matches: longest path, then most headers,
/// then most narrow in organisation, then first in the table.
pub fn find<'a>(
    doc: &'a RoutesDoc,
    query: Query<'_>,
    header: impl Fn(&str) -> Option<String>,
) -> Option<(&'a str, &'a Route)> {
    let mut best: Option<(&str, &Route)> = None;
    for (name, route) in &doc.routes {
        if refusal(route, query, &header).is_some() {
            continue;
        }
        if best.is_none_or(|(_, held)| rank(route) > rank(held)) {
            best = Some((name, route));
        }
    }
    best
}

fn rank(route: &Route) -> (usize, usize, bool) {
    let narrow = !route.organisations.is_empty();
    (route.path.len(), route.headers.len(), narrow)
}

/// Why a route does not match, or none when it does.
pub fn refusal(
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

/// Prefixes match whole path segments only: `/book` does not match `/bookings`.
fn path_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
