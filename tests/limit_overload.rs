//! Overload control at the entry.

use chervilquay::limit::OverloadControl;
use chervilquay::prelude::*;

/// Offers `rates` requests per second of cost 10, by organisation, to a pool that finishes
/// `capacity` milliseconds of work per second. Returns the requests admitted per second, by
/// organisation, in the second half of 20 s.
fn run(rates: &[f64], capacity: f64) -> Vec<f64> {
    let mut control = OverloadControl::new(Millis(0));
    let mut backlog = vec![0.0; rates.len()];
    let mut admitted = vec![0.0; rates.len()];
    for now in 1..=20_000_u64 {
        let mut capacity_left: f64 = capacity / 1_000.0;
        for (index, rate) in rates.iter().enumerate() {
            backlog[index] += rate / 1_000.0;
            if backlog[index] < 1.0 {
                continue;
            }
            backlog[index] -= 1.0;
            if control.admit(&index.to_string(), 1, 10.0, true).is_err() {
                continue;
            }
            admitted[index] += if now > 10_000 { 1.0 } else { 0.0 };
            capacity_left -= 10.0;
        }
        // On average, the agents refuse the work beyond the capacity.
        let share = (capacity / (rates.iter().sum::<f64>() * 10.0)).min(1.0);
        if capacity_left < 0.0 && now % 2 == 0 && share < 1.0 {
            control.on_busy();
        }
        control.on_done(capacity / 1_000.0);
        control.tick(Millis(now));
    }
    admitted.iter().map(|count| count / 10.0).collect()
}

// Guards against refusals without overload.
#[test]
fn no_overload_admits_all() {
    let admitted = run(&[30.0, 10.0], 1_000.0);
    assert!((admitted[0] - 30.0).abs() < 1.0, "{admitted:?}");
}

// Guards against large organisations that crowd out small ones.
#[test]
fn overload_divided_fairly() {
    let admitted = run(&[150.0, 100.0, 10.0, 10.0], 1_000.0);
    assert!(admitted[2] > 9.0 && admitted[3] > 9.0, "{admitted:?}");
    assert!(
        (admitted[0] / admitted[1] - 1.0).abs() < 0.1,
        "{admitted:?}"
    );
    let total: f64 = admitted.iter().sum();
    assert!((95.0..115.0).contains(&total), "{admitted:?}");
}

// Guards against an overload refusal without code or Retry-After.
#[test]
fn refusals_have_code_and_retry_time() {
    let mut control = OverloadControl::new(Millis(0));
    let mut refused = None;
    for now in 0..5_000 {
        if let Err(error) = control.admit("a", 1, 10.0, true) {
            refused = Some(error);
        }
        control.on_busy();
        control.on_done(1.0);
        control.tick(Millis(now));
    }
    let error = refused.expect("refused under overload");
    assert_eq!(error.code, Code::Overloaded);
    assert!(error.retry.is_some());
    assert_eq!(error.run, Run::NotRun);
}
