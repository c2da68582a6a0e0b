//! Reports as a table of text.

use super::report::Report;

type Column = (&'static str, fn(&Report) -> String);

const COLUMNS: [Column; 15] = [
    ("scenario", |r| r.scenario.to_string()),
    ("rule", |r| r.rule.clone()),
    ("offered", |r| r.offered.to_string()),
    ("in time", |r| r.in_deadline.to_string()),
    ("a second", |r| format!("{:.1}", r.goodput_a_second())),
    ("refused", |r| r.refusals().to_string()),
    ("falsely", |r| r.false_refusals.to_string()),
    ("unknown", |r| r.unknown.to_string()),
    ("broken", |r| r.broken.to_string()),
    ("lost", |r| r.lost.to_string()),
    ("doubled", |r| known(r.doubled_runs)),
    ("first p50", |r| format!("{:.1}", r.first_token.p50)),
    ("first p95", |r| format!("{:.1}", r.first_token.p95)),
    ("between p95", |r| format!("{:.2}", r.between.p95)),
    ("fairness", |r| format!("{:.3}", r.fairness)),
];

fn known(count: Option<u64>) -> String {
    count.map_or_else(|| "-".into(), |count| count.to_string())
}

/// One line for each report, under a line of names. Times are in milliseconds.
pub fn table(reports: &[Report]) -> String {
    let names = COLUMNS.iter().map(|(name, _)| (*name).to_owned());
    let mut lines: Vec<Vec<String>> = vec![names.collect()];
    for report in reports {
        lines.push(COLUMNS.iter().map(|(_, cell)| cell(report)).collect());
    }
    aligned(&lines)
}

/// One line for each kind of refusal and loss, and for every token that is wrong.
pub fn details(reports: &[Report]) -> String {
    let mut lines = Vec::new();
    for report in reports {
        let line =
            |what: String, count: u64| vec![report.scenario.to_string(), what, count.to_string()];
        let refused = report.refused.iter();
        lines.extend(refused.map(|(kind, count)| line(format!("refused: {kind}"), *count)));
        let broken = report.broken_by.iter();
        lines.extend(broken.map(|(what, count)| line(format!("broken: {what}"), *count)));
        let lost = report.lost_by.iter();
        lines.extend(lost.map(|(how, count)| line(format!("lost: {how}"), *count)));
        let overspent = report.overspend;
        lines.extend(overspent.map(|tokens| line("tokens overspent".into(), tokens)));
        let beyond = report.doubled_bills;
        let what = "tokens billed beyond answers";
        lines.extend(beyond.map(|tokens| line(what.into(), tokens)));
    }
    aligned(&lines)
}

/// Lines of cells as text, each column as wide as its widest cell.
pub fn aligned(lines: &[Vec<String>]) -> String {
    let columns = lines.iter().map(Vec::len).max().unwrap_or_default();
    let width = |at: usize| {
        let cells = lines.iter().filter_map(|line| line.get(at));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let mut text = String::new();
    for line in lines {
        for (cell, width) in line.iter().zip(&widths) {
            let space = width - cell.chars().count();
            text.push_str(cell);
            text.push_str(&" ".repeat(space + 2));
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    text
}
