//! Prints the results of the policy simulation as a Markdown table.
//!
//! `cargo run --release -p anvil_standins --example policy_table [SEED] [SCENARIO|all] [ablations]`

use anvil_standins::load::policy::{PolicyScenario, Report, Rule, run_policy};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let seed = args.first().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let selected = args.get(1).map_or("all", String::as_str);
    let mut rules = vec![Rule::ours()];
    if args.iter().any(|arg| arg == "ablations") {
        rules.extend(Rule::ablations());
    } else if !args.iter().any(|arg| arg == "ours") {
        rules.extend(Rule::baselines());
    }
    println!(
        "| scenario | rule | offered | good/s | kept/s | refused | false | given up | failed | batch lost \
         | first p50 ms | first p95 ms | worst 5 s | its median over organisations | batch first p95 | between p95 ms | Jain | prefix hits \
         | hot spot |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in PolicyScenario::all() {
        if selected != "all" && selected != scenario.name {
            continue;
        }
        let scenario = scenario.with_seed(seed);
        for rule in &rules {
            print(&run_policy(&scenario, rule));
        }
    }
}

fn print(r: &Report) {
    println!(
        "| {} | {} | {} | {:.2} | {:.2} | {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} \
         | {:.3} | {:.2} | {:.2} |",
        r.scenario,
        r.rule,
        r.offered,
        r.goodput,
        r.kept,
        r.refused,
        r.false_refused,
        r.given_up,
        r.failed,
        r.batch_lost,
        r.first_p50,
        r.first_p95,
        r.worst_first_p95,
        r.median_organisation_p95,
        r.batch_first_p95,
        r.between_p95,
        r.jain,
        r.prefix_hits,
        r.hot_spot,
    );
}
