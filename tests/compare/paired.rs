//! What a day's report holds that a comparison rests on, and paired differences with their interval.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The bench's report on one day, as far as it is read.
#[derive(Debug, Deserialize)]
struct Report {
    #[serde(rename = "G")]
    worth: f64,
    /// Name, weight, value.
    parts: Vec<(String, f64, f64)>,
    /// Name, amount, what it takes off.
    prices: Vec<(String, f64, f64)>,
    /// Broken rules by name.
    breaks: BTreeMap<String, serde_json::Value>,
    /// What kept the day from passing.
    short: Vec<serde_json::Value>,
}

/// One day played once.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Played {
    /// Worth as a whole, and by part and price; a price counts below zero.
    pub(crate) figures: BTreeMap<String, f64>,
    /// Broken rules.
    pub(crate) broken: Vec<String>,
    /// Floors that were not reached.
    pub(crate) short: usize,
}

/// The figure that a day is judged by.
pub(crate) const WORTH: &str = "worth";

impl Played {
    /// A day from its report's text.
    pub(crate) fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let report: Report = serde_json::from_str(text)?;
        let mut figures = BTreeMap::from([(WORTH.to_string(), report.worth)]);
        for (name, weight, value) in report.parts {
            figures.insert(name, weight * value);
        }
        for (name, _, off) in report.prices.into_iter().filter(|(_, _, off)| *off > 0.0) {
            figures.insert(format!("price: {name}"), -off);
        }
        Ok(Self {
            figures,
            broken: report.breaks.into_keys().collect(),
            short: report.short.len(),
        })
    }
}

/// Mean of paired differences, and half of its 95% interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Difference {
    /// Mean before.
    pub(crate) before: f64,
    /// Mean after.
    pub(crate) after: f64,
    /// Half of the interval of `after - before`; infinite with a single pair.
    pub(crate) half_width: f64,
}

impl Difference {
    /// Of pairs of (before, after); nothing without any.
    pub(crate) fn new(pairs: &[(f64, f64)]) -> Option<Self> {
        if pairs.is_empty() {
            return None;
        }
        let n = pairs.len() as f64;
        let before = pairs.iter().map(|(b, _)| b).sum::<f64>() / n;
        let after = pairs.iter().map(|(_, a)| a).sum::<f64>() / n;
        let square = |(b, a): &(f64, f64)| (a - b - (after - before)).powi(2);
        let variance = pairs.iter().map(square).sum::<f64>() / (n - 1.0);
        let half_width = if pairs.len() < 2 {
            f64::INFINITY
        } else {
            student_95(pairs.len() - 1) * (variance / n).sqrt()
        };
        Some(Self {
            before,
            after,
            half_width,
        })
    }

    /// Mean difference.
    pub(crate) fn mean(&self) -> f64 {
        self.after - self.before
    }
}

/// Student's t for a two-sided interval of 95%, by degrees of freedom.
fn student_95(freedom: usize) -> f64 {
    const TABLE: [f64; 10] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    ];
    match freedom {
        0 => f64::INFINITY,
        n if n <= TABLE.len() => TABLE[n - 1],
        n if n <= 20 => 2.1,
        _ => 2.0,
    }
}
