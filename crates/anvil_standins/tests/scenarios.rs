//! Tests of the scenario files, their arrivals and the report.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anvil_standins::Error;
use anvil_standins::load::policy::Rule;
use anvil_standins::load::{Ending, Recorder, Sample, Scenario, arrivals, experiment};
use anvil_world::document::WorkClass;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn scenario(name: &str) -> Scenario {
    Scenario::load(&folder().join(name).with_extension("toml")).unwrap()
}

#[test]
fn every_scenario_file_is_valid_and_has_arrivals() {
    let files = std::fs::read_dir(folder()).unwrap();
    for file in files {
        let path = file.unwrap().path();
        let scenario = Scenario::load(&path).unwrap_or_else(|e| panic!("{e}"));
        assert!(!arrivals(&scenario).is_empty(), "{}", path.display());
    }
}

#[test]
fn the_deployment_scenarios_have_the_expected_sizes() {
    let cooperative = scenario("cooperative");
    assert_eq!(cooperative.fleet.zones.len(), 4);
    assert_eq!(cooperative.endpoint_list().len(), 9 + 4);
    let ceasornic = scenario("ceasornic");
    assert_eq!(ceasornic.fleet.zones.len(), 3);
    assert_eq!(ceasornic.endpoint_list().len(), 9 + 3);
}

#[test]
fn an_unknown_key_is_an_error_with_its_line_number() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bad.toml");
    std::fs::write(&path, "name = \"bad\"\nsneed = 3\n").unwrap();
    let error = Scenario::load(&path).unwrap_err();
    assert!(matches!(error, Error::Scenario { .. }));
    assert!(error.to_string().contains("bad.toml:2"), "{error}");
}

#[test]
fn the_same_seed_gives_the_same_requests() {
    let burst = scenario("burst");
    assert_eq!(arrivals(&burst), arrivals(&burst));
    let mut other = burst.clone();
    other.seed += 1;
    assert_ne!(arrivals(&burst), arrivals(&other));
}

#[test]
fn a_burst_has_ten_times_the_rate() {
    let burst = scenario("burst");
    let within = |from, to| {
        let span = Duration::from_secs(from)..Duration::from_secs(to);
        let all = arrivals(&burst);
        all.iter().filter(|a| span.contains(&a.at)).count()
    };
    let (before, during) = (within(2, 5), within(5, 8));
    assert!((120..240).contains(&before), "{before}");
    assert!((1_600..2_000).contains(&during), "{during}");
}

#[test]
fn the_large_organisation_sends_ninety_percent() {
    let all = arrivals(&scenario("skew"));
    let large = all.iter().filter(|a| a.organisation == 0).count();
    assert!((88..92).contains(&(large * 100 / all.len())));
}

#[test]
fn a_report_counts_each_kind_of_ending() {
    let scenario = scenario("burst");
    let mut recorder = Recorder::new(&scenario, "test");
    let sample = |ending| Sample {
        at: Duration::from_secs(1),
        organisation: 0,
        class: WorkClass::Interactive,
        first_token: Some(Duration::from_millis(20)),
        took: Duration::from_millis(200),
        deadline: Duration::from_secs(1),
        tokens: 10,
        ending,
    };
    let refused = |is_false| Ending::Refused {
        kind: "overloaded".into(),
        is_false,
    };
    for ending in [
        Ending::Completed,
        refused(true),
        refused(false),
        Ending::Broken {
            defect: "other text".into(),
        },
    ] {
        recorder.record(&sample(ending));
    }
    let report = recorder.report();
    assert_eq!(
        (report.offered, report.in_deadline, report.broken),
        (4, 1, 1)
    );
    assert_eq!(
        (report.refused["overloaded"], report.false_refusals),
        (2, 1)
    );
    assert!((report.first_token.p50 - 20.0).abs() < 0.1);
}

#[test]
fn the_three_charts_are_written() {
    let folder = tempfile::tempdir().unwrap();
    let scenario = scenario("burst");
    let report = Recorder::new(&scenario, "test").report();
    anvil_standins::load::plot::draw(folder.path(), &[report]).unwrap();
    let files = std::fs::read_dir(folder.path()).unwrap().count();
    assert_eq!(files, 3);
}

#[test]
fn every_scenario_runs_in_the_policy_simulation() {
    let files = std::fs::read_dir(folder()).unwrap();
    for file in files {
        let scenario = Scenario::load(&file.unwrap().path()).unwrap();
        // Short: the faults of a long scenario are converted, but their time is not reached.
        let mut short = scenario.with_percent(20);
        short.run_for = Duration::from_secs(2);
        let report = experiment::simulate(&short, &Rule::ours());
        assert_eq!(report.scenario, short.name);
        let ended = report.completed + report.refusals() + report.lost;
        assert_eq!(report.offered, ended, "{}", short.name);
    }
}
