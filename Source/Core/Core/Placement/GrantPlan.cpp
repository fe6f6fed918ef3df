#include "Core/Placement/SlotPlanner.h"

#include <algorithm>
#include <unordered_map>

namespace sff::placement {

namespace {

/// An endpoint may hold this share of weights per byte of memory, relative to
/// the mean, before slots go to the next endpoint of the ranking.
constexpr double MaxRelativeLoad = 1.15;

/// FNV-1a, which is fixed for all releases, unlike std::hash.
std::uint64_t hashText(std::string_view Text) {
  constexpr std::uint64_t OffsetBasis = 14695981039346656037U;
  constexpr std::uint64_t Prime = 1099511628211U;
  std::uint64_t Hash = OffsetBasis;
  for (const char Char : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Char)) * Prime;
  return Hash;
}

/// Finaliser of SplitMix64; FNV alone leaves the high bits poorly mixed.
std::uint64_t mix(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31);
}

std::uint64_t combine(std::uint64_t KeyHash, std::uint64_t CandidateHash) {
  return mix(KeyHash ^ mix(CandidateHash));
}

struct Target {
  const messages::EndpointInfo *m_Info = nullptr;
  std::uint64_t m_Hash = 0;
  std::int64_t m_PlacedBytes = 0;
  bool m_IsOwn = false;

  double relativeLoad(std::int64_t Bytes) const {
    return static_cast<double>(m_PlacedBytes + Bytes) /
           static_cast<double>(m_Info->m_MemoryBytes);
  }
};

/// Places the free slots of all entries in a fixed order, so that all
/// controllers with the same state and host list get the same plan.
class GrantPlanner {
public:
  explicit GrantPlanner(const PlanContext &Context) : m_Context(Context) {}

  std::vector<fold::SlotItem> plan() {
    for (const auto &[Name, Item] : m_Context.m_State.catalogue())
      if (Item.m_Spec && Item.m_Spec->isLoadable())
        placeEntry(Name, *Item.m_Spec);
    return std::move(m_Grants);
  }

private:
  void placeEntry(const EntryName &Name, const catalogue::EntrySpec &Spec) {
    const auto &Slots = m_Context.m_State.slots();
    auto It = Slots.lower_bound({Name, 0});
    std::vector<fold::SlotItem> Free;
    for (std::int64_t Index = 0; Index < Spec.m_Replicas; ++Index) {
      const bool IsKnown = It != Slots.end() && It->first.first == Name &&
                           It->first.second == Index;
      if (!IsKnown || It->second.m_Endpoint.empty())
        Free.push_back({Name, Index, {}, IsKnown ? It->second.m_Offset : 0});
      if (IsKnown)
        ++It;
    }
    if (!Free.empty())
      placeFree(Spec, std::move(Free));
  }

  void placeFree(const catalogue::EntrySpec &Spec,
                 std::vector<fold::SlotItem> Free) {
    if (!m_HaveTargets)
      collectTargets();
    const EntryName Name = Free.front().m_Entry;
    std::map<ZoneId, int> ZoneCounts;
    for (const EndpointId &Endpoint : m_Context.m_State.endpointsOf(Name))
      if (const auto It = m_IndexOf.find(Endpoint); It != m_IndexOf.end())
        ++ZoneCounts[m_Targets[It->second].m_Info->m_Zone];
    std::vector<Target *> Eligible = eligibleTargets(Name, Spec);
    for (fold::SlotItem &Item : Free) {
      const auto Best = choose(Item, Spec, Eligible, ZoneCounts);
      if (Best == Eligible.end())
        return;
      assign(std::move(Item), **Best, Spec.m_WeightBytes);
      ++ZoneCounts[(*Best)->m_Info->m_Zone];
      Eligible.erase(Best);
    }
  }

  void collectTargets() {
    m_HaveTargets = true;
    for (const messages::EndpointInfo &Info : m_Context.m_Endpoints) {
      const fold::Ownership *Owned =
          m_Context.m_State.findOwnership(Info.m_Endpoint);
      if (Info.m_Kind != "engine" || Info.m_State != "live" ||
          Info.m_MemoryBytes <= 0 || !Owned || Owned->m_Owner.empty())
        continue;
      m_IndexOf.emplace(Info.m_Endpoint, m_Targets.size());
      m_Targets.push_back({&Info, hashText(Info.m_Endpoint.str()), 0,
                           Owned->m_Owner == m_Context.m_Self});
      m_MemoryBytes += static_cast<double>(Info.m_MemoryBytes);
    }
    for (const auto &[Key, Slot] : m_Context.m_State.slots()) {
      const auto *Spec = m_Context.m_State.findEntry(Key.first);
      const auto It = m_IndexOf.find(Slot.m_Endpoint);
      if (Spec && It != m_IndexOf.end())
        notePlaced(m_Targets[It->second], Spec->m_WeightBytes);
    }
  }

  std::vector<Target *> eligibleTargets(const EntryName &Name,
                                        const catalogue::EntrySpec &Spec) {
    std::vector<Target *> Result;
    for (Target &Candidate : m_Targets)
      if (isEligible(Candidate, Name, Spec))
        Result.push_back(&Candidate);
    return Result;
  }

  bool isEligible(const Target &Candidate, const EntryName &Name,
                  const catalogue::EntrySpec &Spec) const {
    const EndpointId &Endpoint = Candidate.m_Info->m_Endpoint;
    return fits(m_Context.m_State, Spec, *Candidate.m_Info) &&
           (Spec.m_Kind != catalogue::EntryKind::Adapter ||
            m_Context.m_State.hasUsableSlotAt(Spec.m_Base, Endpoint)) &&
           !m_Context.m_State.holdsSlotAt(Name, Endpoint);
  }

  /// The highest-ranked target of the availability zones with the fewest slots
  /// of the entry that is not loaded beyond the limit, or the least loaded.
  std::vector<Target *>::iterator
  choose(const fold::SlotItem &Item, const catalogue::EntrySpec &Spec,
         std::vector<Target *> &Eligible,
         const std::map<ZoneId, int> &ZoneCounts) const {
    const auto CountAt = [&](const Target *Candidate) {
      const auto It = ZoneCounts.find(Candidate->m_Info->m_Zone);
      return It == ZoneCounts.end() ? 0 : It->second;
    };
    const double Limit =
        MaxRelativeLoad *
        (m_PlacedBytes + static_cast<double>(Spec.m_WeightBytes)) /
        m_MemoryBytes;
    const std::uint64_t KeyHash = hashText(Item.m_Entry.str());
    const auto RankOf = [&](const Target *Candidate) {
      const double Load = Candidate->relativeLoad(Spec.m_WeightBytes);
      const std::uint64_t Weight = combine(KeyHash, Candidate->m_Hash);
      // An empty endpoint is never over the limit; the mean may be below the
      // weight of one model while little is placed.
      const bool IsOver = Candidate->m_PlacedBytes > 0 && Load > Limit;
      return std::tuple(CountAt(Candidate), IsOver, IsOver ? Load : 0.0,
                        ~Weight, Candidate->m_Info->m_Endpoint);
    };
    return std::ranges::min_element(Eligible, {}, RankOf);
  }

  void assign(fold::SlotItem Item, Target &Chosen, std::int64_t Bytes) {
    notePlaced(Chosen, Bytes);
    if (!Chosen.m_IsOwn)
      return;
    Item.m_Endpoint = Chosen.m_Info->m_Endpoint;
    m_Grants.push_back(std::move(Item));
  }

  void notePlaced(Target &Chosen, std::int64_t Bytes) {
    Chosen.m_PlacedBytes += Bytes;
    m_PlacedBytes += static_cast<double>(Bytes);
  }

  const PlanContext &m_Context;
  bool m_HaveTargets = false;
  std::vector<Target> m_Targets;
  std::unordered_map<EndpointId, std::size_t> m_IndexOf;
  double m_MemoryBytes = 0;
  double m_PlacedBytes = 0;
  std::vector<fold::SlotItem> m_Grants;
};

} // namespace

std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate) {
  return combine(hashText(Key), hashText(Candidate));
}

std::vector<fold::SlotItem> planGrants(const PlanContext &Context) {
  return GrantPlanner(Context).plan();
}

} // namespace sff::placement
