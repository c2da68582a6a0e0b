//! Formats reports as text tables.

use super::report::Report;

type Column = (&'static str, fn(&Report) -> String);

const COLUMNS: [Column; 15] = [
    ("scenario", |r| r.scenario.to_string()),
    ("rule", |r| r.rule.clone()),
    ("offered", |r| r.offered.to_string()),
    ("in time", |r| r.in_deadline.to_string()),
    ("a second", |r| format!("{:.1}", r.goodput_per_second())),
    ("refused", |r| r.refusals().to_string()),
    ("falsely", |r| r.false_refusals.to_string()),
    ("unknown", |r| r.unknown.to_string()),
    ("broken", |r| r.broken.to_string()),
    ("lost", |r| r.lost.to_string()),
    ("doubled", |r| count_or_dash(r.doubled_runs)),
    ("first p50", |r| format!("{:.1}", r.first_token.p50)),
    ("first p95", |r| format!("{:.1}", r.first_token.p95)),
    ("between p95", |r| format!("{:.2}", r.between.p95)),
    ("fairness", |r| format!("{:.3}", r.fairness)),
];

fn count_or_dash(count: Option<u64>) -> String {
    count.map_or_else(|| "-".into(), |count| count.to_string())
}

/// A table with a header and one line for each report. Times are in milliseconds.
pub fn table(reports: &[Report]) -> String {
    let header = COLUMNS.iter().map(|(name, _)| (*name).to_owned());
    let mut lines: Vec<Vec<String>> = vec![header.collect()];
    for report in reports {
        lines.push(COLUMNS.iter().map(|(_, cell)| cell(report)).collect());
    }
    align_columns(&lines)
}

/// One line for each type of refusal, defect and loss, and for wrongly charged tokens.
pub fn details(reports: &[Report]) -> String {
    let mut lines = Vec::new();
    for report in reports {
        let line =
            |label: String, count: u64| vec![report.scenario.to_string(), label, count.to_string()];
        let refused = report.refused.iter();
        lines.extend(refused.map(|(kind, count)| line(format!("refused: {kind}"), *count)));
        let broken = report.broken_by.iter();
        lines.extend(broken.map(|(defect, count)| line(format!("broken: {defect}"), *count)));
        let lost = report.lost_by.iter();
        lines.extend(lost.map(|(cause, count)| line(format!("lost: {cause}"), *count)));
        let overspend = report.overspend;
        lines.extend(overspend.map(|tokens| line("tokens overspent".into(), tokens)));
        let excess_charges = report.doubled_bills;
        let label = "tokens billed beyond answers";
        lines.extend(excess_charges.map(|tokens| line(label.into(), tokens)));
    }
    align_columns(&lines)
}

/// Formats lines of cells as text, each column as wide as its widest cell.
pub fn align_columns(lines: &[Vec<String>]) -> String {
    let columns = lines.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
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
