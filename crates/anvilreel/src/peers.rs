//! Channels to other processes, one for each address, made when first needed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use anvil_wire::Channel;
use arc_swap::ArcSwap;

/// Channels by address. Looking one up takes no lock.
#[derive(Default)]
pub struct Peers {
    channels: ArcSwap<BTreeMap<SocketAddr, Channel>>,
}

impl Peers {
    /// The channel to an address.
    pub fn to(&self, addr: SocketAddr) -> Channel {
        if let Some(channel) = self.channels.load().get(&addr) {
            return channel.clone();
        }
        let channel = Channel::new(addr);
        self.channels.rcu(|channels| {
            let mut channels = BTreeMap::clone(channels);
            channels.entry(addr).or_insert_with(|| channel.clone());
            Arc::new(channels)
        });
        // Another request may have been first; all must share one connection.
        self.channels.load().get(&addr).cloned().unwrap_or(channel)
    }

    /// Forgets addresses that nobody is expected at.
    pub fn keep(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        self.channels.rcu(|channels| {
            let mut channels = BTreeMap::clone(channels);
            channels.retain(|addr, _| wanted(addr));
            Arc::new(channels)
        });
    }
}
