#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <cstdint>
#include <map>

namespace sff::serving {

/// What an endpoint's report says of its orders.
struct OrderProgress {
  bool m_IsRunning = false;
  std::int64_t m_AcceptedOrders = 0;
};

/// What the report means for the next order.
enum class OrderReadiness {
  Ready, ///< The endpoint has carried out all orders.
  Busy,  ///< It still carries one out, or the report is older than the latest.
  /// It has accepted orders of which the sender does not know, or has
  /// forgotten some.
  OtherOrders,
};

/// Decides when an endpoint is ready for the next order, so that it is accepted
/// at the first attempt. An endpoint carries out one order at a time: it
/// rejects others meanwhile. Thread safety: none.
class OrderPacing {
public:
  /// Called when the endpoint has accepted an order to unload a model, or an
  /// adapter. \p IsInUse: requests may be running on the model, for which the
  /// endpoint waits. The report is then read before the next order, which is
  /// sent later for it, unless few orders have been rejected lately.
  void onUnloadAccepted(const EndpointId &Endpoint, bool IsAdapter,
                        bool IsInUse, Instant Now);
  /// Called with the result of the next order to the endpoint.
  void onNextOrder(const EndpointId &Endpoint, bool WasAccepted);
  void forget(const EndpointId &Endpoint) { m_Unloads.erase(Endpoint); }

  /// The earliest time at which the next order may be accepted.
  Instant readyAt(const EndpointId &Endpoint) const;
  /// Whether the endpoint's report must be read before the next order, since
  /// its unload takes an unknown time.
  bool needsReport(const EndpointId &Endpoint) const;

  /// \p Expected is the number of orders that the endpoint has accepted, as far
  /// as the sender knows.
  static OrderReadiness readiness(const OrderProgress &Report,
                                  std::int64_t Expected);
  /// Delay before the report is read for the \p Attempt-th time, from 1.
  static Duration reportDelay(int Attempt);

private:
  struct Unload {
    Instant m_ReadyAt;
    bool m_IsAdapter = false;
    bool m_NeedsReport = false;
  };

  std::map<EndpointId, Unload> m_Unloads;
  /// Orders that may still be rejected.
  double m_RejectionBudget = 1;
  /// Time that endpoints take to unload a model on which nothing runs.
  Duration m_ModelUnloadTime = milliseconds(80);
  Duration m_AdapterUnloadTime = milliseconds(40);
};

} // namespace sff::serving
