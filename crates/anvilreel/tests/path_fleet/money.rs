//! Budgets that run out.

use anvilreel::local::PREPAID;

use super::fleet::{Fleet, json};

/// A budget is nearly used up. The refusal must name it, run nothing, and end with a top-up.
#[tokio::test(flavor = "multi_thread")]
async fn an_exhausted_budget_refuses_truly_until_it_is_topped_up() {
    let fleet = Fleet::start(1, 1).await;
    let long = format!("{}{}", "x".repeat(1_100_000), " tokens=1");
    let refused = fleet.chat(0, None, &long).await;
    // More than the whole budget: too long a prompt for the model comes first.
    assert_eq!(refused.status, 413);

    fleet.top_up("a", 1_000).await;
    assert_eq!(fleet.budget().await.credited, PREPAID + 1_000);
    let order = fleet.chat(0, None, "tokens=4 hello").await;
    assert_eq!(order.status, 200);
    let cost = json(&order)["usage"]["total_tokens"]
        .as_u64()
        .expect("a number");
    fleet.billed(cost).await;
    assert!(fleet.budget().await.holds());
}
