#pragma once

#include "Controller/ControllerSettings.h"
#include "Controller/EndpointClient.h"

#include <functional>
#include <map>
#include <memory>

namespace sff::controller {

/// Drives the endpoints that this controller owns: fencing, inventory, orders
/// and permits. Decisions are made by control::OwnedEndpoint.
/// Thread safety: all calls on the control thread.
class EndpointSupervisor {
public:
  /// Asks for the permit of one load; the answer is the time to wait, zero
  /// when granted.
  using PermitSource = std::function<void(const EntryName &, double Value,
                                          std::function<void(milliseconds)>)>;

  EndpointSupervisor(const ControllerSettings &Settings, EndpointClient &Client,
                     PermitSource Permits);

  /// Follows changes of ownership and of the host list.
  void adopt(const fold::ClusterState &State,
             std::span<const messages::EndpointInfo> Endpoints);

  /// Sends what is due.
  void drive(const control::PlanInput &Input);

  /// Slots that can be released now, over all endpoints.
  std::vector<fold::SlotItem>
  releasableSlots(const control::PlanInput &Input) const;
  /// Endpoints that have confirmed the present token and refuse older ones.
  std::vector<EndpointId> fencedEndpoints() const;

  /// The endpoint as owned by this controller, or null.
  control::OwnedEndpoint *find(const EndpointId &Endpoint);
  /// Takes back credits of a loan, at whichever endpoint it was given.
  void returnCredits(const messages::ReturnCredits &Message, Instant Now);

  bool hasOutstandingOrders() const;
  std::vector<messages::EndpointStatus> status() const;

private:
  struct Driven {
    explicit Driven(control::OwnedEndpoint Item) : m_Core(std::move(Item)) {}
    control::OwnedEndpoint m_Core;
    bool m_CallOpen = false;
    Instant m_NextCall;
    int m_Failures = 0;
    control::Stage m_LoggedStage = control::Stage::Fencing;
  };
  using DrivenPtr = std::shared_ptr<Driven>;

  bool isFencing(const EndpointId &Endpoint) const;
  void driveOne(const DrivenPtr &Item, Instant Now);
  void fence(const DrivenPtr &Item);
  void inspect(const DrivenPtr &Item, Instant Now);
  void onCallFailed(Driven &Item);
  void logStage(Driven &Item);
  void startOrder(const DrivenPtr &Item, const control::PlannedOrder &Order);
  void sendOrder(const DrivenPtr &Item, const control::OrderRequest &Order);
  void onOrderResult(const DrivenPtr &Item, const control::OrderRequest &Order,
                     control::OrderResult Result);

  const ControllerSettings &m_Settings;
  EndpointClient &m_Client;
  PermitSource m_Permits;
  std::map<EndpointId, DrivenPtr> m_Endpoints;
};

} // namespace sff::controller
