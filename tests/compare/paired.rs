//! Reads the figures of a day's report, and computes paired differences with their confidence interval. Used by the
//! comparison and its tests.

use std::collections::BTreeMap;

use serde::Deserialize;

/// Holds the parts of a day's report that the comparison reads.
#[derive(Debug, Deserialize)]
struct Report {
    #[serde(rename = "G")]
    worth: f64,
    /// Parts of the day's worth: name, weight, value.
    parts: Vec<(String, f64, f64)>,
    /// Prices: name, amount, deduction from the worth.
    prices: Vec<(String, f64, f64)>,
    /// Broken rules by name.
    breaks: BTreeMap<String, serde_json::Value>,
    /// Floors that the day missed.
    short: Vec<serde_json::Value>,
}

/// Holds the figures of one run of a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DayFigures {
    /// The worth of the day, and the share of each part and price in it; prices are negative.
    pub(crate) figures: BTreeMap<String, f64>,
    /// Names of the broken rules.
    pub(crate) broken: Vec<String>,
    /// Number of floors that were not reached.
    pub(crate) short: usize,
}

/// Name of the figure by which days are compared.
pub(crate) const WORTH: &str = "worth";

impl DayFigures {
    /// Parses a day's report.
    pub(crate) fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let report: Report = serde_json::from_str(text)?;
        let mut figures = BTreeMap::from([(WORTH.to_string(), report.worth)]);
        for (name, weight, value) in report.parts {
            figures.insert(name, weight * value);
        }
        for (name, _, deduction) in report
            .prices
            .into_iter()
            .filter(|(_, _, deduction)| *deduction > 0.0)
        {
            figures.insert(format!("price: {name}"), -deduction);
        }
        Ok(Self {
            figures,
            broken: report.breaks.into_keys().collect(),
            short: report.short.len(),
        })
    }
}

/// Holds the means of paired figures, and half of the 95% confidence interval of their mean difference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Difference {
    /// Mean of the figures before the change.
    pub(crate) before: f64,
    /// Mean of the figures after the change.
    pub(crate) after: f64,
    /// Half of the confidence interval of `after - before`; infinite with a single pair.
    pub(crate) half_width: f64,
}

impl Difference {
    /// Computes the difference of pairs of (before, after); `None` if there are no pairs.
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

    /// Returns the mean difference.
    pub(crate) fn mean(&self) -> f64 {
        self.after - self.before
    }
}

/// Returns Student's t for a two-sided 95% confidence interval, by degrees of freedom.
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
