#include "Core/Catalogue/EntrySpec.h"

#include <algorithm>
#include <cctype>

namespace sff::catalogue {

namespace {

constexpr std::int64_t MaxReplicas = 1024;
constexpr std::int64_t MaxWeightBytes = std::int64_t(1) << 44;
constexpr std::int64_t MaxBytesPerToken = std::int64_t(1) << 30;
constexpr std::int64_t MaxTokenLimit = 1 << 24;
constexpr std::int64_t MaxQueueLength = 100000;
constexpr std::int64_t MaxDeadlineMs = 3600 * 1000;
constexpr std::size_t MaxNameLength = 128;

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::ranges::all_of(Text, [](unsigned char Char) {
           return std::isalnum(Char) || Char == '-' || Char == '_' ||
                  Char == '.';
         });
}

/// Adds findings for the fields of one entry.
class EntryChecker {
public:
  EntryChecker(std::string_view Place, findings::FindingList &Findings)
      : m_Place(Place), m_Findings(Findings) {}

  void requireName(std::string_view Key, std::string_view Value) {
    if (!isName(Value))
      add(Key, "\"" + std::string(Value) + "\"",
          "1 to 128 letters, digits, '-', '_' and '.'");
  }

  void requireRange(std::string_view Key, std::int64_t Value, std::int64_t Min,
                    std::int64_t Max) {
    if (Value < Min || Value > Max)
      add(Key, std::to_string(Value),
          std::to_string(Min) + " to " + std::to_string(Max));
  }

  void add(std::string_view Key, std::string Found, std::string Allowed) {
    m_Findings.add(m_Place + "/" + std::string(Key), std::move(Found),
                   std::move(Allowed));
  }

private:
  std::string m_Place;
  findings::FindingList &m_Findings;
};

void checkLoadable(const EntrySpec &Spec, EntryChecker &Check) {
  Check.requireName("version", Spec.m_Version);
  Check.requireRange("replicas", Spec.m_Replicas, 0, MaxReplicas);
  Check.requireRange("weight_bytes", Spec.m_WeightBytes, 1, MaxWeightBytes);
  Check.requireRange("bytes_per_token", Spec.m_BytesPerToken, 1,
                     MaxBytesPerToken);
  Check.requireRange("max_tokens", Spec.m_MaxTokens, 1, MaxTokenLimit);
}

} // namespace

void checkEntry(const EntryName &Name, const EntrySpec &Spec,
                std::string_view Place, findings::FindingList &Findings) {
  EntryChecker Check(Place, Findings);
  Check.requireName("name", Name.str());
  Check.requireName("team", Spec.m_Team);
  Check.requireRange("max_queue", Spec.m_MaxQueue, 0, MaxQueueLength);
  Check.requireRange("max_concurrent", Spec.m_MaxConcurrent, 1, MaxQueueLength);
  Check.requireRange("default_deadline_ms", Spec.m_DefaultDeadline.count(), 1,
                     MaxDeadlineMs);
  switch (Spec.m_Kind) {
  case EntryKind::Service:
    Check.requireName("service", Spec.m_Service);
    return;
  case EntryKind::Adapter:
    Check.requireName("base", Spec.m_Base.str());
    if (Spec.m_Base == Name)
      Check.add("base", Spec.m_Base.str(), "another entry");
    checkLoadable(Spec, Check);
    return;
  case EntryKind::Model:
    if (!Spec.m_Base.empty())
      Check.add("base", Spec.m_Base.str(), "nothing for a model");
    checkLoadable(Spec, Check);
    return;
  }
}

bool isWellFormed(const EntryName &Name, const EntrySpec &Spec) {
  findings::FindingList Findings;
  checkEntry(Name, Spec, "", Findings);
  return Findings.empty();
}

} // namespace sff::catalogue
