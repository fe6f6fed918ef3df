#pragma once

#include <span>

namespace sff::bench {

/// Least-squares line through measured points.
struct LinearFit {
  double m_Slope = 0;
  double m_Intercept = 0;
  /// Largest error of the line at a point, relative to the value of the point.
  double m_MaxRelativeError = 0;

  double predict(double Size) const { return m_Intercept + m_Slope * Size; }
};

struct Point {
  double m_Size = 0;
  double m_Value = 0;
};

/// Precondition: at least two points of different size.
LinearFit fitLine(std::span<const Point> Points);

} // namespace sff::bench
