//! Metrics: their names, docs/metrics.md and the served text agree.

mod support;

use std::collections::BTreeSet;

use chervilquay::error::Code;
use chervilquay::metric;
use chervilquay::metric::Metric;
use chervilquay::metric::Metrics;
use chervilquay::time::Millis;

// Guards against a metric that the page lacks or describes in another way.
#[test]
fn page_is_current() {
    assert_eq!(support::text("docs/metrics.md"), metric::markdown());
}

// Guards against two metrics whose served names are the same.
#[test]
fn names_differ() {
    let shown = |m: &Metric| m.name().replace(['.', '_'], "-");
    let names: BTreeSet<String> = Metric::ALL.iter().map(shown).collect();
    assert_eq!(names.len(), Metric::ALL.len());
}

// Guards against values that are lost, added to another series or served under another name.
#[test]
fn values_are_served() {
    let metrics = Metrics::default();
    metrics.outcome(Metric::RequestTotal, None);
    metrics.outcome(Metric::RequestTotal, None);
    metrics.outcome(Metric::RequestTotal, Some(Code::Overloaded));
    metrics.time(Metric::RequestTime, Millis(30));
    metrics.time(Metric::RequestTime, Millis(12));
    metrics.set(Metric::TableRevision, 41);
    metrics.set(Metric::TableRevision, 42);
    insta::assert_snapshot!(metrics.text());
}
