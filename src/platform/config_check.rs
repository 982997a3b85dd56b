//! Findings of a configuration document, with their location in the text.

use crate::platform::config;
use crate::prelude::*;
use crate::yaml::Finding;
use crate::yaml::Findings;
use crate::yaml::Node;
use crate::yaml::Value;
use crate::yaml::tree::Place;

/// Most pairs of a route and an organisation that are reported.
const MAX_PAIRS: usize = 100;

/// Returns true for the text of a configuration document: JSON with upstreams or
/// organisations.
pub fn is_config(text: &str) -> bool {
    let doc: Option<serde_json::Value> = serde_json::from_str(text).ok();
    doc.is_some_and(|doc| doc.get("services").is_some() || doc.get("tenants").is_some())
}

/// Returns the findings of a configuration document.
///
/// A document that cannot be decoded is not used. A pair of a route and an organisation
/// without a common region is a warning: the document is used, and refuses their requests.
pub fn check(file: &str, text: &str) -> Vec<Finding> {
    let mut findings = Findings::new(file);
    let routing = match config::decode(text.as_bytes()) {
        Ok(routing) => routing,
        Err(error) => {
            let expected = "a configuration document";
            findings.add(Place::START, "document", error.code, expected, error.detail);
            return findings.list;
        }
    };
    // JSON is read as YAML for the locations.
    let tree = Node::parse(text).ok();
    for (route, organisation) in routing.without_region().take(MAX_PAIRS) {
        let place = tree.as_ref().and_then(|tree| place_of(tree, &route.name));
        let field = format!("routes.{}.allowed_regions", route.name);
        let expected = format!(
            "a region of tenants.{}.allowed_regions ({}), as all their requests are refused (warning)",
            organisation.name, organisation.regions
        );
        let found = route.regions.to_string();
        let place = place.unwrap_or(Place::START);
        findings.add(place, &field, Code::FieldRange, expected, found);
    }
    findings.sorted()
}

/// Returns the location of the regions of a route.
fn place_of(tree: &Node, route: &str) -> Option<Place> {
    let Value::List(routes) = &tree.get("routes")?.value else {
        return None;
    };
    let found = routes.iter().find(|node| node.text("name") == route)?;
    Some(found.get("allowed_regions")?.place)
}
