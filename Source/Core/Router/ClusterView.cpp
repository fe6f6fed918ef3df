#include "Router/ClusterView.h"

#include <algorithm>

namespace sff::router {

namespace {

constexpr milliseconds ListTimeout{1000};

} // namespace

ClusterView::ClusterView(timers::EventLoop &Loop, follower::RelayClient &Relays,
                         PeerConnectionPool &Controllers, Options Opts)
    : m_Options(std::move(Opts)), m_Controllers(Controllers),
      m_Timers(Loop.context().get_executor()),
      m_Follower(Loop, Relays,
                 {.m_OnApplied = {},
                  .m_OnStateReplaced = {},
                  .m_OnLogStatus = [this](bool Reachable, Offset) {
                    m_RelayReached = m_RelayReached || Reachable ||
                                     state().appliedOffset() > 0;
                  }}) {}

void ClusterView::start() {
  m_Follower.start();
  m_ListTimer =
      m_Timers.every(m_Options.m_ListPeriod, [this] { readEndpoints(); });
}

std::vector<EndpointId>
ClusterView::endpointsOf(const EntryName &Entry,
                         const catalogue::EntrySpec &Spec) const {
  std::vector<EndpointId> Result;
  if (Spec.isLoadable()) {
    Result = state().endpointsOf(Entry);
    std::erase_if(Result,
                  [&](const EndpointId &Id) { return !acceptsWork(Id); });
    return Result;
  }
  for (const auto &[Id, Info] : m_Endpoints)
    if (Info.m_Service == Spec.m_Service && acceptsWork(Id))
      Result.push_back(Id);
  return Result;
}

bool ClusterView::acceptsWork(const EndpointId &Endpoint) const {
  const auto It = m_Endpoints.find(Endpoint);
  return It == m_Endpoints.end() || It->second.m_State == "live";
}

std::string ClusterView::addressOf(const EndpointId &Endpoint) const {
  const auto It = m_Endpoints.find(Endpoint);
  return It == m_Endpoints.end() ? std::string() : It->second.m_Address;
}

std::string ClusterView::ownerAddressOf(const EndpointId &Endpoint) const {
  const fold::Ownership *Owned = state().findOwnership(Endpoint);
  if (!Owned || Owned->m_Owner.empty())
    return {};
  const fold::Lease *OwnerLease = state().findLease(Owned->m_Owner);
  return OwnerLease && !OwnerLease->m_Released ? OwnerLease->m_ControllerAddress
                                               : std::string();
}

bool ClusterView::isGone(const EndpointId &Endpoint) const {
  const auto It = m_Endpoints.find(Endpoint);
  return It != m_Endpoints.end() && It->second.m_State == "gone";
}

bool ClusterView::isEngine(const EndpointId &Endpoint) const {
  const auto It = m_Endpoints.find(Endpoint);
  return It != m_Endpoints.end() && It->second.m_Kind == "engine";
}

std::set<std::string> ClusterView::routerAddresses() const {
  std::set<std::string> Result;
  for (const auto &[Incarnation, KnownLease] : state().leases())
    if (!KnownLease.m_Released && !KnownLease.m_RouterAddress.empty())
      Result.insert(KnownLease.m_RouterAddress);
  return Result;
}

std::vector<std::string> ClusterView::controllersByDistance() const {
  std::vector<std::pair<int, std::string>> Ranked;
  for (const auto &[Incarnation, KnownLease] : state().leases()) {
    if (KnownLease.m_Released || KnownLease.m_ControllerAddress.empty())
      continue;
    const int Distance = KnownLease.m_Host == m_Options.m_Host   ? 0
                         : KnownLease.m_Zone == m_Options.m_Zone ? 1
                                                                 : 2;
    Ranked.emplace_back(Distance, KnownLease.m_ControllerAddress);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Result;
  Result.reserve(Ranked.size());
  for (auto &[Distance, Address] : Ranked)
    Result.push_back(std::move(Address));
  return Result;
}

void ClusterView::readEndpoints() {
  const std::vector<std::string> Nearest = controllersByDistance();
  if (m_ListPending || Nearest.empty())
    return;
  std::set<std::string> InUse = routerAddresses();
  InUse.insert(Nearest.begin(), Nearest.end());
  m_Controllers.retainOnly(InUse);
  m_ListPending = true;
  auto &Peer = m_Controllers.at(Nearest[m_NextController % Nearest.size()]);
  const messages::ListEndpoints Request{m_ListVersion};
  Peer.call(Request, ListTimeout, [this](auto Reply) {
    m_ListPending = false;
    if (Reply && Reply->m_Unchanged) {
      m_NextController = 0;
      return;
    }
    // If a controller does not answer, or has not read the host list yet, ask
    // the next one. After a success, polling starts with the nearest one again.
    if (Reply && !Reply->m_Endpoints.empty()) {
      m_NextController = 0;
      m_ListVersion = Reply->m_Version;
      onEndpoints(std::move(*Reply));
      return;
    }
    ++m_NextController;
  });
}

void ClusterView::onEndpoints(messages::ListEndpointsReply Reply) {
  std::map<EndpointId, messages::EndpointInfo> Listed;
  for (messages::EndpointInfo &Info : Reply.m_Endpoints) {
    const EndpointId Id = Info.m_Endpoint;
    Listed.insert_or_assign(Id, std::move(Info));
  }
  // Keep an endpoint that was removed from the list, marked as gone, while the
  // state still has an owner for it. Its slots then get no work before they are
  // released.
  for (auto &[Id, Known] : m_Endpoints)
    if (!Listed.contains(Id) && state().findOwnership(Id)) {
      Known.m_State = "gone";
      Listed.emplace(Id, Known);
    }
  m_Endpoints = std::move(Listed);
}

} // namespace sff::router
