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
  for (const retry::CrashReport &Report : Ended) {
    std::int64_t Position = 0;
    for (const PromptPartId &Part : Report.m_Parts) {
      const retry::PartCrash Crash{Part, Report.m_Crash, Position++};
      if (!m_Quarantine.addCrash(Crash, now()))
        continue;
      News.m_PartCrashes.push_back(Crash);
      onChanged(Part, "crash");
    }
  }
  return News;
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
  for (const retry::PartCrash &Ended : News.m_PartCrashes)
    m_Quarantine.onShared(Ended.m_Part, now());
  for (const retry::PartTrial &Announced : News.m_PartTrials)
    addTrial(Announced);
}

std::optional<PromptPartId>
PartTracker::findRejected(std::span<const PromptPartId> Parts) const {
  for (const PromptPartId &Part : Parts)
    if (m_Quarantine.isRejected(Part, now()) &&
        !m_Quarantine.hasOpenTrial(Part, m_Self, now()))
      return Part;
  return std::nullopt;
}

std::vector<PromptPartId>
PartTracker::onSending(std::span<const PromptPartId> Parts) {
  std::vector<PromptPartId> Taken;
  for (const PromptPartId &Part : Parts) {
    if (!m_Quarantine.takeTrial(Part, m_Self, now()))
      continue;
    log::warning(LogCategory, "part.trial_sent", {{"part", Part}});
    m_Metrics.onPartEvent("trial_sent");
    Taken.push_back(Part);
  }
  return Taken;
}

void PartTracker::onTrialNotRun(const PromptPartId &Part) {
  m_Quarantine.returnTrial(Part);
  log::info(LogCategory, "part.trial_not_run", {{"part", Part}});
  m_Metrics.onPartEvent("trial_not_run");
}

CrashNews PartTracker::onRejected(const PromptPartId &Part, bool LogReachable) {
  CrashNews News;
  News.m_PartCrashes = m_Quarantine.crashesToShareAgain(Part, now());
  const auto Last = m_Quarantine.lastTrial(Part);
  if (Last && !News.m_PartCrashes.empty())
    News.m_PartTrials.push_back(*Last);
  const auto Due = m_Quarantine.dueTrial(Part, m_Self, now());
  if (!Due)
    return News;
  if (!LogReachable) {
    addTrial(*Due);
    return News;
  }
  if (m_AnnouncedAt.size() >= MaxParts)
    m_AnnouncedAt.clear();
  const auto [Announced, IsNew] = m_AnnouncedAt.try_emplace(Part, now());
  if (!IsNew && now() - Announced->second < AnnouncementTimeout)
    return News;
  Announced->second = now();
  News.m_PartTrials.push_back(*Due);
  return News;
}

void PartTracker::addTrial(const retry::PartTrial &Announced) {
  if (!m_Quarantine.addTrial(Announced, now()))
    return;
  m_Metrics.onPartEvent("trial");
  log::info(LogCategory, "part.trial",
            {{"part", Announced.m_Part},
             {"number", Announced.m_Number},
             {"own", Announced.m_Host == m_Self}});
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
  // Parts that the quarantine has evicted get no further change.
  if (m_Suspects.size() >= MaxParts)
    m_Suspects.clear();
  if (Crashes < MinSuspectCrashes) {
    m_Suspects.erase(Part);
    m_AnnouncedAt.erase(Part);
  } else {
    m_Suspects[Part] = Crashes;
  }
}

} // namespace sff::host
