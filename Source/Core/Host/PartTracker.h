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

private:
  void addProof(const retry::PartCrash &Proved, CrashNews &News);
  void addCrash(const retry::PartCrash &Ended, CrashNews &News);
  /// Logs and measures how many crashes count for the part.
  void onChanged(const PromptPartId &Part, std::string_view Change);

  HostMetrics &m_Metrics;
  retry::PartQuarantine m_Quarantine;
  /// The counts at the last log line of each part that has one.
  std::map<PromptPartId, std::size_t> m_Suspects;
};

} // namespace sff::host
