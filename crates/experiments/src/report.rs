//! Output of figures as a table or as JSON lines.

use serde::Serialize;

/// Table of figures whose rows are printed as they are added.
#[derive(Debug, Default)]
pub struct FigureTable {
    json: bool,
}

impl FigureTable {
    /// Creates a table that prints JSON lines if the command line contains `--json`.
    pub fn from_args() -> Self {
        Self {
            json: std::env::args().any(|arg| arg == "--json"),
        }
    }

    /// Prints one row of figures under a name.
    pub fn row<T: Serialize>(&self, name: &str, figures: &T) {
        let value = serde_json::json!(figures);
        if self.json {
            println!("{}", serde_json::json!({ "figure": name, "values": value }));
            return;
        }
        let fields = value.as_object().into_iter().flatten();
        let texts = fields.map(|(key, value)| match value.as_f64() {
            Some(number) if !value.is_u64() => format!("{key}={number:.2}"),
            _ => format!("{key}={}", value.to_string().trim_matches('"')),
        });
        println!("{name:<28} {}", texts.collect::<Vec<_>>().join("  "));
    }
}

/// Quotient of two numbers; zero if the divisor is zero.
pub fn ratio(dividend: f64, divisor: f64) -> f64 {
    if divisor == 0.0 {
        0.0
    } else {
        dividend / divisor
    }
}

/// One number as a percentage of another; zero if the other is zero.
pub fn percent(part: f64, total: f64) -> f64 {
    100.0 * ratio(part, total)
}
