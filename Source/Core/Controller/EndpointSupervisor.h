#pragma once

#include "Controller/ControllerSettings.h"
#include "Controller/EndpointClient.h"

#include <functional>
#include <map>
#include <memory>

namespace sff::controller {

/// Supervises the endpoints that this controller owns: fences them, reads their
/// inventories, requests permits and sends orders. The decisions are made by
/// control::OwnedEndpoint.
/// Thread safety: all calls on the control thread.
class EndpointSupervisor {
public:
  /// Requests a permit for one load. The callback receives the time to wait
  /// before the next attempt; zero when the permit was granted.
  using PermitRequester = std::function<void(
      const EntryName &, double Value, std::function<void(milliseconds)>)>;

  /// Returns the controller's authority at the time of the call.
  using AuthoritySource = std::function<control::Authority()>;

  EndpointSupervisor(const ControllerSettings &Settings, EndpointClient &Client,
                     PermitRequester RequestPermit,
                     AuthoritySource GetAuthority);

  /// Starts and ends the supervision of endpoints according to their ownership
  /// in \p State, and updates their data from the host list.
  void updateOwnership(const fold::ClusterState &State,
                       std::span<const messages::EndpointInfo> Endpoints);

  /// Sends the calls and orders that are due to each endpoint.
  void processEndpoints(const control::PlanInput &Input);

  /// Slots of all endpoints that can be released now.
  std::vector<fold::SlotItem>
  releasableSlots(const control::PlanInput &Input) const;
  /// Endpoints that have confirmed the current fencing token and refuse older
  /// ones.
  std::vector<EndpointId> fencedEndpoints() const;

  /// Returns the endpoint if this controller owns it, or null.
  control::OwnedEndpoint *find(const EndpointId &Endpoint);
  /// Takes back credits of a loan, whichever endpoint granted it. Returns false
  /// when the loan has lapsed or is unknown; the router must not count it as
  /// renewed then.
  bool returnCredits(const messages::ReturnCredits &Message, Instant Now);

  bool hasOutstandingOrders() const;
  std::vector<messages::EndpointStatus> status() const;

private:
  struct SupervisedEndpoint {
    explicit SupervisedEndpoint(control::OwnedEndpoint Item)
        : m_OwnedEndpoint(std::move(Item)) {}
    control::OwnedEndpoint m_OwnedEndpoint;
    bool m_CallInFlight = false;
    Instant m_NextCall;
    int m_FailureCount = 0;
    control::Stage m_LoggedStage = control::Stage::Fencing;
    /// Orders with an unknown outcome, which have to be sent again.
    std::vector<control::OrderRequest> m_OrdersToResend;
  };
  using SupervisedEndpointPtr = std::shared_ptr<SupervisedEndpoint>;

  bool isFencingEndpoint(const EndpointId &Endpoint) const;
  void startDueCall(const SupervisedEndpointPtr &Item, Instant Now);
  void sendFenceOrder(const SupervisedEndpointPtr &Item);
  void pollInventory(const SupervisedEndpointPtr &Item, Instant Now);
  void onCallFailed(SupervisedEndpoint &Item);
  void logStage(SupervisedEndpoint &Item);
  void startOrder(const SupervisedEndpointPtr &Item,
                  const control::PlannedOrder &Order);
  void sendOrder(const SupervisedEndpointPtr &Item,
                 const control::OrderRequest &Order);
  void resendOrders(const SupervisedEndpointPtr &Item);
  void onOrderResult(const SupervisedEndpointPtr &Item,
                     const control::OrderRequest &Order,
                     control::OrderResult Result);

  const ControllerSettings &m_Settings;
  EndpointClient &m_EndpointClient;
  PermitRequester m_RequestPermit;
  AuthoritySource m_GetAuthority;
  std::map<EndpointId, SupervisedEndpointPtr> m_Endpoints;
  /// Endpoints whose ownership was lost while orders were outstanding. The
  /// orders are taken over if this controller claims the endpoint again.
  std::map<EndpointId, SupervisedEndpointPtr> m_LostEndpoints;
};

} // namespace sff::controller
