//! Shows where requests of one route and organisation may be served on prepared machines.

use crate::table::routing::Routing;

/// Route, organisation and zones of a request under a configuration document.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ConfigExplanation {
    /// Version of the document.
    pub version: u64,
    /// Name of the route; none when no route matches.
    pub route: Option<String>,
    /// Names of the route's pools.
    pub pools: Vec<String>,
    /// Regions that the route allows.
    pub route_regions: String,
    /// Regions that the organisation allows.
    pub organisation_regions: String,
    /// Regions that both allow.
    pub regions: String,
    /// Zones of the settings: name, region and whether requests may be served there.
    pub zones: Vec<(String, String, bool)>,
    /// True when requests may be served in some region.
    pub servable: bool,
}

/// Explains a request to `host` and `path` on behalf of `organisation`; `zones` are the
/// regions by name of the zone.
pub fn explain<'a>(
    routing: &Routing,
    host: &str,
    path: &str,
    organisation: &str,
    zones: impl IntoIterator<Item = (&'a String, &'a String)>,
) -> ConfigExplanation {
    let route = routing.route(host, path);
    let owner = routing.organisation_named(organisation);
    let regions = route.map(|r| r.regions_for(owner.map(|o| &**o)));
    let regions = regions.unwrap_or_default();
    let zone = |(zone, region): (&String, &String)| {
        let is_known = !region.is_empty() || !regions.is_restricted();
        let is_allowed = is_known && regions.allows(region);
        (zone.clone(), region.clone(), is_allowed)
    };
    ConfigExplanation {
        version: routing.version(),
        route: route.map(|r| r.name.clone()),
        pools: route.map_or_else(Vec::new, |r| r.pools.iter().map(|p| p.0.clone()).collect()),
        route_regions: route.map_or_else(String::new, |r| r.regions.to_string()),
        organisation_regions: owner.map_or_else(String::new, |o| o.regions.to_string()),
        regions: regions.to_string(),
        zones: zones.into_iter().map(zone).collect(),
        servable: route.is_some() && !regions.is_empty(),
    }
}

/// Returns the explanation as text for people.
pub fn plain(explanation: &ConfigExplanation) -> String {
    let mut lines = vec![format!("version {}", explanation.version)];
    let Some(route) = &explanation.route else {
        lines.push("no route matches (E4001)\n".to_string());
        return lines.join("\n");
    };
    lines.push(format!(
        "route {route}: regions {}",
        explanation.route_regions
    ));
    if !explanation.organisation_regions.is_empty() {
        lines.push(format!(
            "organisation: regions {}",
            explanation.organisation_regions
        ));
    }
    lines.push(format!("pools {}", explanation.pools.join(", ")));
    lines.push(format!("regions {}", explanation.regions));
    if !explanation.servable {
        lines.push("  no region is in both lists: refused (E4006)".to_string());
    }
    for (zone, region, is_allowed) in &explanation.zones {
        let region = if region.is_empty() { "unknown" } else { region };
        let verdict = if *is_allowed { "allowed" } else { "excluded" };
        lines.push(format!("  {verdict} zone {zone} in region {region}"));
    }
    lines.join("\n") + "\n"
}
