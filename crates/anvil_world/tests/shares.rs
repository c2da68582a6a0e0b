//! Factors of shares.

use anvil_world::prelude::*;

/// Guards against a mistyped factor that starves an organisation or all others, and against one
/// that is refused although it is at a bound.
#[test]
fn factors_within_the_bounds_are_accepted_and_others_refused() {
    for (text, shown) in [("0.1", "0.1"), ("1.0", "1"), ("2.5", "2.5"), ("10", "10")] {
        let factor: ShareFactor = text.parse().expect("a factor");
        assert_eq!(factor.to_string(), shown);
    }
    for text in ["0", "0.09", "10.01", "-1", "NaN", "inf", "1e9", "four", ""] {
        assert!(text.parse::<ShareFactor>().is_err(), "{text}");
    }
}
