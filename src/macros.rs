//! Macro that derives the sets of traits that many types of this crate share.

/// Declares a type with one of the common sets of derived traits.
///
/// - `key`: small `Copy` identifiers that order and hash;
/// - `value`: plain data that can be cloned and compared;
/// - `doc`: parts of a YAML document, with unknown fields refused.
#[macro_export]
macro_rules! common {
    (key $($item:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $($item)*
    };
    (value $($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq)]
        $($item)*
    };
    (doc $($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $($item)*
    };
}
