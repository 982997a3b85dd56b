//! Order of the frames of an attempt within the window.

use chervilquay::route::reorder::Reorder;
use chervilquay::route::reorder::WINDOW;

// Guards against lost, repeated or swapped frames on a shuffled, duplicated stream.
#[test]
fn shuffled_stream_ordered() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sent: Vec<(u64, u64)> = Vec::new();
        for seq in 0..500_u64 {
            // A frame moves by less than half the window, twice for duplicates.
            sent.push((seq + rng.u64(0..WINDOW / 2), seq));
            sent.push((seq + rng.u64(0..WINDOW / 2), seq));
        }
        sent.sort_unstable();
        let mut reorder = Reorder::default();
        let mut got = Vec::new();
        for (_, seq) in sent {
            assert!(reorder.push(seq, seq).is_ok());
            got.extend(std::iter::from_fn(|| reorder.pop()));
        }
        assert_eq!(got, (0..500).collect::<Vec<_>>(), "seed {seed}");
        assert_eq!(reorder.waiting(), 0);
    }
}

// Guards against unbounded memory for a stream whose first frame is lost.
#[test]
fn window_bounded() {
    let mut reorder = Reorder::default();
    assert!(reorder.push(WINDOW - 1, ()).is_ok());
    assert!(reorder.push(WINDOW, ()).is_err());
    assert!(reorder.push(u64::MAX, ()).is_err());
    assert_eq!(reorder.pop(), None);
}
