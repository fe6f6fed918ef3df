#include "Core/Retry/PartQuarantine.h"

#include <algorithm>
#include <tuple>

namespace sff::retry {

const PartQuarantine::PartRecord *
PartQuarantine::find(const PromptPartId &Part) const {
  const auto Found = m_Records.find(Part);
  return Found == m_Records.end() ? nullptr : &Found->second;
}

PartQuarantine::PartRecord *PartQuarantine::find(const PromptPartId &Part) {
  const auto Found = m_Records.find(Part);
  return Found == m_Records.end() ? nullptr : &Found->second;
}

PartQuarantine::PartRecord &PartQuarantine::recordOf(const PromptPartId &Part,
                                                     Instant Now) {
  if (!m_Records.contains(Part) && m_Records.size() >= m_MaxParts)
    evict();
  PartRecord &Record = m_Records[Part];
  // A rejected part has no crashes but those of its trials, which are rare.
  if (Record.m_Count >= MinCrashes)
    return Record;
  std::erase_if(Record.m_Crashes, [&](const auto &Entry) {
    return Now - Entry.second.m_LearnedAt >= MaxAge;
  });
  recount(Record, Now);
  return Record;
}

void PartQuarantine::recount(PartRecord &Record, Instant Now) {
  Record.m_Count = static_cast<std::size_t>(std::ranges::count_if(
      Record.m_Crashes, [](const auto &Item) { return Item.second.m_Counts; }));
  if (Record.m_Count < MinCrashes)
    Record.m_RejectableSince.reset();
  else if (!Record.m_RejectableSince)
    Record.m_RejectableSince = Now;
  if (Record.m_Count == 0)
    Record.m_Trial.reset();
}

bool PartQuarantine::addCrash(const PartCrash &Ended, Instant Now) {
  PartRecord &Record = recordOf(Ended.m_Part, Now);
  Record.m_Position = Ended.m_Position;
  if (!Record.m_Crashes.try_emplace(Ended.m_Crash, KnownCrash{Now}).second)
    return false;
  Record.m_LastCrashAt = Now;
  recount(Record, Now);
  return true;
}

bool PartQuarantine::addProof(const PartCrash &Proved, Instant Now) {
  PartRecord &Record = recordOf(Proved.m_Part, Now);
  KnownCrash &Known =
      Record.m_Crashes.try_emplace(Proved.m_Crash, KnownCrash{Now})
          .first->second;
  if (!Known.m_Counts)
    return false;
  Known.m_Counts = false;
  recount(Record, Now);
  return true;
}

std::vector<PartCrash>
PartQuarantine::onCompleted(std::span<const PromptPartId> Parts,
                            Instant BegunAt, Instant Now) {
  std::vector<PartCrash> Proofs;
  for (const PromptPartId &Part : Parts) {
    PartRecord *Record = find(Part);
    if (!Record || Record->m_Count == 0)
      continue;
    for (auto &[Crash, Known] : Record->m_Crashes) {
      if (!Known.m_Counts || Known.m_LearnedAt >= BegunAt)
        continue;
      Known.m_Counts = false;
      Proofs.push_back({Part, Crash, Record->m_Position});
    }
    recount(*Record, Now);
  }
  return Proofs;
}

std::size_t PartQuarantine::crashCount(const PromptPartId &Part) const {
  const PartRecord *Record = find(Part);
  return Record ? Record->m_Count : 0;
}

bool PartQuarantine::isExplained(const PartRecord &Record, Instant Now) const {
  std::vector<const PartRecord *> Later;
  for (const auto &[Part, Other] : m_Records)
    if (Other.m_Position > Record.m_Position && isRejectable(Other, Now))
      Later.push_back(&Other);
  const auto Unexplained =
      std::ranges::count_if(Record.m_Crashes, [&](const auto &Item) {
        const auto Explains = [&](const PartRecord *Other) {
          const auto Found = Other->m_Crashes.find(Item.first);
          return Found != Other->m_Crashes.end() && Found->second.m_Counts;
        };
        return Item.second.m_Counts && std::ranges::none_of(Later, Explains);
      });
  return static_cast<std::size_t>(Unexplained) < MinCrashes;
}

bool PartQuarantine::isRejected(const PartRecord &Record, Instant Now) const {
  return isRejectable(Record, Now) && !isExplained(Record, Now);
}

bool PartQuarantine::isRejected(const PromptPartId &Part, Instant Now) const {
  const PartRecord *Record = find(Part);
  return Record && isRejected(*Record, Now);
}

std::optional<PromptPartId>
PartQuarantine::findRejected(std::span<const PromptPartId> Parts,
                             Instant Now) const {
  const auto Found = std::ranges::find_if(
      Parts, [&](const auto &Part) { return isRejected(Part, Now); });
  return Found == Parts.end() ? std::nullopt : std::optional(*Found);
}

std::optional<PartTrial> PartQuarantine::dueTrial(const PromptPartId &Part,
                                                  const IncarnationId &Host,
                                                  Instant Now) const {
  const PartRecord *Record = find(Part);
  if (!Record || !isRejected(*Record, Now))
    return std::nullopt;
  const std::int64_t Trials = Record->m_Trial ? Record->m_Trial->m_Number : 0;
  Instant Last = Record->m_LastCrashAt;
  if (Record->m_Trial)
    Last = std::max(Last, Record->m_TrialAt);
  milliseconds Delay = FirstTrialDelay;
  for (std::int64_t Number = 0; Number < std::min(Trials, MaxDelayedTrials);
       ++Number)
    Delay *= TrialDelayFactor;
  if (Now - Last < Delay)
    return std::nullopt;
  return PartTrial{Part, Trials + 1, Host};
}

bool PartQuarantine::addTrial(const PartTrial &Announced, Instant Now) {
  PartRecord *Record = find(Announced.m_Part);
  const bool IsNew = Record && (!Record->m_Trial ||
                                Announced.m_Number > Record->m_Trial->m_Number);
  if (!IsNew)
    return false;
  Record->m_Trial = Announced;
  Record->m_TrialAt = Now;
  Record->m_TrialTaken = false;
  return true;
}

bool PartQuarantine::hasOpenTrial(const PromptPartId &Part,
                                  const IncarnationId &Host,
                                  Instant Now) const {
  const PartRecord *Record = find(Part);
  return Record && Record->m_Trial && !Record->m_TrialTaken &&
         Record->m_Trial->m_Host == Host &&
         Now - Record->m_TrialAt < TrialPeriod;
}

bool PartQuarantine::takeTrial(const PromptPartId &Part,
                               const IncarnationId &Host, Instant Now) {
  if (!hasOpenTrial(Part, Host, Now))
    return false;
  find(Part)->m_TrialTaken = true;
  return true;
}

void PartQuarantine::returnTrial(const PromptPartId &Part) {
  if (PartRecord *Record = find(Part))
    Record->m_TrialTaken = false;
}

std::optional<PartTrial>
PartQuarantine::lastTrial(const PromptPartId &Part) const {
  const PartRecord *Record = find(Part);
  return Record ? Record->m_Trial : std::nullopt;
}

void PartQuarantine::onShared(const PromptPartId &Part, Instant Now) {
  if (PartRecord *Record = find(Part))
    Record->m_SharedAt = Now;
}

std::vector<PartCrash>
PartQuarantine::crashesToShareAgain(const PromptPartId &Part, Instant Now) {
  std::vector<PartCrash> Result;
  PartRecord *Record = find(Part);
  if (!Record || Now - Record->m_SharedAt < SharePeriod)
    return Result;
  Record->m_SharedAt = Now;
  for (const auto &[Crash, Known] : Record->m_Crashes)
    if (Known.m_Counts)
      Result.push_back({Part, Crash, Record->m_Position});
  return Result;
}

void PartQuarantine::evict() {
  using Rank = std::tuple<std::size_t, Instant>;
  std::vector<std::pair<Rank, PromptPartId>> Ranked;
  Ranked.reserve(m_Records.size());
  for (const auto &[Part, Record] : m_Records)
    Ranked.push_back({Rank(Record.m_Count, Record.m_LastCrashAt), Part});
  const auto Removed = std::max<std::size_t>(m_MaxParts / 4, 1);
  std::ranges::nth_element(
      Ranked, Ranked.begin() + static_cast<std::ptrdiff_t>(
                                   std::min(Removed, Ranked.size() - 1)));
  for (std::size_t Index = 0; Index < std::min(Removed, Ranked.size()); ++Index)
    m_Records.erase(Ranked[Index].second);
}

} // namespace sff::retry
