//! Permanent removal of a replica from the ledger by an operator.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_wire::Channel;
use anvil_world::prelude::*;
use snafu::Snafu;

use super::peer::{PeerCall, PeerReply, PeerRequest};

/// Timeout of a request to one replica.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// No leader accepted the request; nothing was done.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("no leader of the ledger could be reached; nothing was done"))]
pub struct NoLeader;

/// Asks the leader to remove an instance's replica, learner or voter.
///
/// The leader removes it as soon as that is safe, so success means that the removal has begun; the
/// ledger's status shows the outcome. The request is idempotent.
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
