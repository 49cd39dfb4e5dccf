//! Points of a measurement at several sizes, and the line through them.

/// What was measured at one size, once for each repeat.
#[derive(Clone, Debug)]
pub struct SlopePoint {
    size: f64,
    values: Vec<f64>,
}

impl SlopePoint {
    fn median(&self) -> f64 {
        let mut values = self.values.clone();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    }

    fn least(&self) -> f64 {
        self.values.iter().copied().fold(f64::INFINITY, f64::min)
    }

    fn most(&self) -> f64 {
        self.values.iter().copied().fold(0.0, f64::max)
    }
}

/// One quantity over sizes.
#[derive(Clone, Debug)]
pub struct SlopeSeries {
    name: &'static str,
    size_unit: &'static str,
    value_unit: &'static str,
    points: Vec<SlopePoint>,
}

/// The line `intercept + slope * size`.
#[derive(Clone, Copy, Debug)]
pub struct SlopeFit {
    /// Growth of the value for one more of the size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a share of the point.
    pub residual: f64,
}

impl SlopeFit {
    /// Value on the line.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

impl SlopeSeries {
    /// A series without points.
    pub fn new(name: &'static str, size_unit: &'static str, value_unit: &'static str) -> Self {
        Self {
            name,
            size_unit,
            value_unit,
            points: Vec::new(),
        }
    }

    /// Measures each size `repeats` times.
    pub fn with_points(
        mut self,
        sizes: &[usize],
        repeats: usize,
        mut measure: impl FnMut(usize) -> f64,
    ) -> Self {
        for size in sizes {
            let values = (0..repeats).map(|_| measure(*size)).collect();
            self.push(*size, values);
        }
        self
    }

    /// Adds the repeats of one size.
    pub fn push(&mut self, size: usize, values: Vec<f64>) {
        self.points.push(SlopePoint {
            size: size as f64,
            values,
        });
    }

    /// The line with the least sum of squared relative errors, through the medians.
    ///
    /// Relative, since sizes span orders of magnitude and the largest would outvote the others.
    pub fn fit(&self) -> SlopeFit {
        let (mut w, mut x, mut y, mut xx, mut xy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for point in &self.points {
            let value = point.median();
            let weight = 1.0 / (value * value).max(f64::MIN_POSITIVE);
            w += weight;
            x += weight * point.size;
            y += weight * value;
            xx += weight * point.size * point.size;
            xy += weight * point.size * value;
        }
        let slope = (w * xy - x * y) / (w * xx - x * x);
        let intercept = (y - slope * x) / w;
        let distance = |point: &SlopePoint| {
            let value = point.median();
            ((intercept + slope * point.size - value) / value).abs()
        };
        SlopeFit {
            slope,
            intercept,
            residual: self.points.iter().map(distance).fold(0.0, f64::max),
        }
    }

    /// The median at the largest size that was measured.
    pub fn largest(&self) -> f64 {
        self.points.last().map_or(0.0, SlopePoint::median)
    }

    /// Header of a table of series.
    pub fn header() -> String {
        "| measured | size | median (least..most) at each size | line | largest error |\n\
         |---|---|---|---|---|"
            .to_owned()
    }

    /// The series as a row of that table.
    pub fn row(&self) -> String {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|point| {
                format!(
                    "{}: {} ({}..{})",
                    point.size,
                    short(point.median()),
                    short(point.least()),
                    short(point.most()),
                )
            })
            .collect();
        let fit = self.fit();
        format!(
            "| {}, {} | {} | {} | {} + {} x size | {:.0}% |",
            self.name,
            self.value_unit,
            self.size_unit,
            points.join("; "),
            short(fit.intercept),
            short(fit.slope),
            fit.residual * 100.0,
        )
    }
}

/// A number with three digits that count.
pub fn short(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude < 1e-9 {
        return "0".to_owned();
    }
    if magnitude >= 100.0 {
        return format!("{value:.0}");
    }
    if magnitude >= 10.0 {
        return format!("{value:.1}");
    }
    if magnitude >= 1.0 {
        return format!("{value:.2}");
    }
    if magnitude >= 0.001 {
        return format!("{value:.4}");
    }
    format!("{value:.1e}")
}
