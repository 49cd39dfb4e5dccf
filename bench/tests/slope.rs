//! The line through the points of a series.

use lovagedock_bench::slope::{SlopeSeries, short};

struct LineCase {
    name: &'static str,
    /// Size and the values of its repeats.
    points: &'static [(usize, &'static [f64])],
    intercept: f64,
    slope: f64,
    residual: f64,
}

const LINES: &[LineCase] = &[
    LineCase {
        name: "points on a line",
        points: &[(10, &[25.0]), (100, &[205.0]), (1_000, &[2_005.0])],
        intercept: 5.0,
        slope: 2.0,
        residual: 0.0,
    },
    LineCase {
        name: "the median of the repeats counts",
        points: &[(1, &[3.0, 900.0, 1.0]), (2, &[6.0]), (3, &[9.0, 9.0, 0.5])],
        intercept: 0.0,
        slope: 3.0,
        residual: 0.0,
    },
    LineCase {
        name: "a square is no line",
        points: &[(1, &[1.0]), (2, &[4.0]), (3, &[9.0])],
        intercept: -2.4658,
        slope: 3.4521,
        residual: 0.1233,
    },
];

#[test]
fn lines_go_through_the_medians() {
    for case in LINES {
        let mut series = SlopeSeries::new("value", "size", "B");
        for (size, values) in case.points {
            series.push(*size, values.to_vec());
        }
        let fit = series.fit();
        let found = [fit.intercept, fit.slope, fit.residual];
        let expected = [case.intercept, case.slope, case.residual];
        for (found, expected) in found.iter().zip(expected) {
            let distance = (found - expected).abs();
            assert!(distance < 1e-3, "{}: {fit:?}", case.name);
        }
    }
}

#[test]
fn numbers_keep_the_digits_that_count() {
    let cases = [
        (0.0, "0"),
        (0.00042, "4.2e-4"),
        (0.22, "0.2200"),
        (1.4, "1.40"),
        (43.21, "43.2"),
        (4_194_340.4, "4194340"),
    ];
    for (value, text) in cases {
        assert_eq!(short(value), text);
    }
}
