//! Capacity: fitted lines, and the page that lists them.

mod support;

use chervilquay::bench::capacity;
use chervilquay::bench::capacity::Effort;
use chervilquay::bench::capacity::Slope;

const BRIEF: Effort = Effort {
    sample_ms: 1,
    samples: 1,
    shrink: 8,
};

// Guards against a fit that misstates the cost of one unit or hides a bend.
#[test]
fn line_is_recovered() {
    let line = [1.0, 2.0, 4.0, 8.0].map(|size| (size, 3.0 + 0.5 * size));
    let slope = Slope::new("line", "units", "us", &line);
    assert!((slope.base - 3.0).abs() < 1e-9 && (slope.each - 0.5).abs() < 1e-9);
    assert!(slope.worst() < 1e-9 && slope.fit > 0.999_999);
    let bent = [1.0, 2.0, 4.0, 8.0].map(|size: f64| (size, size * size));
    let slope = Slope::new("square", "units", "us", &bent);
    assert!(slope.worst() > 0.05, "{}", slope.worst());
    assert!(slope.fit < 0.97, "{}", slope.fit);
}

// Guards against a measurement that no longer runs on the code of today.
#[test]
fn slopes_run() {
    // Memory slopes parse thousands of copies, which is too slow for a test.
    let names = capacity::names().filter(|name| !name.ends_with("memory"));
    for name in names {
        for slope in capacity::run(name, BRIEF).unwrap_or_else(|e| panic!("{name}: {e}")) {
            assert!(slope.points.len() >= 4, "{}", slope.name);
            let is_measured = slope.points.iter().all(|p| p.value > 0.0);
            assert!(is_measured, "{}: {:?}", slope.name, slope.points);
        }
    }
}

// Guards against a slope that the page leaves out.
#[test]
fn page_lists_slopes() {
    let page = support::text("docs/CAPACITY.md");
    for name in capacity::names() {
        assert!(page.contains(&format!("| {name} |")), "{name}");
    }
}
