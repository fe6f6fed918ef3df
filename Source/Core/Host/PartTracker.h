#pragma once

#include "Core/Retry/PartQuarantine.h"
#include "Host/CrashMessage.h"
#include "Host/HostMetrics.h"

#include <map>
#include <span>
#include <vector>

namespace sff::host {

/// Attributes crashes of endpoints to parts of prompts, and decides which
/// requests are rejected for them. What a method returns is to be shared with
/// the other hosts.
/// Thread safety: use from the host's io_context only.
class PartTracker {
public:
  /// Precondition: \p Metrics outlives the object.
  explicit PartTracker(HostMetrics &Metrics);

  /// Called with the requests of this host that ended with one crash.
  CrashNews onCrash(std::span<const retry::CrashReport> Ended);
  /// Called when a request has completed whose answer began at \p BegunAt.
  CrashNews onCompleted(std::span<const PromptPartId> Parts, Instant BegunAt);
  /// Adds what another host, or this one, has shared.
  void onNews(const CrashNews &News);

  /// Returns the part for which a request must not be sent now: a rejected one,
  /// unless this host may send the request of its trial.
  std::optional<PromptPartId>
  findRejected(std::span<const PromptPartId> Parts) const;
  /// Called when a request is about to be sent. Takes and returns the trials
  /// that allow it.
  std::vector<PromptPartId> onSending(std::span<const PromptPartId> Parts);
  /// Called when the request that took the trial of \p Part has not run.
  void onTrialNotRun(const PromptPartId &Part);
  /// Called when a request is rejected for \p Part. Announces a trial that is
  /// due, or begins it at once if the log of the hosts is not reachable.
  CrashNews onRejected(const PromptPartId &Part, bool LogReachable);

private:
  /// Delay before a trial is announced again that has not appeared in the log.
  static constexpr milliseconds AnnouncementTimeout{3000};

  void addTrial(const retry::PartTrial &Announced);
  /// Logs and measures how many crashes count for the part.
  void onChanged(const PromptPartId &Part, std::string_view Change);

  HostMetrics &m_Metrics;
  /// Identifies this process in trials.
  const IncarnationId m_Self = makeId<IncarnationId>();
  retry::PartQuarantine m_Quarantine;
  /// When this host announced its last trial of each part.
  std::map<PromptPartId, Instant> m_AnnouncedAt;
  /// The counts at the last log line of each part that has one.
  std::map<PromptPartId, std::size_t> m_Suspects;
};

} // namespace sff::host
