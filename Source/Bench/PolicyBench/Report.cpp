#include "Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <numeric>

namespace sff::bench {
namespace {

/// Removes the samples of seeds that had nothing to measure, which are NaN.
std::vector<double> removeNan(std::vector<double> Samples) {
  std::erase_if(Samples, [](double Value) { return std::isnan(Value); });
  return Samples;
}

double mean(const std::vector<double> &All) {
  const auto Samples = removeNan(All);
  return Samples.empty()
             ? 0
             : std::accumulate(Samples.begin(), Samples.end(), 0.0) /
                   static_cast<double>(Samples.size());
}

std::string format(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), Value >= 100 ? "%.0f" : "%.3g", Value);
  return Text;
}

std::string format(const Metric &Item) {
  const auto Samples = removeNan(Item.m_Samples);
  if (Samples.empty())
    return "-";
  const auto [Low, High] = std::minmax_element(Samples.begin(), Samples.end());
  std::string Text = format(mean(Samples));
  if (Samples.size() > 1 && *Low != *High)
    Text += " (" + format(*Low) + "-" + format(*High) + ")";
  return Item.meetsTarget() ? Text : Text + " !";
}

void printJson(const std::string &Title, const std::vector<Row> &Rows) {
  nlohmann::json Out;
  Out["title"] = Title;
  Out["rows"] = nlohmann::json::array();
  for (const Row &Line : Rows) {
    nlohmann::json Metrics;
    for (const Metric &Item : Line.m_Metrics) {
      nlohmann::json Value;
      Value["mean"] = mean(Item.m_Samples);
      Value["samples"] = Item.m_Samples;
      if (Item.m_Bound != Metric::Bound::None) {
        Value["target"] = Item.m_Target;
        Value["met"] = Item.meetsTarget();
      }
      Metrics[Item.m_Name] = Value;
    }
    nlohmann::json Entry;
    Entry["label"] = Line.m_Label;
    Entry["figures"] = Metrics;
    Out["rows"].push_back(Entry);
  }
  std::cout << Out.dump() << "\n";
}

void printLine(const std::vector<std::string> &Cells) {
  for (const std::string &Cell : Cells)
    std::cout << "| " << Cell << " ";
  std::cout << "|\n";
}

} // namespace

double percentile(std::vector<double> Samples, double Quantile) {
  if (Samples.empty())
    return 0;
  const auto Index = static_cast<std::size_t>(
      std::llround(Quantile * static_cast<double>(Samples.size() - 1)));
  std::nth_element(Samples.begin(),
                   Samples.begin() + static_cast<std::ptrdiff_t>(Index),
                   Samples.end());
  return Samples[Index];
}

bool Metric::meetsTarget() const {
  if (removeNan(m_Samples).empty())
    return true;
  if (m_Bound == Bound::AtLeast)
    return mean(m_Samples) >= m_Target;
  return m_Bound == Bound::None || mean(m_Samples) <= m_Target;
}

void printReport(const std::string &Title, const std::vector<Row> &Rows,
                 bool Json) {
  if (Json) {
    printJson(Title, Rows);
    return;
  }
  std::cout << Title << "\n\n";
  if (Rows.empty())
    return;
  std::vector<std::string> Header{""};
  for (const Metric &Item : Rows.front().m_Metrics)
    Header.push_back(Item.m_Name);
  printLine(Header);
  printLine(std::vector<std::string>(Header.size(), "---"));
  for (const Row &Line : Rows) {
    std::vector<std::string> Cells{Line.m_Label};
    for (const Metric &Item : Line.m_Metrics)
      Cells.push_back(format(Item));
    printLine(Cells);
  }
  std::cout << "\n";
}

} // namespace sff::bench
