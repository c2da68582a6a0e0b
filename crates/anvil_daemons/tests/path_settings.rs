//! Wrong settings files: nothing is started, and the error names the file, the line, what was found
//! and what is allowed.

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
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let path = folder.path().join("router.toml");
    std::fs::write(&path, text).expect("the file can be written");
    read_settings(&path)
}

fn error_text(settings: &str) -> String {
    let e = read_router(settings).expect_err("the settings are wrong");
    let text = e.to_string();
    let code = format!("{:?}", exit_code(Err(e)));
    assert_eq!(code, format!("{:?}", ExitCode::from(2)));
    text
}

#[test]
fn valid_settings_are_accepted() {
    let settings = read_router(ROUTER).expect("the settings are valid");
    assert_eq!(settings.threads, 0);
}

#[test]
fn unknown_key_is_reported_with_line_and_allowed_keys() {
    let text = error_text(&format!("thread = 4\n{ROUTER}"));
    assert!(text.contains("router.toml:1:"), "{text}");
    assert!(text.contains("`thread`"), "{text}");
    assert!(text.contains("`threads`"), "{text}");
}

#[test]
fn value_of_wrong_type_is_reported_with_line() {
    let text = error_text(&ROUTER.replace("\"127.0.0.1:8787\"", "\"localhost:8787\""));
    assert!(text.contains("router.toml:2:"), "{text}");
}

#[test]
fn all_values_out_of_range_are_reported_together() {
    let settings = ROUTER
        .replace("\"router-1\"", "\"Router 1\"")
        .replace("[\"127.0.0.1:9100\"]", "[]");
    let text = error_text(&settings);
    assert!(text.contains("router.toml:1: id: found"), "{text}");
    assert!(
        text.contains("router.toml:4: ledgers: found none"),
        "{text}"
    );
    assert!(text.contains("allowed is"), "{text}");
}

#[test]
fn truncated_file_is_refused() {
    for cut in (1..ROUTER.len()).step_by(7) {
        let cut = &ROUTER[..cut];
        assert!(read_router(cut).is_err(), "{cut}");
    }
}

#[test]
fn examples_of_the_operators_manual_are_accepted() {
    let page = std::path::PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let page = page.join("../../docs/operators/run.md");
    let page = std::fs::read_to_string(page).expect("the page can be read");
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let path = folder.path().join("example.toml");
    for (title, is_accepted) in [
        (
            "## Ledger",
            accepts::<LedgerSettings> as fn(&std::path::Path) -> bool,
        ),
        ("## Router", accepts::<RouterSettings>),
        ("## Sidecar", accepts::<SidecarSettings>),
    ] {
        let after = page.split_once(title).expect("the page has this section").1;
        let lines = after.lines().skip(2);
        let block = lines.map_while(|line| line.strip_prefix("    "));
        let block: Vec<_> = block.collect();
        std::fs::write(&path, block.join("\n")).expect("the file can be written");
        assert!(is_accepted(&path), "{title}:\n{}", block.join("\n"));
    }
}

fn accepts<T>(path: &std::path::Path) -> bool
where
    T: serde::de::DeserializeOwned + anvil_world::settings::Validate,
{
    read_settings::<T>(path).is_ok()
}
