//! Detection of crashes from lost connections.

use chervilquay::gate::CrashDetector;
use chervilquay::time::Millis;

/// Guards against single connection resets that count as crashes.
#[test]
fn single_losses_name_nobody() {
    let mut detector = CrashDetector::default();
    for index in 0..20_u64 {
        let at = Millis(1_000 * index);
        assert!(
            detector
                .record_loss(at, Millis(0), "u", ([index as u8; 32], index))
                .is_empty()
        );
    }
}

/// Guards against a crash that is not detected when its requests are lost together.
#[test]
fn losses_together_show_a_crash() {
    let mut detector = CrashDetector::default();
    assert!(
        detector
            .record_loss(Millis(10), Millis(0), "u", ([1; 32], 1))
            .is_empty()
    );
    assert!(
        detector
            .record_loss(Millis(20), Millis(0), "u", ([2; 32], 2))
            .is_empty()
    );
    assert!(
        detector
            .record_loss(Millis(25), Millis(0), "other", ([9; 32], 9))
            .is_empty()
    );
    let named = detector.record_loss(Millis(30), Millis(0), "u", ([3; 32], 3));
    assert_eq!(named.len(), 3);
    assert!(
        detector.record_end(Millis(40), Millis(40), "u").is_empty(),
        "reported once"
    );
}

/// Guards against a crash that is not detected because only one request ran there.
#[test]
fn loss_before_the_end_is_named() {
    let mut detector = CrashDetector::default();
    detector.record_loss(Millis(10), Millis(0), "u", ([1; 32], 1));
    assert_eq!(
        detector.record_end(Millis(300), Millis(300), "u"),
        [([1; 32], 1)]
    );
    detector.record_loss(Millis(400), Millis(0), "u", ([2; 32], 2));
    assert!(
        detector
            .record_end(Millis(5_000), Millis(5_000), "u")
            .is_empty()
    );
}
