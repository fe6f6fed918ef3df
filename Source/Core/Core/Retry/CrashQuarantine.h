#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sff::retry {

enum class QuarantineVerdict {
  Normal,
  /// Crashed one endpoint: run it on one endpoint by itself, without retries.
  Isolate,
  Reject, ///< Crashed two endpoints, or one that ran three copies: reject it.
};

/// The end of one incarnation of an endpoint. Hosts that observe the same crash
/// describe it by the same value, so that it is counted once.
struct EndpointCrash {
  EndpointId m_Endpoint;
  IncarnationId m_Incarnation;

  friend auto operator<=>(const EndpointCrash &,
                          const EndpointCrash &) = default;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("endpoint", &EndpointCrash::m_Endpoint),
                           field("incarnation", &EndpointCrash::m_Incarnation));
  }
};

/// A crash that is attributed to a request.
struct CrashReport {
  std::string m_Fingerprint; ///< Identifies repetitions of the request.
  EndpointCrash m_Crash;
  Instant m_At; ///< Time at which a host noticed the crash.
  /// The caller's attempt that ended with the endpoint. Repetitions of a
  /// request have the same fingerprint and different ids.
  RequestId m_Run{};
  /// The parts of its prompt that other requests may share.
  std::vector<PromptPartId> m_Parts{};
};

/// A crash of which a request is proved not to be the cause: the request has
/// completed since.
struct CrashProof {
  std::string m_Fingerprint; ///< Identifies repetitions of the request.
  EndpointCrash m_Crash;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("fingerprint", &CrashProof::m_Fingerprint),
                           field("crash", &CrashProof::m_Crash));
  }
};

/// Records requests that were running when their endpoint crashed, by a
/// fingerprint of the request. The crashes of a request are a set, and so are
/// the runs that ended with each crash and the proofs, so reports of several
/// hosts add up in any order and repeated reports have no effect.
///
/// A request is rejected for a period after its second crash, or after a crash
/// that ended three of its runs: one crash may have any cause, but copies of a
/// request are sent together, and each is a run of a request that ends its
/// endpoint. The period doubles with each further crash, so that a request that
/// always crashes its endpoint is tried less and less often. Crashes older than
/// maxAge() are forgotten, and the number of fingerprints is bounded. Thread
/// safety: none.
class CrashQuarantine {
public:
  /// \p Period is the time for which a request is rejected after two crashes.
  CrashQuarantine(std::size_t MaxFingerprints, milliseconds Period);

  /// Records a run that ended with a crash. Returns false if the run is known
  /// already, or the crash is older than maxAge().
  bool add(const CrashReport &Report, Instant Now);
  /// The request has completed, so the crashes known so far do not count.
  /// Returns the proofs for other hosts.
  std::vector<CrashProof> onSuccess(const std::string &Fingerprint,
                                    Instant Now);
  /// Records the proof of another host, also for a crash that is not known
  /// here yet. Returns false if the crash does not count already.
  bool addProof(const CrashProof &Proof, Instant Now);
  /// Number of crashes that count for the fingerprint.
  std::size_t crashCount(const std::string &Fingerprint, Instant Now) const;
  QuarantineVerdict verdict(const std::string &Fingerprint, Instant Now) const;
  /// Returns the runs of the counting crashes that were added within
  /// RecentCrashPeriod, for other hosts to add.
  std::vector<CrashReport> recentReports(Instant Now) const;

  /// Records that the crashes of the fingerprint are in the log that hosts
  /// share.
  void onShared(const std::string &Fingerprint, Instant Now);
  /// Returns the counting crashes of the fingerprint if they were not shared
  /// for SharePeriod, and assumes that they are shared now.
  std::vector<CrashReport> reportsToShareAgain(const std::string &Fingerprint,
                                               Instant Now);

  /// Must be shorter than the time for which the shared log keeps a record.
  static constexpr milliseconds SharePeriod{8000};
  /// Time for which a crash is sent to other hosts.
  static constexpr milliseconds RecentCrashPeriod{5000};

  /// Number of runs that end with one crash from which a request is rejected.
  static constexpr std::size_t MaxRunsOfOneCrash = 3;
  /// Number of times that the period doubles.
  static constexpr std::size_t MaxDoublings = 4;
  /// Age from which a crash no longer counts.
  milliseconds maxAge() const { return 2 * periodFor(MaxDoublings + 2); }

private:
  struct KnownCrash {
    Instant m_At;
    Instant m_AddedAt;
    bool m_Counts = true; ///< Cleared when the request has completed.
    /// The first MaxRunsOfOneCrash runs that are known to have ended with it.
    std::set<RequestId> m_Runs{};

    bool addRun(const RequestId &Run) {
      return m_Runs.size() < MaxRunsOfOneCrash && m_Runs.insert(Run).second;
    }
  };
  struct CrashRecord {
    std::map<EndpointCrash, KnownCrash> m_Crashes;
    Instant m_LastShared;
  };
  /// The crashes of a request that count.
  struct CrashSummary {
    std::size_t m_Count = 0;
    std::size_t m_Runs = 0; ///< Of all crashes together.
    Instant m_Last;

    bool isRejectable() const {
      return m_Count >= 2 || m_Runs >= MaxRunsOfOneCrash;
    }
  };

  /// Returns the record of the fingerprint without crashes that no longer
  /// count for their age, after making room for a new one.
  CrashRecord &makeRecord(const std::string &Fingerprint, Instant Now);
  /// Appends a report for each run that ended with \p Crash.
  static void appendReports(std::vector<CrashReport> &Out,
                            const std::string &Fingerprint,
                            const EndpointCrash &Crash,
                            const KnownCrash &Known);
  CrashSummary summarize(const CrashRecord &Record, Instant Now) const;
  /// Time after the last of \p Crashes for which the request is rejected, or
  /// isolated after a single crash.
  milliseconds periodFor(std::size_t Crashes) const;
  bool counts(const KnownCrash &Known, Instant Now) const {
    return Known.m_Counts && Now - Known.m_At < maxAge();
  }
  /// Removes the fingerprint with the fewest crashes, and among these the one
  /// with the oldest.
  void evictRecord(Instant Now);

  std::size_t m_MaxFingerprints;
  milliseconds m_Period;
  std::map<std::string, CrashRecord> m_Records;
};

} // namespace sff::retry
