#pragma once

#include "Common/Time/Instant.h"

#include <map>
#include <string>
#include <string_view>

namespace sff::serving {

/// Exponentially decaying average of the requests per second of each model.
/// Thread safety: none.
class DemandRates {
public:
  /// Long enough to cover several requests of a rarely used model.
  static constexpr milliseconds DefaultTimeConstant{20000};

  explicit DemandRates(Duration TimeConstant) : m_TimeConstant(TimeConstant) {}

  void add(std::string_view Model, double Requests, Instant Now);
  double rate(std::string_view Model, Instant Now) const;
  /// Returns the time of the latest request, or the clock's epoch if there was
  /// none.
  Instant lastRequest(std::string_view Model) const;

private:
  struct Entry {
    double m_Rate = 0;
    Instant m_UpdatedAt;
  };
  double decayedRate(const Entry &State, Instant Now) const;

  Duration m_TimeConstant;
  std::map<std::string, Entry, std::less<>> m_Entries;
};

} // namespace sff::serving
