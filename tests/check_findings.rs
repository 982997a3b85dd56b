//! Findings of `check`: located, complete, and in agreement with the processes.

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

/// The bad files by the first part of their name; a pair shares it.
fn groups() -> BTreeMap<String, Vec<(String, String)>> {
    let mut groups: BTreeMap<String, Vec<(String, String)>> = BTreeMap::new();
    for name in support::files("tests/bad") {
        let group = name.split('.').next().unwrap().to_string();
        let text = support::text(&format!("tests/bad/{name}"));
        groups.entry(group).or_default().push((name, text));
    }
    groups
}

// Guards against faults that are accepted, lose their location or hide behind another one.
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

// Guards against example files that the processes would refuse.
#[test]
fn examples_are_accepted() {
    let read = |name: &str| support::text(&format!("examples/{name}.yaml"));
    config::parse::<EntrySettings>("entry", &read("entry")).unwrap();
    config::parse::<AgentSettings>("agent", &read("agent")).unwrap();
    TableSet::parse(&read("routes"), &read("pools")).unwrap();
}

// Guards against a check that passes a set which processes refuse, or the other way round.
#[test]
fn check_and_parse_agree() {
    let routes = support::text("examples/routes.yaml");
    let pools = support::text("examples/pools.yaml");
    let mut rng = fastrand::Rng::with_seed(11);
    let mut refused = 0;
    for _ in 0..2_000 {
        let (mut left, mut right) = (routes.clone(), pools.clone());
        let side = if rng.bool() { &mut left } else { &mut right };
        *side = mutate(side, &mut rng);
        let findings = table::set(("routes", &left), ("pools", &right));
        match TableSet::parse(&left, &right) {
            Ok(_) => assert!(findings.is_empty(), "{findings:?}"),
            Err(error) => {
                refused += 1;
                assert_eq!(findings[0].code, error.code, "{error}");
            }
        }
    }
    assert!(refused > 500, "mutations are too mild: {refused}");
}

/// Removes, repeats or damages one line.
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

/// Reads no value: stops at a struct and keeps the names of its fields.
struct Names<'a>(&'a mut Vec<&'static str>);

impl<'de> de::Deserializer<'de> for Names<'_> {
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

fn same_fields<'de, T: Deserialize<'de>>(schema: &[Field]) {
    let mut names = Vec::new();
    let _ = T::deserialize(Names(&mut names));
    let known: Vec<&str> = schema.iter().map(|field| field.name).collect();
    assert_eq!(
        BTreeSet::from_iter(&names),
        BTreeSet::from_iter(&known),
        "{}",
        std::any::type_name::<T>()
    );
}

// Guards against a new field that the schemas do not know and would refuse.
#[test]
fn schemas_match_types() {
    same_fields::<doc::RoutesDoc>(table::ROUTES.fields);
    same_fields::<doc::Route>(table::ROUTE);
    same_fields::<doc::Organisation>(table::ORGANISATION);
    same_fields::<doc::PoolsDoc>(table::POOLS.fields);
    same_fields::<doc::Pool>(table::POOL);
    same_fields::<doc::Upstream>(table::UPSTREAM);
    same_fields::<config::Node>(config::check::NODE);
    same_fields::<EntrySettings>(config::check::ENTRY.fields);
    same_fields::<AgentSettings>(config::check::AGENT.fields);
}
