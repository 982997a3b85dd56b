//! Reports of benchmark results: Markdown tables and series of plots.

use chervilquay::report::Rows;
use chervilquay::report::plot;
use chervilquay::report::plot::Axes;

const LINES: &str = r#"{"policy":"chain","vms":25,"time_ratio":1.23456}
{"policy":"direct","vms":25,"time_ratio":12.5,"note":"a|b"}

{"policy":"chain","vms":200,"time_ratio":0.0012345}
"#;

// Guards against cells in the wrong column when rows have different keys.
#[test]
fn markdown_table() {
    let rows = Rows::parse(LINES).unwrap();
    insta::assert_snapshot!(rows.markdown(), @r"
    | policy | vms | time_ratio | note |
    | --- | --- | --- | --- |
    | chain | 25 | 1.235 |  |
    | direct | 25 | 12.50 | a\|b |
    | chain | 200 | 0.001234 |  |
    ");
}

// Guards against points in the wrong series, and against a plot without points.
#[test]
fn plot_series() {
    let rows = Rows::parse(LINES).unwrap();
    let series = rows.series("vms", "time_ratio", "policy");
    assert_eq!(series["chain"], [(25.0, 1.23456), (200.0, 0.0012345)]);
    let axes = Axes {
        x: "vms",
        y: "time_ratio",
    };
    let svg = plot::svg(axes, &series).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("chain") && svg.contains("direct"));
    assert!(plot::svg(axes, &rows.series("vms", "missing", "policy")).is_err());
}

// Guards against an invalid line that is skipped.
#[test]
fn invalid_line_is_an_error() {
    let error = Rows::parse("{}\nnonsense\n").unwrap_err();
    assert!(error.detail.starts_with("line 2"), "{error}");
}
