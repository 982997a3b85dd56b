//! Findings of `check`: they have a location, are complete, and agree with what
//! the processes accept.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chervilquay::cmd::check::check;
use chervilquay::config;
use chervilquay::config::AgentSettings;
use chervilquay::config::EntrySettings;
use chervilquay::table::TableSet;
use chervilquay::table::check as table;
use chervilquay::table::doc;
use chervilquay::yaml::schema::Field;
use serde::Deserialize;
use serde::de;

/// Reads the bad files, grouped by the first part of their name, which the two
/// files of a pair share.
fn groups() -> BTreeMap<String, Vec<(String, String)>> {
    let mut groups: BTreeMap<String, Vec<(String, String)>> = BTreeMap::new();
    for name in support::files("tests/bad") {
        let group = name.split('.').next().unwrap().to_string();
        let text = support::text(&format!("tests/bad/{name}"));
        groups.entry(group).or_default().push((name, text));
    }
    groups
}

// Guards against faults that are accepted, reported without their location, or
// hidden by another fault.
#[test]
fn bad_files_are_located() {
    let mut lines = Vec::new();
    let mut first = BTreeSet::new();
    let groups = groups();
    for (group, files) in &groups {
        let found = check(files, None);
        assert!(!found.is_empty(), "{group} has no finding");
        for finding in &found {
            lines.push(finding.to_string());
        }
        let head = &found[0];
        first.insert((
            head.code,
            head.field.clone(),
            head.expected.clone(),
            head.found.clone(),
        ));
    }
    assert!(first.len() >= 20, "{} distinct errors", first.len());
    assert_eq!(first.len(), groups.len(), "two files give the same error");
    insta::assert_snapshot!(lines.join("\n"));
}

// Guards against example files that the processes refuse.
#[test]
fn examples_are_accepted() {
    let read = |name: &str| support::text(&format!("examples/{name}.yaml"));
    config::parse::<EntrySettings>("entry", &read("entry")).unwrap();
    config::parse::<AgentSettings>("agent", &read("agent")).unwrap();
    TableSet::parse(&read("routes"), &read("pools")).unwrap();
}

// Guards against a check that accepts a set which the processes refuse, and the
// other way round.
#[test]
fn check_and_parse_agree() {
    let routes = support::text("examples/routes.yaml");
    let pools = support::text("examples/pools.yaml");
    let mut rng = fastrand::Rng::with_seed(11);
    let mut refused = 0;
    for _ in 0..2_000 {
        let (mut routes_text, mut pools_text) = (routes.clone(), pools.clone());
        let changed = if rng.bool() {
            &mut routes_text
        } else {
            &mut pools_text
        };
        *changed = mutate(changed, &mut rng);
        let findings = table::set(("routes", &routes_text), ("pools", &pools_text));
        match TableSet::parse(&routes_text, &pools_text) {
            Ok(_) => assert!(findings.is_empty(), "{findings:?}"),
            Err(error) => {
                refused += 1;
                assert_eq!(findings[0].code, error.code, "{error}");
            }
        }
    }
    assert!(refused > 500, "mutations are too mild: {refused}");
}

/// Removes, repeats or damages one random line.
fn mutate(text: &str, rng: &mut fastrand::Rng) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_string).collect();
    let index = rng.usize(..lines.len());
    match rng.u8(..4) {
        0 => drop(lines.remove(index)),
        1 => lines.insert(index, lines[index].clone()),
        2 => lines[index] = lines[index].replace(['1', '2', '4'], "0"),
        _ => {
            let at = rng.usize(..=lines[index].len());
            lines[index].insert(at, rng.choice(['x', '-', ':', '{', '7', ' ', '~']).unwrap());
        }
    }
    lines.join("\n")
}

/// Deserializer that reads no value: at a struct it collects the names of the
/// fields and fails.
struct FieldNames<'a>(&'a mut Vec<&'static str>);

impl<'de> de::Deserializer<'de> for FieldNames<'_> {
    type Error = de::value::Error;

    fn deserialize_any<V: de::Visitor<'de>>(self, _: V) -> Result<V::Value, Self::Error> {
        Err(de::Error::custom("names only"))
    }

    fn deserialize_struct<V: de::Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, Self::Error> {
        self.0.extend(fields);
        Err(de::Error::custom("names only"))
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char str string bytes byte_buf option unit
        unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}

fn assert_same_fields<'de, T: Deserialize<'de>>(schema: &[Field]) {
    let mut names = Vec::new();
    let _ = T::deserialize(FieldNames(&mut names));
    let known: Vec<&str> = schema.iter().map(|field| field.name).collect();
    assert_eq!(
        BTreeSet::from_iter(&names),
        BTreeSet::from_iter(&known),
        "{}",
        std::any::type_name::<T>()
    );
}

// Guards against a new field that a schema does not list and so refuses.
#[test]
fn schemas_match_types() {
    assert_same_fields::<doc::RoutesDoc>(table::ROUTES.fields);
    assert_same_fields::<doc::Route>(table::ROUTE);
    assert_same_fields::<doc::Organisation>(table::ORGANISATION);
    assert_same_fields::<doc::PoolsDoc>(table::POOLS.fields);
    assert_same_fields::<doc::Pool>(table::POOL);
    assert_same_fields::<doc::Upstream>(table::UPSTREAM);
    assert_same_fields::<config::Node>(config::check::NODE);
    assert_same_fields::<EntrySettings>(config::check::ENTRY.fields);
    assert_same_fields::<AgentSettings>(config::check::AGENT.fields);
}
