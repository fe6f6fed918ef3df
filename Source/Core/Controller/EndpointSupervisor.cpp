#include "Controller/EndpointSupervisor.h"

#include "Common/Time/Clock.h"

#include <algorithm>
#include <utility>

namespace sff::controller {

namespace {

constexpr milliseconds CallRetryDelay{200};
/// An endpoint counts as silent after this many failed calls, because a single
/// response may be lost.
constexpr int FailuresUntilSilent = 3;

} // namespace

EndpointSupervisor::EndpointSupervisor(const ControllerSettings &Settings,
                                       EndpointClient &Client,
                                       PermitRequester RequestPermit,
                                       AuthoritySource GetAuthority)
    : m_Settings(Settings), m_EndpointClient(Client),
      m_RequestPermit(std::move(RequestPermit)),
      m_GetAuthority(std::move(GetAuthority)) {}

bool EndpointSupervisor::isFencingEndpoint(const EndpointId &Endpoint) const {
  return m_Settings.m_AllEndpointsFence ||
         std::ranges::find(m_Settings.m_FencingEndpoints, Endpoint.str()) !=
             m_Settings.m_FencingEndpoints.end();
}

void EndpointSupervisor::updateOwnership(
    const fold::ClusterState &State,
    std::span<const messages::EndpointInfo> Endpoints) {
  std::erase_if(m_Endpoints, [&](const auto &Pair) {
    const bool IsOwner = State.isOwner(m_Settings.m_Incarnation, Pair.first,
                                       Pair.second->m_OwnedEndpoint.token());
    if (!IsOwner)
      log::info(log::Category::Ownership, "endpoint.lost",
                {{"endpoint", Pair.first}});
    if (!IsOwner && Pair.second->m_OwnedEndpoint.hasOutstandingOrders())
      m_LostEndpoints[Pair.first] = Pair.second;
    return !IsOwner;
  });
  for (const messages::EndpointInfo &Info : Endpoints) {
    if (auto It = m_Endpoints.find(Info.m_Endpoint); It != m_Endpoints.end()) {
      It->second->m_OwnedEndpoint.updateInfo(Info);
      continue;
    }
    const fold::Ownership *Current = State.findOwnership(Info.m_Endpoint);
    if (!Current || Current->m_Owner != m_Settings.m_Incarnation)
      continue;
    log::info(log::Category::Ownership, "endpoint.claimed",
              {{"endpoint", Info.m_Endpoint}, {"token", Current->m_Offset}});
    auto Added = std::make_shared<SupervisedEndpoint>(control::OwnedEndpoint(
        Info, Current->m_Offset, isFencingEndpoint(Info.m_Endpoint),
        m_Settings.m_EndpointTimes));
    if (const auto Lost = m_LostEndpoints.find(Info.m_Endpoint);
        Lost != m_LostEndpoints.end()) {
      Added->m_OwnedEndpoint.adoptOrders(Lost->second->m_OwnedEndpoint);
      Added->m_OrdersToResend = Added->m_OwnedEndpoint.outstandingOrders();
      m_LostEndpoints.erase(Lost);
    }
    m_Endpoints[Info.m_Endpoint] = std::move(Added);
  }
}

void EndpointSupervisor::processEndpoints(const control::PlanInput &Input) {
  for (const auto &[Endpoint, Item] : m_Endpoints) {
    startDueCall(Item, Input.m_Now);
    resendOrders(Item);
    for (const control::PlannedOrder &Order :
         Item->m_OwnedEndpoint.planOrders(Input))
      startOrder(Item, Order);
  }
}

std::vector<fold::SlotItem>
EndpointSupervisor::releasableSlots(const control::PlanInput &Input) const {
  std::vector<fold::SlotItem> Result;
  for (const auto &[Endpoint, Item] : m_Endpoints)
    std::ranges::copy(Item->m_OwnedEndpoint.releasableSlots(Input),
                      std::back_inserter(Result));
  return Result;
}

std::vector<EndpointId> EndpointSupervisor::fencedEndpoints() const {
  std::vector<EndpointId> Result;
  for (const auto &[Endpoint, Item] : m_Endpoints)
    if (Item->m_OwnedEndpoint.enforcesFencing() &&
        Item->m_OwnedEndpoint.stage() != control::Stage::Fencing)
      Result.push_back(Endpoint);
  return Result;
}

void EndpointSupervisor::startDueCall(const SupervisedEndpointPtr &Item,
                                      Instant Now) {
  if (Item->m_CallInFlight || Now < Item->m_NextCall)
    return;
  if (Item->m_OwnedEndpoint.stage() == control::Stage::Fencing)
    sendFenceOrder(Item);
  else
    pollInventory(Item, Now);
}

void EndpointSupervisor::sendFenceOrder(const SupervisedEndpointPtr &Item) {
  Item->m_CallInFlight = true;
  control::OrderRequest Order;
  Order.m_OrderId = makeRandomId();
  Order.m_FencingToken = Item->m_OwnedEndpoint.token();
  Order.m_Kind = "fence";
  m_EndpointClient.sendOrder(Item->m_OwnedEndpoint.info().m_Address, Order,
                             [this, Item](control::OrderResult Result) {
                               Item->m_CallInFlight = false;
                               Item->m_NextCall = now() + CallRetryDelay;
                               if (Result != control::OrderResult::Done) {
                                 onCallFailed(*Item);
                                 return;
                               }
                               Item->m_NextCall = now();
                               Item->m_OwnedEndpoint.onTokenRejected(now());
                               logStage(*Item);
                             });
}

void EndpointSupervisor::pollInventory(const SupervisedEndpointPtr &Item,
                                       Instant Now) {
  Item->m_CallInFlight = true;
  m_EndpointClient.readInventory(
      Item->m_OwnedEndpoint.info().m_Address,
      [this, Item, SentAt = Now](std::optional<control::Inventory> Report) {
        Item->m_CallInFlight = false;
        Item->m_NextCall = now() + m_Settings.m_InventoryPeriod;
        if (!Report) {
          Item->m_NextCall = now() + CallRetryDelay;
          onCallFailed(*Item);
          return;
        }
        Item->m_FailureCount = 0;
        Item->m_OwnedEndpoint.onInventory(*Report, SentAt);
        if (Item->m_OwnedEndpoint.stage() == control::Stage::Fencing)
          Item->m_NextCall = now();
        logStage(*Item);
      });
}

void EndpointSupervisor::onCallFailed(SupervisedEndpoint &Item) {
  if (++Item.m_FailureCount < FailuresUntilSilent)
    return;
  Item.m_OwnedEndpoint.onUnreachable();
  logStage(Item);
}

void EndpointSupervisor::logStage(SupervisedEndpoint &Item) {
  if (Item.m_LoggedStage == Item.m_OwnedEndpoint.stage())
    return;
  Item.m_LoggedStage = Item.m_OwnedEndpoint.stage();
  log::info(log::Category::Ownership, "endpoint.stage",
            {{"endpoint", Item.m_OwnedEndpoint.info().m_Endpoint},
             {"stage", Item.m_OwnedEndpoint.status().m_State},
             {"token", Item.m_OwnedEndpoint.token()}});
}

void EndpointSupervisor::startOrder(const SupervisedEndpointPtr &Item,
                                    const control::PlannedOrder &Order) {
  if (!Order.m_NeedsPermit) {
    sendOrder(Item, Order.m_Request);
    return;
  }
  m_RequestPermit(Order.m_Request.m_Model, Order.m_Value,
                  [this, Item, Request = Order.m_Request](milliseconds Wait) {
                    // The lease may have expired while the permit was
                    // requested.
                    const bool Allowed =
                        Item->m_OwnedEndpoint.maySendOrders(m_GetAuthority());
                    if (Wait == milliseconds(0) && Allowed) {
                      sendOrder(Item, Request);
                      return;
                    }
                    Item->m_OwnedEndpoint.onPermitDenied(Request.m_OrderId,
                                                         now() + Wait);
                  });
}

void EndpointSupervisor::sendOrder(const SupervisedEndpointPtr &Item,
                                   const control::OrderRequest &Order) {
  if (!Item->m_OwnedEndpoint.isOutstanding(Order.m_OrderId))
    return;
  log::entry(log::Category::Loading, "order.sent", Order.m_Model.str(),
             {{"endpoint", Item->m_OwnedEndpoint.info().m_Endpoint},
              {"kind", Order.m_Kind},
              {"order", Order.m_OrderId},
              {"version", Order.m_Version},
              {"token", Order.m_FencingToken}});
  m_EndpointClient.sendOrder(Item->m_OwnedEndpoint.info().m_Address, Order,
                             [this, Item, Order](control::OrderResult Result) {
                               onOrderResult(Item, Order, Result);
                             });
}

void EndpointSupervisor::onOrderResult(const SupervisedEndpointPtr &Item,
                                       const control::OrderRequest &Order,
                                       control::OrderResult Result) {
  log::entry(log::Category::Loading, "order.finished", Order.m_Model.str(),
             {{"endpoint", Item->m_OwnedEndpoint.info().m_Endpoint},
              {"kind", Order.m_Kind},
              {"order", Order.m_OrderId},
              {"result", static_cast<int>(Result)}});
  if (Result != control::OrderResult::Unknown) {
    Item->m_OwnedEndpoint.onOrderResult(Order.m_OrderId, Result, now());
    return;
  }
  // The order may have been executed. Sending it again with the same id
  // determines its outcome, as long as this controller owns the endpoint.
  Item->m_OrdersToResend.push_back(Order);
}

void EndpointSupervisor::resendOrders(const SupervisedEndpointPtr &Item) {
  if (Item->m_OrdersToResend.empty() ||
      !Item->m_OwnedEndpoint.maySendOrders(m_GetAuthority()))
    return;
  for (const control::OrderRequest &Order :
       std::exchange(Item->m_OrdersToResend, {}))
    sendOrder(Item, Order);
}

control::OwnedEndpoint *EndpointSupervisor::find(const EndpointId &Endpoint) {
  const auto It = m_Endpoints.find(Endpoint);
  return It == m_Endpoints.end() ? nullptr : &It->second->m_OwnedEndpoint;
}

bool EndpointSupervisor::returnCredits(const messages::ReturnCredits &Message,
                                       Instant Now) {
  bool Renewed = false;
  for (const auto &[Endpoint, Item] : m_Endpoints) {
    memory::CreditLedger &Ledger = Item->m_OwnedEndpoint.ledger();
    Ledger.onRouterMessage(Message.m_Router);
    Renewed |=
        Ledger.returnCredits(Message.m_Loan, Message.m_ReturnedTotal, Now);
  }
  return Renewed;
}

bool EndpointSupervisor::hasOutstandingOrders() const {
  return std::ranges::any_of(m_Endpoints, [](const auto &Pair) {
    return Pair.second->m_OwnedEndpoint.hasOutstandingOrders();
  });
}

std::vector<messages::EndpointStatus> EndpointSupervisor::status() const {
  std::vector<messages::EndpointStatus> Result;
  for (const auto &[Endpoint, Item] : m_Endpoints)
    Result.push_back(Item->m_OwnedEndpoint.status());
  return Result;
}

} // namespace sff::controller
