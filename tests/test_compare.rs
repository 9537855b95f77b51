//! The comparison of two checkouts: the fields that it reads from a report, and its confidence interval.

use crate::paired::{DayFigures, Difference, WORTH};

/// A report with the fields that are read and one field, `served`, that is ignored.
const REPORT: &str = r#"{"G": 0.3, "served": 0.9, "short": [["a queue", 0.1]], "breaks": {"ORDER": 2},
    "parts": [["whole day", 0.35, 0.8], ["worst windows", 0.5, 0.4]],
    "prices": [["machines moved", 271.0, 0.02], ["duties missed", 0.0, 0.0]]}"#;

#[test]
fn compare_reads_report() {
    let day = DayFigures::parse(REPORT).unwrap();
    assert_eq!(day.figures[WORTH], 0.3);
    assert!((day.figures["whole day"] - 0.28).abs() < 1e-9);
    assert_eq!(day.figures["price: machines moved"], -0.02);
    assert!(!day.figures.contains_key("price: duties missed"));
    assert_eq!(day.broken, ["ORDER"]);
    assert_eq!(day.short, 1);
}

#[test]
fn compare_gives_interval() {
    let pairs = [(0.1, 0.2), (0.3, 0.5), (0.2, 0.5)];
    let d = Difference::new(&pairs).unwrap();
    assert!((d.mean() - 0.2).abs() < 1e-9);
    // Standard deviation 0.1, three pairs: 4.303 * 0.1 / sqrt(3).
    assert!((d.half_width - 0.248_4).abs() < 1e-3);
}

#[test]
fn compare_needs_two_pairs() {
    assert!(Difference::new(&[]).is_none());
    assert!(Difference::new(&[(0.1, 0.2)])
        .unwrap()
        .half_width
        .is_infinite());
}
