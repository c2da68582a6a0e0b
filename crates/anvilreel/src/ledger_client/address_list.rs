//! The addresses through which the ledger is asked, in the order in which they are tried.

use std::net::SocketAddr;

use anvil_wire::Channel;

/// Channels in the order in which they are tried.
#[derive(Clone, Default)]
pub struct AddressList {
    channels: Vec<Channel>,
}

impl AddressList {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.channels.len()
    }

    /// One by its number.
    pub fn get(&self, position: usize) -> Option<&Channel> {
        self.channels.get(position)
    }

    /// One by its number, counted round.
    pub fn get_wrapping(&self, position: usize) -> Option<&Channel> {
        let position = position.checked_rem(self.channels.len())?;
        self.channels.get(position)
    }

    /// The number of an address.
    pub fn position_of(&self, addr: SocketAddr) -> Option<usize> {
        self.channels
            .iter()
            .position(|channel| channel.addr() == addr)
    }

    /// Their addresses, in order.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.channels.iter().map(Channel::addr).collect()
    }

    /// Whether these are the addresses, in this order.
    pub fn matches(&self, addrs: &[SocketAddr]) -> bool {
        self.channels
            .iter()
            .map(Channel::addr)
            .eq(addrs.iter().copied())
    }

    /// Ways to these addresses; those that are known already keep their connections.
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

/// Replicas and relays by turns, so that a relay is the second that is tried.
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
