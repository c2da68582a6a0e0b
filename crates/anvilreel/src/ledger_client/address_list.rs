//! Addresses of the ledger's replicas and relays, in the order in which they are called.

use std::net::SocketAddr;

use anvil_wire::Channel;

/// Channels to the addresses, in the order in which they are called.
#[derive(Clone, Default)]
pub struct AddressList {
    channels: Vec<Channel>,
}

impl AddressList {
    /// Number of addresses.
    pub fn len(&self) -> usize {
        self.channels.len()
    }

    /// The channel at a position.
    pub fn get(&self, position: usize) -> Option<&Channel> {
        self.channels.get(position)
    }

    /// The channel at a position, which wraps around.
    pub fn get_wrapping(&self, position: usize) -> Option<&Channel> {
        let position = position.checked_rem(self.channels.len())?;
        self.channels.get(position)
    }

    /// The position of an address.
    pub fn position_of(&self, addr: SocketAddr) -> Option<usize> {
        self.channels
            .iter()
            .position(|channel| channel.addr() == addr)
    }

    /// The addresses, in order.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.channels.iter().map(Channel::addr).collect()
    }

    /// Whether the list has just these addresses, in this order.
    pub fn matches(&self, addrs: &[SocketAddr]) -> bool {
        self.channels
            .iter()
            .map(Channel::addr)
            .eq(addrs.iter().copied())
    }

    /// A list of these addresses; those that are known already keep their connections.
    pub fn with_addrs(&self, addrs: &[SocketAddr]) -> Self {
        let channel = |addr: &SocketAddr| {
            let known = self.channels.iter().find(|channel| channel.addr() == *addr);
            known.cloned().unwrap_or_else(|| Channel::new(*addr))
        };
        Self {
            channels: addrs.iter().map(channel).collect(),
        }
    }
}

/// Alternates replicas and relays, so that a relay is the second address that is called.
pub fn interleaved(replicas: &[SocketAddr], relays: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut relays = relays.iter();
    let mut all = Vec::new();
    for replica in replicas {
        all.push(*replica);
        all.extend(relays.next());
    }
    all.extend(relays);
    all
}
