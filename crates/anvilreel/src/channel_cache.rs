//! A cache of channels to other processes: one for each address, created on first use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use anvil_wire::Channel;
use arc_swap::ArcSwap;

/// Channels by address. A lookup takes no lock.
#[derive(Default)]
pub struct ChannelCache {
    channels: ArcSwap<BTreeMap<SocketAddr, Channel>>,
}

impl ChannelCache {
    /// Returns the channel to an address; creates it on first use.
    pub fn channel(&self, addr: SocketAddr) -> Channel {
        if let Some(channel) = self.channels.load().get(&addr) {
            return channel.clone();
        }
        let channel = Channel::new(addr);
        self.channels.rcu(|channels| {
            let mut channels = BTreeMap::clone(channels);
            channels.entry(addr).or_insert_with(|| channel.clone());
            Arc::new(channels)
        });
        // A concurrent call may have inserted its channel first; all callers must share one
        // connection.
        self.channels.load().get(&addr).cloned().unwrap_or(channel)
    }

    /// Drops the channels to all addresses except the wanted ones.
    pub fn retain(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        self.channels.rcu(|channels| {
            let mut channels = BTreeMap::clone(channels);
            channels.retain(|addr, _| wanted(addr));
            Arc::new(channels)
        });
    }
}
