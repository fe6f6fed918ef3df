#include "CapacityBench/LinearFit.h"

#include <algorithm>
#include <cmath>

namespace sff::bench {

LinearFit fitLine(std::span<const Point> Points) {
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  for (const Point &Item : Points) {
    SumX += Item.m_Size;
    SumY += Item.m_Value;
    SumXX += Item.m_Size * Item.m_Size;
    SumXY += Item.m_Size * Item.m_Value;
  }
  const auto Count = static_cast<double>(Points.size());
  LinearFit Result;
  Result.m_Slope =
      (Count * SumXY - SumX * SumY) / (Count * SumXX - SumX * SumX);
  Result.m_Intercept = (SumY - Result.m_Slope * SumX) / Count;
  for (const Point &Item : Points)
    if (Item.m_Value != 0)
      Result.m_MaxRelativeError =
          std::max(Result.m_MaxRelativeError,
                   std::abs(Result.predict(Item.m_Size) / Item.m_Value - 1));
  return Result;
}

} // namespace sff::bench
