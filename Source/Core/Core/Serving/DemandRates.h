#pragma once

#include "Common/Time/Instant.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace sff::serving {

/// Exponentially decaying average of the requests per second of each model.
/// Forgets models that have not been requested for ForgetAfter time constants,
/// by the time that their number has doubled.
/// Thread safety: none.
class DemandRates {
public:
  /// Long enough to cover several requests of a rarely used model.
  static constexpr milliseconds DefaultTimeConstant{20000};
  /// The rate is far below one request a day by then.
  static constexpr int ForgetAfter = 30;

  explicit DemandRates(Duration TimeConstant) : m_TimeConstant(TimeConstant) {}

  void add(std::string_view Model, double Requests, Instant Now);
  double rate(std::string_view Model, Instant Now) const;
  /// Returns the time of the latest request, or the clock's epoch if there was
  /// none.
  Instant lastRequest(std::string_view Model) const;
  /// Number of models that are kept.
  std::size_t size() const { return m_Entries.size(); }

private:
  struct Entry {
    double m_Rate = 0;
    Instant m_UpdatedAt;
  };
  double decayedRate(const Entry &State, Instant Now) const;
  void removeOldEntries(Instant Now);

  Duration m_TimeConstant;
  std::map<std::string, Entry, std::less<>> m_Entries;
  /// Old entries are removed when there are so many.
  std::size_t m_CleanupSize = MinCleanupSize;

  static constexpr std::size_t MinCleanupSize = 64;
};

} // namespace sff::serving
