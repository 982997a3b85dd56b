//! Which agent of a zone gets each piece of a version before the others there.
//!
//! It is made for a version that many agents want at once over narrow links. The first
//! agent with a piece sends it to the rest of its zone, so a version is complete only when
//! the agent with the most pieces to pass on has sent them. If each piece went to the agent
//! that ranks first for it, some agents of 33 would have six of 64 pieces where two would do,
//! and the version would take more than twice as long.

use crate::rollout::rank;

/// Number of agents ranked first for a piece, of which the one with the fewest pieces gets it.
///
/// Agents whose lists of the zone differ in one agent still agree on most pieces, unlike with
/// an even division of the whole list.
const CHOICES: usize = 8;

/// Returns for each of `count` pieces the name of the agent that gets it first. Returns no
/// pieces when there are no names.
pub fn assign<'a>(key: &str, count: usize, names: &[&'a str]) -> Vec<&'a str> {
    let mut pieces = vec![0_usize; names.len()];
    let mut roots = Vec::with_capacity(count);
    for index in 0..count {
        let key = format!("{key}/{index}");
        let weights = names.iter().map(|name| rank::weight(&key, name));
        let mut ranked: Vec<(u64, usize)> = weights.zip(0..).collect();
        let choices = CHOICES.min(ranked.len());
        if choices < ranked.len() {
            ranked.select_nth_unstable(choices);
        }
        let best = ranked[..choices]
            .iter()
            .min_by_key(|(weight, name)| (pieces[*name], *weight));
        let Some((_, name)) = best else {
            return Vec::new();
        };
        pieces[*name] += 1;
        roots.push(names[*name]);
    }
    roots
}

/// Returns for each of `count` pieces the agent that gets it first: the one of [`assign`],
/// or the usable one that ranks first for the piece when that is not usable.
///
/// Each agent finds others unusable at other times. So only the pieces of such an agent move,
/// and agents agree on the others.
pub fn choose<'a>(
    key: &str,
    count: usize,
    names: &[&'a str],
    is_usable: &dyn Fn(&str) -> bool,
) -> Vec<Option<&'a str>> {
    let assigned = assign(key, count, names).into_iter().enumerate();
    let chosen = assigned.map(|(index, name)| {
        if is_usable(name) {
            return Some(name);
        }
        let key = format!("{key}/{index}");
        let usable = names.iter().filter(|name| is_usable(name));
        usable.copied().min_by_key(|name| rank::weight(&key, name))
    });
    chosen.collect()
}
