#pragma once

#include "Common/Time/Instant.h"

#include <cstdint>
#include <map>
#include <string>

namespace sff::retry {

enum class QuarantineVerdict {
  Normal,
  /// Crashed one endpoint: run it on one endpoint by itself, without retries.
  Isolate,
  Reject, ///< Crashed two endpoints: reject it.
};

/// Records requests that were running when their endpoint crashed, by a
/// fingerprint of entry and body. Fingerprints expire after a period, and their
/// number is bounded. Thread safety: none.
class CrashQuarantine {
public:
  CrashQuarantine(std::size_t MaxFingerprints, milliseconds Period);

  /// Records a crash and returns the total for this fingerprint.
  std::int64_t onCrash(const std::string &Fingerprint, Instant Now);
  /// Merges another router's total; the larger total counts.
  void merge(const std::string &Fingerprint, std::int64_t Crashes, Instant Now);
  /// Same as merge(), for totals that hosts exchange periodically. A total that
  /// is already known does not extend the lifetime of the fingerprint, because
  /// otherwise hosts would keep it alive by repeating it to each other. Returns
  /// true if the total was not known.
  bool mergeCrashCount(const std::string &Fingerprint, std::int64_t Crashes,
                       Instant Now);
  /// The request has completed, so its fingerprint is removed.
  void onSuccess(const std::string &Fingerprint);
  /// Returns the fingerprints whose totals have increased within
  /// RecentCrashPeriod, for other hosts to merge.
  std::map<std::string, std::int64_t> recentCrashCounts(Instant Now) const;
  QuarantineVerdict verdict(const std::string &Fingerprint, Instant Now);

  /// Time for which an increased total is sent to other hosts.
  static constexpr milliseconds RecentCrashPeriod{5000};

private:
  struct CrashRecord {
    std::int64_t m_Crashes = 0;
    Instant m_LastCrash;
  };
  bool isExpired(const CrashRecord &Record, Instant Now) const;
  CrashRecord &updateRecord(const std::string &Fingerprint, Instant Now);
  /// Removes the expired fingerprints or, if there are none, the one with the
  /// oldest crash.
  void evictRecords(Instant Now);

  std::size_t m_MaxFingerprints;
  milliseconds m_Period;
  std::map<std::string, CrashRecord> m_Records;
};

} // namespace sff::retry
