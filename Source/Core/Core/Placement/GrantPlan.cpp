#include "Core/Placement/SlotPlanner.h"

#include <algorithm>
#include <unordered_map>

namespace sff::placement {

namespace {

/// Largest relative load of an endpoint, as a multiple of the mean, before
/// slots go to the next endpoint in the ranking. The relative load is the size
/// of the placed weights per byte of memory.
constexpr double MaxRelativeLoad = 1.15;

/// FNV-1a. Unlike std::hash, it is the same on all hosts and in all releases.
std::uint64_t hashText(std::string_view Text) {
  constexpr std::uint64_t OffsetBasis = 14695981039346656037U;
  constexpr std::uint64_t Prime = 1099511628211U;
  std::uint64_t Hash = OffsetBasis;
  for (const char Char : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Char)) * Prime;
  return Hash;
}

/// SplitMix64 finalizer. FNV-1a alone mixes the high bits poorly.
std::uint64_t mixBits(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31);
}

std::uint64_t combineHashes(std::uint64_t KeyHash,
                            std::uint64_t CandidateHash) {
  return mixBits(KeyHash ^ mixBits(CandidateHash));
}

/// An engine that may receive slots.
struct Target {
  const messages::EndpointInfo *m_Info = nullptr;
  std::uint64_t m_Hash = 0;
  std::size_t m_Zone = 0; ///< Index of the availability zone.
  std::int64_t m_PlacedBytes = 0;
  Offset m_Ownership = 0;
  bool m_IsOwn = false;

  double relativeLoad(std::int64_t Bytes) const {
    return static_cast<double>(m_PlacedBytes + Bytes) /
           static_cast<double>(m_Info->m_MemoryBytes);
  }
};

/// Sort key of a target; the lowest is preferred.
struct Rank {
  std::size_t m_SlotsInZone = 0;
  double m_Overload = 0; ///< Relative load if above the limit, else 0.
  std::uint64_t m_InvertedWeight = 0;

  auto operator<=>(const Rank &) const = default;
};

/// Places the free slots of all entries in a deterministic order, so that all
/// controllers with the same state and host list compute the same plan.
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
    std::vector<fold::SlotItem> Free;
    std::int64_t Assigned = 0;
    std::int64_t Next = 0;
    const auto AddFree = [&](std::int64_t Index, Offset Previous) {
      if (Index < Spec.m_Replicas)
        Free.push_back({Name, Index, {}, Previous, 0});
    };
    for (auto It = Slots.lower_bound({Name, 0});
         It != Slots.end() && It->first.first == Name; ++It) {
      while (Next < It->first.second && Next < Spec.m_Replicas)
        AddFree(Next++, 0);
      Next = It->first.second + 1;
      if (It->second.m_Endpoint.empty())
        AddFree(It->first.second, It->second.m_Offset);
      else
        ++Assigned;
    }
    while (Next < Spec.m_Replicas)
      AddFree(Next++, 0);
    // After the replica count was lowered, surplus slots still count until
    // they are released.
    const auto MaxNewSlots =
        std::max<std::int64_t>(Spec.m_Replicas - Assigned, 0);
    if (std::ssize(Free) > MaxNewSlots)
      Free.resize(static_cast<std::size_t>(MaxNewSlots));
    if (!Free.empty())
      placeFree(Spec, std::move(Free));
  }

  void placeFree(const catalogue::EntrySpec &Spec,
                 std::vector<fold::SlotItem> Free) {
    if (!m_TargetsCollected)
      collectTargets();
    const EntryName Name = Free.front().m_Entry;
    std::vector<std::size_t> SlotsInZone(m_ZoneNumbers.size());
    std::vector<const Target *> Holders;
    for (const EndpointId &Endpoint : m_Context.m_State.endpointsOf(Name))
      if (const Target *Holder = findTarget(Endpoint)) {
        ++SlotsInZone[Holder->m_Zone];
        Holders.push_back(Holder);
      }
    std::vector<Target *> Eligible = eligibleTargets(Spec);
    std::erase_if(Eligible, [&](const Target *Candidate) {
      return std::ranges::find(Holders, Candidate) != Holders.end();
    });
    const std::uint64_t KeyHash = hashText(Name.str());
    for (fold::SlotItem &Item : Free) {
      const auto Best =
          findBestTarget(KeyHash, Spec.m_WeightBytes, Eligible, SlotsInZone);
      if (Best == Eligible.end())
        return;
      assign(std::move(Item), **Best, Spec.m_WeightBytes);
      ++SlotsInZone[(*Best)->m_Zone];
      Eligible.erase(Best);
    }
  }

  void collectTargets() {
    m_TargetsCollected = true;
    for (const messages::EndpointInfo &Info : m_Context.m_Endpoints) {
      const fold::Ownership *Owned =
          m_Context.m_State.findOwnership(Info.m_Endpoint);
      if (Info.m_Kind != "engine" || Info.m_State != "live" ||
          Info.m_MemoryBytes <= 0 || !Owned || Owned->m_Owner.empty())
        continue;
      m_IndexOf.emplace(Info.m_Endpoint, m_Targets.size());
      const auto Zone =
          m_ZoneNumbers.emplace(Info.m_Zone, m_ZoneNumbers.size()).first;
      m_Targets.push_back({&Info, hashText(Info.m_Endpoint.str()), Zone->second,
                           0, Owned->m_Offset,
                           Owned->m_Owner == m_Context.m_Self});
      m_MemoryBytes += static_cast<double>(Info.m_MemoryBytes);
    }
    for (const auto &[Key, Slot] : m_Context.m_State.slots()) {
      const auto *Spec = m_Context.m_State.findEntry(Key.first);
      Target *Holder = findTarget(Slot.m_Endpoint);
      if (Spec && Holder)
        addPlacedBytes(*Holder, Spec->m_WeightBytes);
    }
  }

  Target *findTarget(const EndpointId &Endpoint) {
    const auto It = m_IndexOf.find(Endpoint);
    return It == m_IndexOf.end() ? nullptr : &m_Targets[It->second];
  }

  std::vector<Target *> eligibleTargets(const catalogue::EntrySpec &Spec) {
    std::vector<Target *> Result;
    if (Spec.m_Kind == catalogue::EntryKind::Adapter) {
      for (const EndpointId &Endpoint :
           m_Context.m_State.endpointsOf(Spec.m_Base))
        if (Target *Candidate = findTarget(Endpoint);
            Candidate &&
            m_Context.m_State.hasUsableSlotAt(Spec.m_Base, Endpoint))
          Result.push_back(Candidate);
    } else {
      for (Target &Candidate : m_Targets)
        Result.push_back(&Candidate);
    }
    const std::int64_t Needed = neededBytes(m_Context.m_State, Spec);
    std::erase_if(Result, [&](const Target *Candidate) {
      return Needed > Candidate->m_Info->m_MemoryBytes;
    });
    return Result;
  }

  /// Considers only the availability zones with the fewest slots of the entry.
  /// Returns their target with the highest rendezvous weight whose relative
  /// load stays within the limit, or the least loaded one if all exceed it.
  std::vector<Target *>::iterator
  findBestTarget(std::uint64_t KeyHash, std::int64_t Bytes,
                 std::vector<Target *> &Eligible,
                 const std::vector<std::size_t> &SlotsInZone) const {
    const double Limit = MaxRelativeLoad *
                         (m_PlacedBytes + static_cast<double>(Bytes)) /
                         m_MemoryBytes;
    auto Best = Eligible.end();
    Rank BestRank;
    for (auto It = Eligible.begin(); It != Eligible.end(); ++It) {
      const Target &Candidate = **It;
      const double Load = Candidate.relativeLoad(Bytes);
      // An empty endpoint is never over the limit: while few weights are
      // placed, the mean may be below the size of a single model.
      const bool IsOver = Candidate.m_PlacedBytes > 0 && Load > Limit;
      const Rank CandidateRank{SlotsInZone[Candidate.m_Zone],
                               IsOver ? Load : 0.0,
                               ~combineHashes(KeyHash, Candidate.m_Hash)};
      if (Best != Eligible.end() && !(CandidateRank < BestRank))
        continue;
      Best = It;
      BestRank = CandidateRank;
    }
    return Best;
  }

  void assign(fold::SlotItem Item, Target &Chosen, std::int64_t Bytes) {
    addPlacedBytes(Chosen, Bytes);
    if (!Chosen.m_IsOwn)
      return;
    Item.m_Endpoint = Chosen.m_Info->m_Endpoint;
    Item.m_Ownership = Chosen.m_Ownership;
    m_Grants.push_back(std::move(Item));
  }

  void addPlacedBytes(Target &Chosen, std::int64_t Bytes) {
    Chosen.m_PlacedBytes += Bytes;
    m_PlacedBytes += static_cast<double>(Bytes);
  }

  const PlanContext &m_Context;
  bool m_TargetsCollected = false;
  std::vector<Target> m_Targets;
  std::unordered_map<EndpointId, std::size_t> m_IndexOf;
  std::map<ZoneId, std::size_t> m_ZoneNumbers;
  double m_MemoryBytes = 0;
  double m_PlacedBytes = 0;
  std::vector<fold::SlotItem> m_Grants;
};

} // namespace

std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate) {
  return combineHashes(hashText(Key), hashText(Candidate));
}

std::vector<fold::SlotItem> planGrants(const PlanContext &Context) {
  return GrantPlanner(Context).plan();
}

} // namespace sff::placement
