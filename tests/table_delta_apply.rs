//! Deltas between texts rebuild the target byte for byte.

use chervilquay::bench::tables::texts;
use chervilquay::bench::tables::texts::Shape;
use chervilquay::table::Stamp;
use chervilquay::table::delta;
use chervilquay::table::delta::Doc;
use chervilquay::table::delta::History;

const SHAPE: Shape = Shape {
    nodes: 40,
    zones: 3,
    routes: 12,
    pools: 4,
};

fn doc(text: &str) -> [Doc<'_>; 1] {
    [Doc {
        table: "routes",
        text,
    }]
}

fn round_trip(base: &str, target: &str) -> Option<usize> {
    let changes = delta::between(&doc(base), &doc(target))?;
    let rebuilt = delta::apply(&doc(base), &changes).expect("delta fits");
    assert_eq!(rebuilt, [target]);
    Some(changes.len())
}

// Guards against a delta whose size depends on the table instead of the change.
#[test]
fn small_change_makes_small_delta() {
    let base = texts::routes(SHAPE, 1, 0);
    let target = texts::routes(SHAPE, 2, 5);
    assert_eq!(round_trip(&base, &target), Some(2));
}

// Guards against entries that are lost, repeated or moved.
#[test]
fn random_edits_are_rebuilt() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut full_texts = 0;
    for _ in 0..500 {
        let base = edited(&mut rng, texts::routes(SHAPE, 1, 0));
        let target = edited(&mut rng, base.clone());
        full_texts += u32::from(round_trip(&base, &target).is_none());
    }
    assert!(
        full_texts < 400,
        "{full_texts} of 500 edits need the whole text"
    );
}

fn edited(rng: &mut fastrand::Rng, text: String) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_string).collect();
    for _ in 0..rng.usize(0..4) {
        let at = rng.usize(..lines.len());
        let other = rng.usize(..lines.len());
        match rng.u32(0..7) {
            0 => drop(lines.remove(at)),
            1 => lines.insert(at, format!("  new-{}: {{pool: a}}", rng.u32(..9))),
            2 => lines.insert(at, "  # note: a comment".into()),
            3 => lines[at].push_str("  "),
            4 => lines.insert(at, String::new()),
            5 => lines.insert(at, format!("section-{}:", rng.u32(..9))),
            _ => lines.swap(at, other),
        }
    }
    let end = if rng.bool() { "\n" } else { "" };
    lines.join("\n") + end
}

// Guards against a delta for a change that deltas cannot express.
#[test]
fn reordered_entries_give_no_delta() {
    let base = "a:\n  x: 1\n  y: 2\n  z: 3\n";
    assert_eq!(round_trip(base, "a:\n  y: 2\n  x: 1\n  z: 3\n"), None);
}

// Guards against ignoring a change of another table or the removal of an entry
// that does not exist.
#[test]
fn changes_that_do_not_fit_are_refused() {
    let base = texts::routes(SHAPE, 1, 0);
    let target = texts::routes(SHAPE, 2, 5);
    let changes = delta::between(&doc(&base), &doc(&target)).expect("a delta");
    let mut other_table = changes.clone();
    other_table[0].table = "pools".into();
    assert_eq!(delta::apply(&doc(&base), &other_table), None);
    let mut removal = changes;
    removal[0].name = "routes/absent".into();
    removal[0].text.clear();
    assert_eq!(delta::apply(&doc(&base), &removal), None);
}

// Guards against a wrong text for an old stamp after many changes.
#[test]
fn history_rebuilds_old_texts() {
    let stamp = |revision| Stamp {
        revision,
        digest: format!("d{revision}"),
    };
    let text = |revision| texts::routes(SHAPE, revision, revision * 7);
    let mut history = History::default();
    for revision in 1..1_000 {
        let (old, new) = (text(revision), text(revision + 1));
        history.push(stamp(revision), &doc(&old), &doc(&new));
    }
    assert!(history.len() <= 512, "history is bounded");
    let present = text(1_000);
    for revision in [999, 900, 600] {
        let texts = history.rebuild(&stamp(revision), &doc(&present));
        assert_eq!(texts, Some(vec![text(revision)]));
    }
    assert_eq!(history.rebuild(&stamp(1), &doc(&present)), None);
}
