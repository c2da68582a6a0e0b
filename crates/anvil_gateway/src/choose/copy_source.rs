//! The engine from which the selected one copies the prompt's cached prefix.

use std::net::SocketAddr;

use anvil_policy::copying;
use anvil_policy::engine::Prompt;
use anvil_world::prelude::*;

use super::candidate::{Candidate, EngineTerms};

/// An engine from which another one copies a cached prefix.
pub(super) struct CopySource {
    pub(super) addr: SocketAddr,
    /// Tokens whose processing takes as long as copying the prefix and processing the rest.
    pub(super) equivalent_tokens: Tokens,
}

/// The engine to copy the prefix from, if copying is much faster than recomputing it.
pub(super) fn copy_source(
    terms: &EngineTerms<'_>,
    prompt: &Prompt<'_>,
    selected: &Candidate<'_>,
    candidates: &[Candidate<'_>],
) -> Option<CopySource> {
    prompt.shared_prefix()?;
    let copying = terms.copying?;
    let others = candidates
        .iter()
        .filter(|other| !other.on_cooldown && !other.pause.is_paused);
    let others = others.filter(|other| other.endpoint.id != selected.endpoint.id);
    let others: Vec<_> = others
        .map(|other| (other.endpoint.addr, other.missing))
        .collect();
    let (addr, source_missing) = copying::source(selected.missing, &others)?;
    Some(CopySource {
        addr,
        equivalent_tokens: copying.equivalent_missing(
            selected.missing.with_home,
            source_missing,
            &terms.rule,
        ),
    })
}
