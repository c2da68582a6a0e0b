//! Exhausted budgets.

use anvilreel::local::INITIAL_CREDIT;

use super::fleet::{Fleet, json};

/// More than the maximum cost of the expensive request below.
const TOP_UP_AMOUNT: u64 = 10_000_000;

/// A request may cost more than what is left of its prepaid budget. Serving it could overspend the
/// budget, and a refusal without the reason would not tell anyone to top it up.
#[tokio::test(flavor = "multi_thread")]
async fn an_exhausted_budget_refuses_requests_until_it_is_topped_up() {
    let fleet = Fleet::start(1, 1).await;
    let expensive_model =
        "service = \"runners\"\nmax_output = 512\n[price]\nprompt = 1\noutput = 10000\n";
    fleet
        .put_document("models/demo-chat", expensive_model)
        .await;

    let refused = fleet.chat(0, None, "tokens=2 hello").await;
    let error = json(&refused)["error"].clone();
    assert_eq!(refused.status, 402, "{error}");
    assert_eq!(error["type"], "budget_exhausted");
    assert_eq!(error["outcome"], "not_run");
    assert_eq!(error["billed"], false);
    assert!(error["retry_after_ms"].is_u64());
    assert_eq!(fleet.started_runs(), 0);
    assert_eq!(fleet.budget().await.billed, 0);

    fleet.top_up("more", TOP_UP_AMOUNT).await;
    assert_eq!(
        fleet.budget().await.credited,
        INITIAL_CREDIT + TOP_UP_AMOUNT
    );
    let mut served = fleet.chat(0, None, "tokens=2 hello").await;
    // The router may use the ledger's cached refusal for a moment after the top-up.
    while served.status == 402 {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        served = fleet.chat(0, None, "tokens=2 hello").await;
    }
    assert_eq!(served.status, 200, "{}", json(&served));
    let usage = json(&served)["usage"].clone();
    let prompt = usage["prompt_tokens"].as_u64().expect("a number");
    let output = usage["completion_tokens"].as_u64().expect("a number");
    fleet.wait_until_billed(prompt + 10_000 * output).await;
    assert!(fleet.budget().await.invariant_holds());
}
