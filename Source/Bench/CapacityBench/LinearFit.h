#pragma once

#include <span>

namespace sff::bench {

/// Least-squares line through measured points.
struct LinearFit {
  double m_Slope = 0;
  double m_Intercept = 0;
  /// Largest distance of a point from the line, as a share of the point.
  double m_WorstError = 0;

  double at(double Size) const { return m_Intercept + m_Slope * Size; }
};

struct Point {
  double m_Size = 0;
  double m_Value = 0;
};

/// Precondition: at least two points of different size.
LinearFit fitLine(std::span<const Point> Points);

} // namespace sff::bench
