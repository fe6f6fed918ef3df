#pragma once

#include "Core/Retry/CrashQuarantine.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sff::retry {

/// A part of a prompt in a request that ended when an endpoint crashed.
struct PartCrash {
  PromptPartId m_Part;
  EndpointCrash m_Crash;
  /// Position of the part in the prompt, from 0. Requests share parts from the
  /// front, so a part stands in fewer requests than those before it.
  std::int64_t m_Position = 0;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("part", &PartCrash::m_Part),
                           field("crash", &PartCrash::m_Crash),
                           field("position", &PartCrash::m_Position));
  }
};

/// The announcement of a trial: one request with a rejected part, by which the
/// hosts learn whether the part still crashes endpoints, as in the half-open
/// state of a circuit breaker. Of the announcements with the same number, the
/// first in the log that the hosts share is valid.
struct PartTrial {
  PromptPartId m_Part;
  std::int64_t m_Number = 0; ///< From 1, since the part was last proved sound.
  IncarnationId m_Host;      ///< The process that may send the request.

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("part", &PartTrial::m_Part),
                           field("number", &PartTrial::m_Number),
                           field("host", &PartTrial::m_Host));
  }
};

/// Finds the parts of prompts that crash each endpoint that begins to write an
/// answer on them. No two requests with such a part need be alike, so crashes
/// count for each part of the requests that ended with them, until the part is
/// proved sound: a request with it was begun after the crash and has completed.
/// Crashes and proofs are sets, so reports of several hosts add up in any order
/// and repeated reports have no effect.
///
/// A part is rejected from MinCrashes on, unless rejected parts behind it
/// explain its crashes. It stays rejected until it is proved sound, which a
/// trial may do; the time to the next trial grows with each.
/// Thread safety: none.
class PartQuarantine {
public:
  /// Number of counting crashes from which a part is rejected.
  static constexpr std::size_t MinCrashes = 3;
  /// Time from the crash that makes a part rejectable to its rejection. Proofs
  /// of other hosts arrive within it.
  static constexpr milliseconds ProofTime{1000};
  /// Time from the last crash or trial of a part to its first trial, and the
  /// factor by which it grows with each further one.
  static constexpr milliseconds FirstTrialDelay{6000};
  static constexpr int TrialDelayFactor = 4;
  static constexpr std::int64_t MaxDelayedTrials = 5;
  /// Time for which the host of a trial may send its request.
  static constexpr milliseconds TrialPeriod{10000};
  /// Age from which a crash no longer counts, unless its part is rejected.
  static constexpr milliseconds MaxAge{600000};
  /// Time for which crashes of a rejected part are not shared again. Must be
  /// shorter than the time for which the shared log keeps a record.
  static constexpr milliseconds SharePeriod{8000};

  explicit PartQuarantine(std::size_t MaxParts) : m_MaxParts(MaxParts) {}

  /// Records that a request with the part ended with the crash. Returns false
  /// if the crash is known for the part.
  bool addCrash(const PartCrash &Ended, Instant Now);
  /// Records a proof that the part is not the cause of the crash. Returns false
  /// if it is known.
  bool addProof(const PartCrash &Proved, Instant Now);
  /// Call when a request has completed whose answer began at \p BegunAt. Proves
  /// its parts sound for all crashes that were known by then, and returns these
  /// proofs for other hosts.
  std::vector<PartCrash> onCompleted(std::span<const PromptPartId> Parts,
                                     Instant BegunAt, Instant Now);

  /// Number of crashes that count for the part.
  std::size_t crashCount(const PromptPartId &Part) const;
  bool isRejected(const PromptPartId &Part, Instant Now) const;
  /// Returns the first rejected part of a prompt.
  std::optional<PromptPartId> findRejected(std::span<const PromptPartId> Parts,
                                           Instant Now) const;

  /// Returns the trial of a rejected part that \p Host should announce, if one
  /// is due.
  std::optional<PartTrial> dueTrial(const PromptPartId &Part,
                                    const IncarnationId &Host,
                                    Instant Now) const;
  /// Records an announced trial. Returns false if another one has the number.
  bool addTrial(const PartTrial &Announced, Instant Now);
  /// Whether \p Host may send the request of the part's trial now.
  bool hasOpenTrial(const PromptPartId &Part, const IncarnationId &Host,
                    Instant Now) const;
  /// Takes the trial of \p Host, if it is open.
  bool takeTrial(const PromptPartId &Part, const IncarnationId &Host,
                 Instant Now);
  /// Opens a trial again that was taken by a request which has not run.
  void returnTrial(const PromptPartId &Part);
  /// The last valid trial of the part.
  std::optional<PartTrial> lastTrial(const PromptPartId &Part) const;

  /// Returns the counting crashes of the part if they were not shared for
  /// SharePeriod, and assumes that they are shared now.
  std::vector<PartCrash> crashesToShareAgain(const PromptPartId &Part,
                                             Instant Now);
  void onShared(const PromptPartId &Part, Instant Now);

  std::size_t size() const { return m_Records.size(); }

private:
  struct KnownCrash {
    Instant m_LearnedAt;
    bool m_Counts = true;
  };
  struct PartRecord {
    std::map<EndpointCrash, KnownCrash> m_Crashes;
    std::int64_t m_Position = 0;
    std::size_t m_Count = 0; ///< Crashes that count.
    Instant m_LastCrashAt;
    /// When m_Count reached MinCrashes.
    std::optional<Instant> m_RejectableSince;
    std::optional<PartTrial> m_Trial;
    Instant m_TrialAt;
    bool m_TrialTaken = false;
    Instant m_SharedAt;
  };

  PartRecord &recordOf(const PromptPartId &Part, Instant Now);
  /// Updates what follows from the crashes of \p Record.
  void recount(PartRecord &Record, Instant Now);
  const PartRecord *find(const PromptPartId &Part) const;
  PartRecord *find(const PromptPartId &Part);
  /// Whether rejected parts at later positions leave fewer than MinCrashes
  /// crashes of \p Record unexplained.
  bool isExplained(const PartRecord &Record, Instant Now) const;
  bool isRejected(const PartRecord &Record, Instant Now) const;
  static bool isRejectable(const PartRecord &Record, Instant Now) {
    return Record.m_RejectableSince &&
           Now - *Record.m_RejectableSince >= ProofTime;
  }
  /// Removes the parts with the fewest counting crashes, the oldest first,
  /// until a quarter of the capacity is free.
  void evict();

  std::size_t m_MaxParts;
  std::map<PromptPartId, PartRecord> m_Records;
};

} // namespace sff::retry
