#pragma once

#include <string>
#include <utility>
#include <vector>

namespace sff::bench {

/// Returns the sample at \p Quantile, from 0 to 1, by the nearest rank; 0 if
/// there are no samples.
double percentile(std::vector<double> Samples, double Quantile);

/// One metric of a row, with a sample for each seed.
struct Metric {
  std::string m_Name;
  std::vector<double> m_Samples;
  /// Requirement of the design: the mean is at least or at most m_Target.
  enum class Bound { None, AtLeast, AtMost } m_Bound = Bound::None;
  double m_Target = 0;

  /// Returns true if there is no requirement or no sample.
  bool meetsTarget() const;
};

struct Row {
  std::string m_Label;
  std::vector<Metric> m_Metrics;
};

/// Prints the rows as JSON, or as a table with the mean and, in parentheses,
/// the range over the seeds. In the table, '!' marks a metric that misses its
/// target.
void printReport(const std::string &Title, const std::vector<Row> &Rows,
                 bool Json);

} // namespace sff::bench
