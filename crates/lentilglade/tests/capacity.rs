//! Linear regression of measured points.

use lentilglade::capacity::{Fit, Point};

fn points(pairs: &[(f64, f64)]) -> Vec<Point> {
    pairs.iter().map(|&(x, y)| Point { x, y }).collect()
}

#[test]
fn points_on_a_line_give_that_line() {
    let fit = Fit::of(&points(&[(0.0, 5.0), (10.0, 25.0), (20.0, 45.0)]));
    assert_eq!((fit.intercept, fit.slope, fit.r_squared), (5.0, 2.0, 1.0));
}

#[test]
fn points_off_a_line_have_a_low_r_squared() {
    let fit = Fit::of(&points(&[(0.0, 0.0), (1.0, 9.0), (2.0, 0.0), (3.0, 9.0)]));
    assert!(fit.r_squared < 0.5, "{fit:?}");
}

#[test]
fn points_of_one_size_give_no_slope() {
    let fit = Fit::of(&points(&[(4.0, 1.0), (4.0, 3.0)]));
    assert_eq!((fit.intercept, fit.slope), (2.0, 0.0));
}
