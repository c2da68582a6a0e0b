//! A straight line through measured points.

/// A cost that was measured at several sizes.
#[derive(Debug, Clone)]
pub struct Slope {
    /// What was measured, such as `ledger state: memory`.
    pub what: &'static str,
    /// What one more costs, such as `bytes a budget`.
    pub unit: &'static str,
    /// Size and cost.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// The line whose errors in percent are least in square: its value at 0, and what one more
    /// adds. Plain least squares would let the largest size decide alone.
    pub fn fit(&self) -> (f64, f64) {
        let weight = |y: f64| 1.0 / (y * y).max(f64::MIN_POSITIVE);
        let sum = |f: &dyn Fn(f64, f64) -> f64| -> f64 {
            self.points
                .iter()
                .map(|(x, y)| weight(*y) * f(*x, *y))
                .sum()
        };
        let all = sum(&|_, _| 1.0);
        let (x, y) = (sum(&|x, _| x) / all, sum(&|_, y| y) / all);
        let along = sum(&|px, py| (px - x) * (py - y));
        let spread = sum(&|px, _| (px - x).powi(2));
        let per = if spread > 0.0 { along / spread } else { 0.0 };
        (y - per * x, per)
    }

    /// The largest distance of a point from the line, in percent of the point.
    pub fn error(&self) -> f64 {
        let (base, per) = self.fit();
        let errors = self.points.iter().map(|(x, y)| {
            let distance = (base + per * x - y).abs();
            100.0 * distance / y.abs().max(f64::MIN_POSITIVE)
        });
        errors.fold(0.0, f64::max)
    }

    /// Its line of the table.
    pub fn line(&self) -> Vec<String> {
        let (base, per) = self.fit();
        let points: Vec<_> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {}", short(*y)))
            .collect();
        vec![
            self.what.into(),
            short(per),
            self.unit.into(),
            short(base),
            format!("{:.0} %", self.error()),
            points.join(", "),
        ]
    }
}

/// The names above the table.
pub fn heads() -> Vec<String> {
    let heads = [
        "what",
        "one more adds",
        "unit",
        "at none",
        "worst error",
        "measured",
    ];
    heads.map(String::from).to_vec()
}

fn short(number: f64) -> String {
    if number.abs() < 10.0 {
        format!("{number:.3}")
    } else {
        format!("{number:.0}")
    }
}

/// A size or cost as a number for a point.
#[allow(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
pub fn point(size: u64, cost: u64) -> (f64, f64) {
    (size as f64, cost as f64)
}
