//! What the placement needs to know about a request.

use crate::prelude::*;
use crate::route::admission::Allowance;
use crate::route::engine::Size;
use crate::route::regions::Regions;

common! { value
/// What the placement needs to know about a request.
pub struct RequestProfile {
    /// Name of the pool that serves it.
    pub pool: String,
    /// Priority of its organisation or else its route; 0 is the most urgent.
    pub rank: u8,
    /// Model that it names; none for plain services.
    pub model: Option<String>,
    /// Regions that may serve it.
    pub regions: Regions,
    /// Oldest version of the model that may run it.
    pub min_version: u64,
    /// Length of its prompt and expected answer; zero for plain services.
    pub size: Size,
    /// Time left until its objective, in milliseconds; none when it is late already.
    pub slack_ms: Option<f64>,
    /// Longest pause between two events that its route allows, in milliseconds.
    pub max_pause: Option<f64>,
    /// Time left until its caller gives up, in milliseconds.
    pub time_left: f64,
    /// Time that an engine takes to read its prompt, in milliseconds.
    pub read_ms: f64,
    /// Value of the request for the engine time that it takes, relative to the
    /// usual request; see [`Engine::value_density`].
    pub value_density: f64,
    /// Its weight, relative to the smallest weight that counts as large on its route.
    pub relative_size: f64,
    /// How strongly large requests of its route are preferred, from 0 to 1.
    pub large_preference: f64,
    /// What its kind may use of the pool while requests are refused.
    pub allowance: Allowance,
}
}
