//! `check` and `explain` on configuration documents with regions.

use std::process::Command;

use bytes::Bytes;
use chervilquay::cmd::check;
use chervilquay::direct::cluster::Change;
use chervilquay::direct::cluster::ClusterView;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::time::Millis;

const CONFIG: &str = r#"{
  "version": 7,
  "routes": [
    {"name": "free", "host": "h", "prefix": "/free/", "kind": "idempotent", "timeout_ms": 1, "service": "p"},
    {"name": "bound", "host": "h", "prefix": "/bound/", "kind": "streaming", "timeout_ms": 1, "service": "p",
     "allowed_regions": ["east", "north"]}
  ],
  "services": [{"name": "p"}],
  "tenants": [
    {"name": "any"},
    {"name": "near", "allowed_regions": ["north"]},
    {"name": "far", "allowed_regions": ["west", "south"]}
  ]
}"#;

/// Guards against a pair without a common region that is found by its refused requests only,
/// or reported without its location; and against findings of other pairs.
#[test]
fn pairs_without_a_region_are_found() {
    let found = check::check(&[("config.json".to_string(), CONFIG.to_string())], None);
    let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let expected = "config.json:6:25: E2004 routes.bound.allowed_regions: expected a region of tenants.far.allowed_regions (south,west), as all their requests are refused (warning), found east,north";
    assert_eq!(lines[0], expected);
    let cut = CONFIG.replace(r#""kind": "idempotent", "#, "");
    let found = check::check(&[("config.json".to_string(), cut)], None);
    assert!(
        found.len() == 1 && found[0].found.contains("kind"),
        "{found:?}"
    );
}

/// Guards against a configuration that comes into force without a line on such a pair.
#[test]
fn entry_reports_pairs_without_a_region() {
    let doc = Doc {
        key: "op/config".into(),
        revision: 1,
        value: Some(Bytes::from_static(CONFIG.as_bytes())),
    };
    let listing = Delta {
        era: 0,
        full: true,
        upto: 1,
        docs: vec![doc],
    };
    let mut view = ClusterView::default();
    let changes = view.apply(Millis(1), Millis(1), listing, Millis(0));
    let pair = Change::NoRegion("bound".to_string(), "far".to_string());
    assert_eq!(changes, [Change::Config(7), pair]);
}

/// Guards against an explanation that leaves out a restriction or shows an excluded zone as
/// allowed.
#[test]
fn allowed_zones_are_explained() {
    let dir = std::env::temp_dir();
    let path = |name: &str| dir.join(format!("explain-region-{}-{name}", std::process::id()));
    let settings = "node_name=f\nip=10.0.0.1\nzone=a\ninternal_ports=1,2\nplatform.address=10.0.0.2:1\nzones.a=east\nzones.b=north\nzones.x=\n";
    std::fs::write(path("config"), CONFIG).expect("a file");
    std::fs::write(path("machine"), settings).expect("a file");
    let explain = |request: &str, organisation: &str| {
        let output = Command::new(env!("CARGO_BIN_EXE_chervilquay"))
            .args(["explain", "--host", "h:80", "--organisation", organisation])
            .arg("--config")
            .arg(path("config"))
            .arg("--machine")
            .arg(path("machine"))
            .arg(request)
            .output()
            .expect("the program starts");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code(), text)
    };
    let zones = |a, b, x| {
        format!(
            "  {a} zone a in region east\n  {b} zone b in region north\n  {x} zone x in region unknown\n"
        )
    };
    let (code, text) = explain("/free/1?q", "any");
    assert!(
        code == Some(0) && text.ends_with(&zones("allowed", "allowed", "allowed")),
        "{text}"
    );
    let (code, text) = explain("/bound/1", "near");
    assert!(
        code == Some(0) && text.ends_with(&zones("excluded", "allowed", "excluded")),
        "{text}"
    );
    assert!(
        text.contains("regions east,north") && text.contains("regions north"),
        "{text}"
    );
    let (code, text) = explain("/bound/1", "far");
    assert!(
        code == Some(1) && text.contains("no region is in both lists"),
        "{text}"
    );
    let (code, text) = explain("/other", "any");
    assert!(
        code == Some(1) && text.contains("no route matches"),
        "{text}"
    );
    for name in ["config", "machine"] {
        std::fs::remove_file(path(name)).expect("a file");
    }
}
