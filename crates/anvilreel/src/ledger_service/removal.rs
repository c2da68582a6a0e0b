//! How an operator takes a replica out of the ledger for good.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_wire::Channel;
use anvil_world::prelude::*;
use snafu::Snafu;

use super::peer::{PeerCall, PeerReply, PeerRequest};

/// Longest wait for one replica's answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// No leader took the request; nothing was done.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("no leader of the ledger could be reached; nothing was done"))]
pub struct NoLeader;

/// Asks the leader to take an instance's replica out, learner or voter.
///
/// The leader does it as soon as that is safe, so success means that it has begun; read the
/// ledger's status for the outcome. Asking again changes nothing.
pub async fn remove(replicas: &[SocketAddr], instance: &InstanceId) -> Result<(), NoLeader> {
    let req = PeerRequest::Remove(instance.clone());
    for addr in replicas {
        let leader = match send_request(*addr, &req).await {
            Some(PeerReply::Removing) => return Ok(()),
            Some(PeerReply::NotLeader { leader }) => leader,
            _ => None,
        };
        let Some(leader) = leader else {
            continue;
        };
        if send_request(leader, &req).await == Some(PeerReply::Removing) {
            return Ok(());
        }
    }
    Err(NoLeader)
}

async fn send_request(addr: SocketAddr, req: &PeerRequest) -> Option<PeerReply> {
    let channel = Channel::new(addr);
    channel.call::<PeerCall>(req, REPLY_TIMEOUT).await.ok()
}
