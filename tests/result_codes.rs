//! Numbers of result codes are unique and can be mapped back to the codes.

use chervilquay::prelude::*;

// Guards against two codes with one number, and against a code that a receiver cannot decode.
#[test]
fn numbers_round_trip() {
    let mut last = 0;
    for code in Code::ALL {
        assert!(code.number() > last, "{code} is out of order");
        assert_eq!(Code::from_number(code.number()), Some(*code));
        last = code.number();
    }
}
