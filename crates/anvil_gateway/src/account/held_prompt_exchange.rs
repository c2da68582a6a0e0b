//! Messages between gateways about the prompts that they hold, and the log of how holds ended.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use anvil_policy::held_prompt::LostAttempt;
use anvil_wire::msg::{HeldPromptCall, HeldPromptReply, HeldPromptRequest};
use anvil_world::prelude::*;
use anvilreel::event;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::held_prompts::{ChargeEffects, EndedHold, HoldEnd, HoldResult, LostPrompt};
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;

/// Minimum time between two batches of messages.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a sibling's reply; the reply is of no use.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends messages and charges the attempts whose time is over, for as long as the process runs.
pub async fn run(gw: &Arc<Gateway>) {
    let mut sending = JoinSet::new();
    loop {
        tokio::select! {
            () = gw.held_prompts.changed.notified() => {}
            () = gw.first_hold_ended() => {}
        }
        gw.log_ended_holds(&gw.held_prompts.charge_ended(gw.lifecycle.now()));
        for (sibling, message) in gw.held_prompt_messages() {
            sending.spawn(send(gw.clone(), sibling, message));
        }
        while sending.try_join_next().is_some() {}
        sleep(BATCH_INTERVAL).await;
    }
}

/// Sends a message once. If it is lost, or the sibling is of a build that doesn't know it, both
/// attempts of the request stay charged.
async fn send(gw: Arc<Gateway>, sibling: InstanceId, message: HeldPromptRequest) {
    if let Some(channel) = gw.siblings.channel(&sibling) {
        gw.metrics.count(metrics::HELD_PROMPT_MESSAGES);
        // Not sent again: a hold is short, and its attempt may have been charged meanwhile.
        let _ = channel.call::<HeldPromptCall>(&message, SEND_TIMEOUT).await;
    }
}

impl Gateway {
    /// Holds the prompt of an attempt that has ended in doubt, or charges it.
    pub fn hold_prompt(&self, lost: LostPrompt, time_left: Duration) {
        let now = self.lifecycle.now();
        match self.held_prompts.hold(now, lost, time_left) {
            HoldResult::Held(ended) => {
                self.metrics.count(metrics::PROMPTS_HELD);
                self.log_ended_holds(ended.as_slice());
            }
            HoldResult::Charged => {}
        }
    }

    /// Records a charge that can't be reversed any more. Returns the gateways to which it is
    /// reported, as they hold attempts of the same request.
    pub fn record_final_charge(&self, charged: LostAttempt) -> Vec<InstanceId> {
        let now = self.lifecycle.now();
        let ChargeEffects {
            released,
            reported_to,
        } = self.held_prompts.record_charge(now, charged);
        self.log_ended_holds(&released);
        reported_to
    }

    /// Applies a message of another gateway.
    pub fn answer_held_prompt_request(&self, message: HeldPromptRequest) -> HeldPromptReply {
        let released = self.held_prompts.receive(self.lifecycle.now(), message);
        self.log_ended_holds(&released);
        HeldPromptReply::Received
    }

    /// Charges what is held of grants that the ledger has recalled.
    pub fn charge_recalled_prompts(&self) {
        self.log_ended_holds(&self.held_prompts.charge_recalled());
    }

    /// Charges everything that is held, and holds nothing any more.
    pub fn stop_holding_prompts(&self) {
        self.log_ended_holds(&self.held_prompts.close());
    }

    /// Notifications for the other gateways of the zone, and reports for those that hold attempts.
    fn held_prompt_messages(&self) -> Vec<(InstanceId, HeldPromptRequest)> {
        let mut messages = self.held_prompts.take_reports();
        let Some(notification) = self.held_prompts.take_notification(self.lifecycle.now()) else {
            return messages;
        };
        let siblings = self.siblings.members();
        let in_zone = siblings
            .iter()
            .filter(|(id, sibling)| sibling.zone == self.cfg.zone.id && **id != self.cfg.id);
        messages.extend(in_zone.map(|(id, _)| (id.clone(), notification.clone())));
        messages
    }

    async fn first_hold_ended(&self) {
        match self.held_prompts.first_end() {
            Some(end) => sleep(end.saturating_sub(self.lifecycle.now())).await,
            None => pending().await,
        }
    }

    fn log_ended_holds(&self, ended: &[EndedHold]) {
        for hold in ended {
            if hold.end == HoldEnd::Released {
                self.metrics.count(metrics::PROMPTS_RELEASED);
                event!(
                    self.log, events::GATEWAY_PROMPT_RELEASED,
                    "request" => &*hold.id, "tokens" => hold.prompt
                );
            } else {
                self.metrics.count(metrics::PROMPTS_CHARGED);
                event!(
                    self.log, events::GATEWAY_PROMPT_CHARGED,
                    "request" => &*hold.id, "tokens" => hold.prompt, "why" => hold.end.text()
                );
            }
        }
    }
}
