//! Figures as a table for people, and as JSON lines.

use serde::Serialize;

/// A table of figures that is printed as it is filled.
#[derive(Debug, Default)]
pub struct FigureTable {
    json: bool,
}

impl FigureTable {
    /// A table; `--json` on the command line prints JSON lines instead.
    pub fn from_args() -> Self {
        Self {
            json: std::env::args().any(|arg| arg == "--json"),
        }
    }

    /// Prints one row.
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

/// One number over another; zero where there is nothing to compare with.
pub fn ratio(of: f64, to: f64) -> f64 {
    if to == 0.0 { 0.0 } else { of / to }
}

/// One number in percent of another.
pub fn percent(of: f64, to: f64) -> f64 {
    100.0 * ratio(of, to)
}
