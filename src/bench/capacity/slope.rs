//! A line fitted through measured points.

/// Fewest points of a slope.
pub const MIN_POINTS: usize = 4;

/// One measured point.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// Value measured.
    pub value: f64,
    /// Value less the fitted line.
    pub residual: f64,
}

/// A cost over sizes and the line fitted through it by least squares.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Slope {
    /// Name.
    pub name: String,
    /// What the sizes count.
    pub over: String,
    /// Unit of the values.
    pub unit: String,
    /// Points, smallest size first.
    pub points: Vec<Point>,
    /// Value at size 0.
    pub base: f64,
    /// Value for each unit of size.
    pub each: f64,
    /// Share of the variance that the line explains.
    pub fit: f64,
}

impl Slope {
    /// Fits a line through `points`.
    ///
    /// # Panics
    ///
    /// With fewer than [`MIN_POINTS`] points or only one size.
    pub fn new(name: &str, over: &str, unit: &str, points: &[(f64, f64)]) -> Slope {
        assert!(points.len() >= MIN_POINTS, "{name}: too few points");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let sum = |f: &dyn Fn(f64, f64) -> f64| -> f64 {
            points.iter().map(|p| f(p.0 - mean_x, p.1 - mean_y)).sum()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        assert!(xx > 0.0, "{name}: sizes are equal");
        let each = xy / xx;
        let base = mean_y - each * mean_x;
        let point = |p: &(f64, f64)| Point {
            size: p.0,
            value: p.1,
            residual: p.1 - (base + each * p.0),
        };
        Slope {
            name: name.to_string(),
            over: over.to_string(),
            unit: unit.to_string(),
            points: points.iter().map(point).collect(),
            base,
            each,
            fit: if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 },
        }
    }

    /// Value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.each * size
    }

    /// Greatest residual as a share of the greatest value.
    pub fn worst(&self) -> f64 {
        let greatest = |f: &dyn Fn(&Point) -> f64| self.points.iter().map(f).fold(0.0, f64::max);
        let value = greatest(&|p| p.value.abs());
        if value > 0.0 {
            greatest(&|p| p.residual.abs()) / value
        } else {
            0.0
        }
    }
}
