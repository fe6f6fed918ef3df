#pragma once

#include "Common/Time/Instant.h"

#include <cstdint>
#include <map>
#include <string>

namespace sff::retry {

enum class QuarantineVerdict {
  Normal,
  Isolate, ///< Crashed one endpoint: run it alone on one endpoint, no retry.
  Refuse,  ///< Crashed two endpoints: do not run it.
};

/// Remembers requests that were running when their endpoint crashed, by a
/// fingerprint of entry and body. Fingerprints are forgotten after a period;
/// the number held is bounded. Thread safety: none.
class CrashQuarantine {
public:
  CrashQuarantine(std::size_t MaxFingerprints, milliseconds Period);

  /// Notes one crash and returns the total for this fingerprint.
  std::int64_t onCrash(const std::string &Fingerprint, Instant Now);
  /// Takes notice of another router's total; the larger total counts.
  void merge(const std::string &Fingerprint, std::int64_t Crashes, Instant Now);
  /// The same for totals that hosts repeat to each other: what is known already
  /// does not keep the suspicion alive.
  void mergeNews(const std::string &Fingerprint, std::int64_t Crashes,
                 Instant Now);
  /// The request ran to its end, so the suspicion is dropped.
  void onSuccess(const std::string &Fingerprint);
  /// Fingerprints whose totals have risen lately, for other hosts to merge.
  std::map<std::string, std::int64_t> recentSuspects(Instant Now) const;
  QuarantineVerdict verdict(const std::string &Fingerprint, Instant Now);

  /// Time for which a total is news.
  static constexpr milliseconds NewsPeriod{5000};

private:
  struct Suspect {
    std::int64_t m_Crashes = 0;
    Instant m_LastCrash;
  };
  bool isForgotten(const Suspect &Entry, Instant Now) const;
  Suspect &refresh(const std::string &Fingerprint, Instant Now);
  /// Drops forgotten fingerprints, else the one that crashed longest ago.
  void makeRoom(Instant Now);

  std::size_t m_MaxFingerprints;
  milliseconds m_Period;
  std::map<std::string, Suspect> m_Suspects;
};

} // namespace sff::retry
