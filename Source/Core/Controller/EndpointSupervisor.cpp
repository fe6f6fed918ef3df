#include "Controller/EndpointSupervisor.h"

#include <algorithm>
#include <utility>

namespace sff::controller {

namespace {

constexpr milliseconds CallPause{200};
/// One lost answer is not yet a silent endpoint.
constexpr int FailuresUntilSilent = 3;

Instant now() { return std::chrono::steady_clock::now(); }

} // namespace

EndpointSupervisor::EndpointSupervisor(const ControllerSettings &Settings,
                                       EndpointClient &Client,
                                       PermitSource Permits,
                                       RightsSource Rights)
    : m_Settings(Settings), m_Client(Client), m_Permits(std::move(Permits)),
      m_Rights(std::move(Rights)) {}

bool EndpointSupervisor::isFencing(const EndpointId &Endpoint) const {
  return m_Settings.m_AllFence ||
         std::ranges::find(m_Settings.m_FencingEndpoints, Endpoint.str()) !=
             m_Settings.m_FencingEndpoints.end();
}

void EndpointSupervisor::adopt(
    const fold::ClusterState &State,
    std::span<const messages::EndpointInfo> Endpoints) {
  std::erase_if(m_Endpoints, [&](const auto &Pair) {
    const bool Owned = State.isOwner(m_Settings.m_Incarnation, Pair.first,
                                     Pair.second->m_Core.token());
    if (!Owned)
      log::info(log::Category::Ownership, "endpoint.lost",
                {{"endpoint", Pair.first}});
    if (!Owned && Pair.second->m_Core.hasOutstandingOrders())
      m_Lost[Pair.first] = Pair.second;
    return !Owned;
  });
  for (const messages::EndpointInfo &Info : Endpoints) {
    if (auto It = m_Endpoints.find(Info.m_Endpoint); It != m_Endpoints.end()) {
      It->second->m_Core.updateInfo(Info);
      continue;
    }
    const fold::Ownership *Owned = State.findOwnership(Info.m_Endpoint);
    if (!Owned || Owned->m_Owner != m_Settings.m_Incarnation)
      continue;
    log::info(log::Category::Ownership, "endpoint.claimed",
              {{"endpoint", Info.m_Endpoint}, {"token", Owned->m_Offset}});
    auto Fresh = std::make_shared<Driven>(control::OwnedEndpoint(
        Info, Owned->m_Offset, isFencing(Info.m_Endpoint),
        m_Settings.m_Endpoint));
    if (const auto Lost = m_Lost.find(Info.m_Endpoint); Lost != m_Lost.end()) {
      Fresh->m_Core.inheritOrders(Lost->second->m_Core);
      Fresh->m_Repeat = Fresh->m_Core.openOrders();
      m_Lost.erase(Lost);
    }
    m_Endpoints[Info.m_Endpoint] = std::move(Fresh);
  }
}

void EndpointSupervisor::drive(const control::PlanInput &Input) {
  for (const auto &[Endpoint, Item] : m_Endpoints) {
    driveOne(Item, Input.m_Now);
    repeatOrders(Item);
    for (const control::PlannedOrder &Order : Item->m_Core.planOrders(Input))
      startOrder(Item, Order);
  }
}

std::vector<fold::SlotItem>
EndpointSupervisor::releasableSlots(const control::PlanInput &Input) const {
  std::vector<fold::SlotItem> Result;
  for (const auto &[Endpoint, Item] : m_Endpoints)
    std::ranges::copy(Item->m_Core.releasableSlots(Input),
                      std::back_inserter(Result));
  return Result;
}

std::vector<EndpointId> EndpointSupervisor::fencedEndpoints() const {
  std::vector<EndpointId> Result;
  for (const auto &[Endpoint, Item] : m_Endpoints)
    if (Item->m_Core.fences() &&
        Item->m_Core.stage() != control::Stage::Fencing)
      Result.push_back(Endpoint);
  return Result;
}

void EndpointSupervisor::driveOne(const DrivenPtr &Item, Instant Now) {
  if (Item->m_CallOpen || Now < Item->m_NextCall)
    return;
  if (Item->m_Core.stage() == control::Stage::Fencing)
    fence(Item);
  else
    inspect(Item, Now);
}

void EndpointSupervisor::fence(const DrivenPtr &Item) {
  Item->m_CallOpen = true;
  control::OrderRequest Order;
  Order.m_OrderId = makeRandomId();
  Order.m_FencingToken = Item->m_Core.token();
  Order.m_Kind = "fence";
  m_Client.sendOrder(Item->m_Core.info().m_Address, Order,
                     [this, Item](control::OrderResult Result) {
                       Item->m_CallOpen = false;
                       Item->m_NextCall = now() + CallPause;
                       if (Result != control::OrderResult::Done) {
                         onCallFailed(*Item);
                         return;
                       }
                       Item->m_NextCall = now();
                       Item->m_Core.onFenced(now());
                       logStage(*Item);
                     });
}

void EndpointSupervisor::inspect(const DrivenPtr &Item, Instant Now) {
  Item->m_CallOpen = true;
  m_Client.readInventory(
      Item->m_Core.info().m_Address,
      [this, Item, SentAt = Now](std::optional<control::Inventory> Report) {
        Item->m_CallOpen = false;
        Item->m_NextCall = now() + m_Settings.m_InventoryPeriod;
        if (!Report) {
          Item->m_NextCall = now() + CallPause;
          onCallFailed(*Item);
          return;
        }
        Item->m_Failures = 0;
        Item->m_Core.onInventory(*Report, SentAt);
        if (Item->m_Core.stage() == control::Stage::Fencing)
          Item->m_NextCall = now();
        logStage(*Item);
      });
}

void EndpointSupervisor::onCallFailed(Driven &Item) {
  if (++Item.m_Failures < FailuresUntilSilent)
    return;
  Item.m_Core.onUnreachable();
  logStage(Item);
}

void EndpointSupervisor::logStage(Driven &Item) {
  if (Item.m_LoggedStage == Item.m_Core.stage())
    return;
  Item.m_LoggedStage = Item.m_Core.stage();
  log::info(log::Category::Ownership, "endpoint.stage",
            {{"endpoint", Item.m_Core.info().m_Endpoint},
             {"stage", Item.m_Core.status().m_State},
             {"token", Item.m_Core.token()}});
}

void EndpointSupervisor::startOrder(const DrivenPtr &Item,
                                    const control::PlannedOrder &Order) {
  if (!Order.m_NeedsPermit) {
    sendOrder(Item, Order.m_Request);
    return;
  }
  m_Permits(Order.m_Request.m_Model, Order.m_Value,
            [this, Item, Request = Order.m_Request](milliseconds Wait) {
              // The lease may have lapsed while the permit was on its way.
              const bool Allowed = Item->m_Core.mayOrder(m_Rights());
              if (Wait == milliseconds(0) && Allowed) {
                sendOrder(Item, Request);
                return;
              }
              Item->m_Core.onPermitDenied(Request.m_OrderId, now() + Wait);
            });
}

void EndpointSupervisor::sendOrder(const DrivenPtr &Item,
                                   const control::OrderRequest &Order) {
  if (!Item->m_Core.isOutstanding(Order.m_OrderId))
    return;
  log::entry(log::Category::Loading, "order.sent", Order.m_Model.str(),
             {{"endpoint", Item->m_Core.info().m_Endpoint},
              {"kind", Order.m_Kind},
              {"order", Order.m_OrderId},
              {"version", Order.m_Version},
              {"token", Order.m_FencingToken}});
  m_Client.sendOrder(Item->m_Core.info().m_Address, Order,
                     [this, Item, Order](control::OrderResult Result) {
                       onOrderResult(Item, Order, Result);
                     });
}

void EndpointSupervisor::onOrderResult(const DrivenPtr &Item,
                                       const control::OrderRequest &Order,
                                       control::OrderResult Result) {
  log::entry(log::Category::Loading, "order.finished", Order.m_Model.str(),
             {{"endpoint", Item->m_Core.info().m_Endpoint},
              {"kind", Order.m_Kind},
              {"order", Order.m_OrderId},
              {"result", static_cast<int>(Result)}});
  if (Result != control::OrderResult::Unknown) {
    Item->m_Core.onOrderResult(Order.m_OrderId, Result, now());
    return;
  }
  // The order may or may not have been executed. Repeating it with the same id
  // resolves that, as long as this controller still owns the endpoint.
  Item->m_Repeat.push_back(Order);
}

void EndpointSupervisor::repeatOrders(const DrivenPtr &Item) {
  if (Item->m_Repeat.empty() || !Item->m_Core.mayOrder(m_Rights()))
    return;
  for (const control::OrderRequest &Order : std::exchange(Item->m_Repeat, {}))
    sendOrder(Item, Order);
}

control::OwnedEndpoint *EndpointSupervisor::find(const EndpointId &Endpoint) {
  const auto It = m_Endpoints.find(Endpoint);
  return It == m_Endpoints.end() ? nullptr : &It->second->m_Core;
}

bool EndpointSupervisor::returnCredits(const messages::ReturnCredits &Message,
                                       Instant Now) {
  bool Renewed = false;
  for (const auto &[Endpoint, Item] : m_Endpoints) {
    memory::CreditLedger &Ledger = Item->m_Core.ledger();
    Ledger.onRouterSeen(Message.m_Router);
    Renewed |=
        Ledger.returnCredits(Message.m_Loan, Message.m_ReturnedTotal, Now);
  }
  return Renewed;
}

bool EndpointSupervisor::hasOutstandingOrders() const {
  return std::ranges::any_of(m_Endpoints, [](const auto &Pair) {
    return Pair.second->m_Core.hasOutstandingOrders();
  });
}

std::vector<messages::EndpointStatus> EndpointSupervisor::status() const {
  std::vector<messages::EndpointStatus> Result;
  for (const auto &[Endpoint, Item] : m_Endpoints)
    Result.push_back(Item->m_Core.status());
  return Result;
}

} // namespace sff::controller
