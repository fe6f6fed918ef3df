#pragma once

#include "Common/Time/Instant.h"

#include <map>
#include <string>
#include <string_view>

namespace sff::serving {

/// Requests per second of each model, with older ones counting less.
/// Thread safety: none.
class DemandRates {
public:
  /// Long enough that a rare model has had some requests in it.
  static constexpr milliseconds UsualMemory{20000};

  explicit DemandRates(Duration Memory) : m_Memory(Memory) {}

  void add(std::string_view Model, double Requests, Instant Now);
  double rate(std::string_view Model, Instant Now) const;
  /// Time of the latest request, or the clock's start.
  Instant lastRequest(std::string_view Model) const;

private:
  struct Entry {
    double m_Rate = 0;
    Instant m_At;
  };
  double decayed(const Entry &Known, Instant Now) const;

  Duration m_Memory;
  std::map<std::string, Entry, std::less<>> m_Entries;
};

} // namespace sff::serving
