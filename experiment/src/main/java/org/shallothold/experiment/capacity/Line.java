package org.shallothold.experiment.capacity;

import java.util.List;

/**
 * A straight line through measured points by least squares.
 *
 * @param intercept value at 0
 * @param slope value per unit of x
 * @param rSquared share of the variance that the line explains; 1 is a perfect fit
 */
record Line(double intercept, double slope, double rSquared) {

  /** A measured value at a size. */
  record Point(double x, double y) {}

  /** Returns the line through at least two points with different x. */
  static Line through(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
    double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
    double xx = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.x() - meanX)).sum();
    double xy = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY)).sum();
    double yy = points.stream().mapToDouble(p -> (p.y() - meanY) * (p.y() - meanY)).sum();
    double slope = xy / xx;
    return new Line(meanY - slope * meanX, slope, yy == 0 ? 1 : xy * xy / (xx * yy));
  }
}
