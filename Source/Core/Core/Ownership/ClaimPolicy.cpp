#include "Core/Ownership/ClaimPolicy.h"

#include "Core/Placement/SlotPlanner.h"

#include <algorithm>

namespace sff::ownership {

namespace {

bool isKnownTerminated(const ClaimContext &Context, const IncarnationId &Id) {
  return std::ranges::find(Context.m_TerminatedControllers, Id) !=
         Context.m_TerminatedControllers.end();
}

/// True when the endpoints of \p Holder may be claimed. A renewal that has been
/// applied but not yet observed shows that the holder is alive.
bool hasExpired(const ClaimContext &Context, const IncarnationId &Holder,
                const fold::Lease &Lease) {
  if (isKnownTerminated(Context, Holder))
    return true;
  return Context.m_Observer.lastRenewalRead(Holder) == Lease.m_LastRenewal &&
         Context.m_Observer.isExpired(Holder, Context.m_Now);
}

/// Orders controllers by their preference for claiming an endpoint: same
/// availability zone first, then rendezvous hash, then incarnation.
bool ranksBefore(const Candidate &Left, const Candidate &Right,
                 const messages::EndpointInfo &Endpoint) {
  const bool LeftIsLocal = Left.m_Zone == Endpoint.m_Zone;
  const bool RightIsLocal = Right.m_Zone == Endpoint.m_Zone;
  if (LeftIsLocal != RightIsLocal)
    return LeftIsLocal;
  const std::string &Key = Endpoint.m_Endpoint.str();
  const auto LeftWeight =
      placement::rendezvousWeight(Key, Left.m_Incarnation.str());
  const auto RightWeight =
      placement::rendezvousWeight(Key, Right.m_Incarnation.str());
  if (LeftWeight != RightWeight)
    return LeftWeight > RightWeight;
  return Left.m_Incarnation < Right.m_Incarnation;
}

bool ranksFirst(const std::vector<Candidate> &Candidates,
                const messages::EndpointInfo &Endpoint,
                const IncarnationId &Self) {
  const auto First = std::ranges::min_element(
      Candidates, [&](const Candidate &Left, const Candidate &Right) {
        return ranksBefore(Left, Right, Endpoint);
      });
  return First != Candidates.end() && First->m_Incarnation == Self;
}

/// Builds the claim for an endpoint, or returns nothing when the endpoint
/// should not be claimed now.
std::optional<fold::ClaimItem>
makeClaim(const ClaimContext &Context, const messages::EndpointInfo &Endpoint) {
  const fold::Ownership *Current =
      Context.m_State.findOwnership(Endpoint.m_Endpoint);
  const bool IsGone = Endpoint.m_State == "gone";
  if (!Current)
    return IsGone ? std::nullopt
                  : std::optional(fold::ClaimItem{Endpoint.m_Endpoint, 0, 0});
  if (Current->m_Owner == Context.m_Self || (IsGone && Current->m_Retired))
    return std::nullopt;
  fold::ClaimItem Item{Endpoint.m_Endpoint, Current->m_Offset, 0};
  std::ranges::copy_if(Current->m_LapsedOwners,
                       std::back_inserter(Item.m_TerminatedOwners),
                       [&](const IncarnationId &Owner) {
                         return isKnownTerminated(Context, Owner);
                       });
  if (Current->m_Owner.empty())
    return Item;
  if (const fold::Lease *Lease = Context.m_State.findLease(Current->m_Owner)) {
    if (!hasExpired(Context, Current->m_Owner, *Lease))
      return std::nullopt;
    Item.m_PredecessorRenewal = Lease->m_LastRenewal;
  }
  if (isKnownTerminated(Context, Current->m_Owner))
    Item.m_TerminatedOwners.push_back(Current->m_Owner);
  return Item;
}

} // namespace

void observeLeases(const fold::ClusterState &State, LeaseObserver &Observer,
                   Instant Now) {
  for (const IncarnationId &Incarnation : Observer.observedIncarnations())
    if (!State.findLease(Incarnation))
      Observer.forget(Incarnation);
  for (const auto &[Incarnation, Lease] : State.leases())
    Observer.onRenewalRead(Incarnation, Lease.m_LastRenewal, Now);
}

std::vector<Candidate> liveControllers(const ClaimContext &Context) {
  std::vector<Candidate> Result;
  for (const auto &[Incarnation, Lease] : Context.m_State.leases()) {
    const bool IsLive = Incarnation == Context.m_Self ||
                        !hasExpired(Context, Incarnation, Lease);
    if (!Lease.m_Released && IsLive)
      Result.push_back({Incarnation, Lease.m_Host, Lease.m_Zone});
  }
  return Result;
}

std::vector<fold::ClaimItem> planClaims(const ClaimContext &Context) {
  const fold::Lease *Own = Context.m_State.findLease(Context.m_Self);
  if (!Own || Own->m_Released)
    return {};
  const auto Candidates = liveControllers(Context);
  std::vector<fold::ClaimItem> Result;
  for (const messages::EndpointInfo &Endpoint : Context.m_Endpoints) {
    auto Item = makeClaim(Context, Endpoint);
    if (Item && ranksFirst(Candidates, Endpoint, Context.m_Self))
      Result.push_back(std::move(*Item));
  }
  return Result;
}

} // namespace sff::ownership
