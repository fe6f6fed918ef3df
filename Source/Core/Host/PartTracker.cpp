#include "Host/PartTracker.h"

#include "Common/Logging/Log.h"
#include "Host/HostState.h"

namespace sff::host {

namespace {

constexpr std::size_t MaxParts = 1000;
/// Number of counting crashes from which a part gets log lines and a time
/// series: nearly every part of a busy endpoint has one after a crash.
constexpr std::size_t MinSuspectCrashes = 2;

constexpr auto LogCategory = log::Category::Execution;

} // namespace

PartTracker::PartTracker(HostMetrics &Metrics)
    : m_Metrics(Metrics), m_Quarantine(MaxParts) {}

CrashNews PartTracker::onCrash(std::span<const retry::CrashReport> Ended) {
  CrashNews News;
  // Proofs come first, so that no crash is shared for a part that is proved
  // sound by another request of this host.
  for (const bool AreProofs : {true, false})
    for (const retry::CrashReport &Report : Ended) {
      if (Report.m_WasWritten != AreProofs)
        continue;
      std::int64_t Position = 0;
      for (const PromptPartId &Part : Report.m_Parts) {
        const retry::PartCrash Crash{Part, Report.m_Crash, Position++};
        if (AreProofs)
          addProof(Crash, News);
        else
          addCrash(Crash, News);
      }
    }
  return News;
}

void PartTracker::addProof(const retry::PartCrash &Proved, CrashNews &News) {
  if (!m_Quarantine.addProof(Proved, now()))
    return;
  News.m_PartProofs.push_back(Proved);
  onChanged(Proved.m_Part, "proof");
}

void PartTracker::addCrash(const retry::PartCrash &Ended, CrashNews &News) {
  if (!m_Quarantine.addCrash(Ended, now()))
    return;
  News.m_PartCrashes.push_back(Ended);
  onChanged(Ended.m_Part, "crash");
}

CrashNews PartTracker::onCompleted(std::span<const PromptPartId> Parts,
                                   Instant BegunAt) {
  CrashNews News;
  News.m_PartProofs = m_Quarantine.onCompleted(Parts, BegunAt, now());
  for (const retry::PartCrash &Proved : News.m_PartProofs)
    onChanged(Proved.m_Part, "completed");
  return News;
}

void PartTracker::onNews(const CrashNews &News) {
  for (const retry::PartCrash &Ended : News.m_PartCrashes)
    if (m_Quarantine.addCrash(Ended, now()))
      onChanged(Ended.m_Part, "reported_crash");
  for (const retry::PartCrash &Proved : News.m_PartProofs)
    if (m_Quarantine.addProof(Proved, now()))
      onChanged(Proved.m_Part, "reported_proof");
}

void PartTracker::onChanged(const PromptPartId &Part, std::string_view Change) {
  m_Metrics.onPartEvent(Change);
  const std::size_t Crashes = m_Quarantine.crashCount(Part);
  const auto Known = m_Suspects.find(Part);
  if (Crashes < MinSuspectCrashes && Known == m_Suspects.end())
    return;
  if (Known != m_Suspects.end() && Known->second == Crashes)
    return;
  log::warning(LogCategory, "part.crashes",
               {{"part", Part}, {"crashes", Crashes}, {"cause", Change}});
  m_Metrics.setSuspectPart(Part.str(), Crashes);
  if (Crashes < MinSuspectCrashes)
    m_Suspects.erase(Part);
  else
    m_Suspects[Part] = Crashes;
}

} // namespace sff::host
