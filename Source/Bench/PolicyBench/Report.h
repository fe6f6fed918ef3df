#pragma once

#include <string>
#include <utility>
#include <vector>

namespace sff::bench {

/// Value below which the share \p Share of the samples lies; 0 without any.
double percentile(std::vector<double> Samples, double Share);

/// One figure of a row, with a sample for each seed.
struct Figure {
  std::string m_Name;
  std::vector<double> m_Samples;
  /// Bound from the design: the mean has to be at least or at most this.
  enum class Bound { None, AtLeast, AtMost } m_Bound = Bound::None;
  double m_Target = 0;

  bool isMet() const;
};

struct Row {
  std::string m_Label;
  std::vector<Figure> m_Figures;
};

/// Prints the rows as a table with the mean and, in brackets, the range over
/// the seeds, or as JSON. A figure that misses its target is marked with '!'.
void printReport(const std::string &Title, const std::vector<Row> &Rows,
                 bool Json);

} // namespace sff::bench
