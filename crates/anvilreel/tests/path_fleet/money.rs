//! Budgets that run out.

use anvilreel::local::PREPAID;

use super::fleet::{Fleet, json};

/// Ten million tokens: the most that the dear request below can cost is under that.
const ENOUGH: u64 = 10_000_000;

/// A team's question could cost more than what is left of its prepaid budget. Served, it might
/// overspend the members' money; refused without a reason, nobody would know to top up.
#[tokio::test(flavor = "multi_thread")]
async fn an_exhausted_budget_refuses_truly_until_it_is_topped_up() {
    let fleet = Fleet::start(1, 1).await;
    let dear = "service = \"runners\"\nmax_output = 512\n[price]\nprompt = 1\noutput = 10000\n";
    fleet.put("models/demo-chat", dear).await;

    let refused = fleet.chat(0, None, "tokens=2 hello").await;
    let error = json(&refused)["error"].clone();
    assert_eq!(refused.status, 402, "{error}");
    assert_eq!(error["type"], "budget_exhausted");
    assert_eq!(error["outcome"], "not_run");
    assert_eq!(error["billed"], false);
    assert!(error["retry_after_ms"].is_u64());
    assert_eq!(fleet.started(), 0);
    assert_eq!(fleet.budget().await.billed, 0);

    fleet.top_up("more", ENOUGH).await;
    assert_eq!(fleet.budget().await.credited, PREPAID + ENOUGH);
    let mut served = fleet.chat(0, None, "tokens=2 hello").await;
    // The ledger's "no" may be taken for the present truth for a moment after the top-up.
    while served.status == 402 {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        served = fleet.chat(0, None, "tokens=2 hello").await;
    }
    assert_eq!(served.status, 200, "{}", json(&served));
    let usage = json(&served)["usage"].clone();
    let prompt = usage["prompt_tokens"].as_u64().expect("a number");
    let output = usage["completion_tokens"].as_u64().expect("a number");
    fleet.billed(prompt + 10_000 * output).await;
    assert!(fleet.budget().await.invariant_holds());
}
