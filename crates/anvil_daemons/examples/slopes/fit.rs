//! Fits a straight line to measured points.

/// A cost, measured at several sizes.
#[derive(Debug, Clone)]
pub struct Slope {
    /// What was measured, such as `ledger state: memory`.
    pub what: &'static str,
    /// Unit of the slope: what one more item costs, such as `bytes a budget`.
    pub unit: &'static str,
    /// Points of (size, cost).
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// The line with the least squared errors relative to the points: its value at size 0, and its
    /// slope. With absolute errors the largest size would dominate the fit.
    pub fn fit(&self) -> (f64, f64) {
        let weight = |y: f64| 1.0 / (y * y).max(f64::MIN_POSITIVE);
        let sum = |f: &dyn Fn(f64, f64) -> f64| -> f64 {
            self.points
                .iter()
                .map(|(x, y)| weight(*y) * f(*x, *y))
                .sum()
        };
        let total_weight = sum(&|_, _| 1.0);
        let (x, y) = (sum(&|x, _| x) / total_weight, sum(&|_, y| y) / total_weight);
        let covariation = sum(&|px, py| (px - x) * (py - y));
        let variation = sum(&|px, _| (px - x).powi(2));
        let slope = if variation > 0.0 {
            covariation / variation
        } else {
            0.0
        };
        (y - slope * x, slope)
    }

    /// The largest error of a point against the line, in percent of the point.
    pub fn error(&self) -> f64 {
        let (intercept, slope) = self.fit();
        let errors = self.points.iter().map(|(x, y)| {
            let distance = (intercept + slope * x - y).abs();
            100.0 * distance / y.abs().max(f64::MIN_POSITIVE)
        });
        errors.fold(0.0, f64::max)
    }

    /// The row of the table.
    pub fn table_row(&self) -> Vec<String> {
        let (intercept, slope) = self.fit();
        let points: Vec<_> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {}", format_number(*y)))
            .collect();
        vec![
            self.what.into(),
            format_number(slope),
            self.unit.into(),
            format_number(intercept),
            format!("{:.0} %", self.error()),
            points.join(", "),
        ]
    }
}

/// The column headers of the table.
pub fn column_headers() -> Vec<String> {
    let column_headers = [
        "what",
        "one more adds",
        "unit",
        "at none",
        "worst error",
        "measured",
    ];
    column_headers.map(String::from).to_vec()
}

fn format_number(number: f64) -> String {
    if number.abs() < 10.0 {
        format!("{number:.3}")
    } else {
        format!("{number:.0}")
    }
}

/// A point of a size and its cost.
#[allow(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
pub fn point(size: u64, cost: u64) -> (f64, f64) {
    (size as f64, cost as f64)
}
