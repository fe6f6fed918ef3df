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

  /// Tells what this controller may do at the moment of the call.
  using RightsSource = std::function<control::Authority()>;

  EndpointSupervisor(const ControllerSettings &Settings, EndpointClient &Client,
                     PermitSource Permits, RightsSource Rights);

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
  /// Takes back credits of a loan, at whichever endpoint it was given. Returns
  /// false when the loan is not known, so that the router must not renew it.
  bool returnCredits(const messages::ReturnCredits &Message, Instant Now);

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
    /// Orders whose outcome is unknown and that have to be sent again.
    std::vector<control::OrderRequest> m_Repeat;
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
  void repeatOrders(const DrivenPtr &Item);
  void onOrderResult(const DrivenPtr &Item, const control::OrderRequest &Order,
                     control::OrderResult Result);

  const ControllerSettings &m_Settings;
  EndpointClient &m_Client;
  PermitSource m_Permits;
  RightsSource m_Rights;
  std::map<EndpointId, DrivenPtr> m_Endpoints;
  /// Endpoints that were lost while orders were open.
  std::map<EndpointId, DrivenPtr> m_Lost;
};

} // namespace sff::controller
