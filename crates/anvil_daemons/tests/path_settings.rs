//! Wrong settings: nothing is started, and the line, what was found and what is allowed are told.

use std::process::ExitCode;

use anvil_daemons::{StartError, exit_code, read_settings};
use anvil_world::settings::{LedgerSettings, RouterSettings, SidecarSettings};

const ROUTER: &str = r#"id = "router-1"
listen = "127.0.0.1:8787"
wire_listen = "127.0.0.1:9200"
ledgers = ["127.0.0.1:9100"]
[zone]
region = "local"
id = "local-a"
"#;

fn read_router(text: &str) -> Result<RouterSettings, StartError> {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("router.toml");
    std::fs::write(&path, text).expect("written");
    read_settings(&path)
}

fn complaint(text: &str) -> String {
    let e = read_router(text).expect_err("not accepted");
    let told = e.to_string();
    let code = format!("{:?}", exit_code(Err(e)));
    assert_eq!(code, format!("{:?}", ExitCode::from(2)));
    told
}

#[test]
fn good_settings_are_read() {
    let settings = read_router(ROUTER).expect("accepted");
    assert_eq!(settings.threads, 0);
}

#[test]
fn an_unknown_key_is_named_with_its_line_and_what_is_allowed() {
    let told = complaint(&format!("thread = 4\n{ROUTER}"));
    assert!(told.contains("router.toml:1:"), "{told}");
    assert!(told.contains("`thread`"), "{told}");
    assert!(told.contains("`threads`"), "{told}");
}

#[test]
fn a_value_of_the_wrong_type_is_named_with_its_line() {
    let told = complaint(&ROUTER.replace("\"127.0.0.1:8787\"", "\"localhost:8787\""));
    assert!(told.contains("router.toml:2:"), "{told}");
}

#[test]
fn values_out_of_range_are_all_named_at_once() {
    let wrong = ROUTER
        .replace("\"router-1\"", "\"Router 1\"")
        .replace("[\"127.0.0.1:9100\"]", "[]");
    let told = complaint(&wrong);
    assert!(told.contains("router.toml:1: id: found"), "{told}");
    assert!(
        told.contains("router.toml:4: ledgers: found none"),
        "{told}"
    );
    assert!(told.contains("allowed is"), "{told}");
}

#[test]
fn a_half_written_file_is_refused() {
    for cut in (1..ROUTER.len()).step_by(7) {
        let cut = &ROUTER[..cut];
        assert!(read_router(cut).is_err(), "{cut}");
    }
}

#[test]
fn the_examples_of_the_manual_are_accepted() {
    let page = std::path::PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let page = page.join("../../docs/operators/run.md");
    let page = std::fs::read_to_string(page).expect("a page");
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("example.toml");
    for (title, is_good) in [
        (
            "## Ledger",
            accepts::<LedgerSettings> as fn(&std::path::Path) -> bool,
        ),
        ("## Router", accepts::<RouterSettings>),
        ("## Sidecar", accepts::<SidecarSettings>),
    ] {
        let after = page.split_once(title).expect("a title").1;
        let lines = after.lines().skip(2);
        let block = lines.map_while(|line| line.strip_prefix("    "));
        let block: Vec<_> = block.collect();
        std::fs::write(&path, block.join("\n")).expect("written");
        assert!(is_good(&path), "{title}:\n{}", block.join("\n"));
    }
}

fn accepts<T>(path: &std::path::Path) -> bool
where
    T: serde::de::DeserializeOwned + anvil_world::settings::Validate,
{
    read_settings::<T>(path).is_ok()
}
