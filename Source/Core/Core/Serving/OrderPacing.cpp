#include "Core/Serving/OrderPacing.h"

#include <algorithm>
#include <cmath>

namespace sff::serving {

namespace {

/// A rejected order makes the unload time longer at once, accepted ones make it
/// shorter slowly: about one order in twenty is then rejected if the assumption
/// is too short.
constexpr milliseconds UnloadTimeIncrease{20};
constexpr milliseconds UnloadTimeDecrease{1};
constexpr milliseconds MinUnloadTime{40};
constexpr milliseconds MaxUnloadTime{120};
/// Orders that may be rejected for each that is accepted, to find out sooner
/// than by a report that an unload has ended. Below the limit of one in twenty
/// for all rejected orders.
constexpr double RejectionShare = 0.04;
constexpr double MaxRejectionBudget = 3;
/// Reports lag by about a hundred milliseconds, so reading them more often
/// tells little. Requests that run on a model for long are awaited more slowly.
constexpr milliseconds FirstReportDelay{40};
constexpr milliseconds MaxReportDelay{120};
constexpr double ReportDelayGrowth = 1.3;

} // namespace

void OrderPacing::onUnloadAccepted(const EndpointId &Endpoint, bool IsAdapter,
                                   bool IsInUse, Instant Now) {
  m_Unloads[Endpoint] = {
      Now + (IsAdapter ? m_AdapterUnloadTime : m_ModelUnloadTime), IsAdapter,
      IsInUse && m_RejectionBudget < 1};
}

void OrderPacing::onNextOrder(const EndpointId &Endpoint, bool WasAccepted) {
  m_RejectionBudget = WasAccepted ? std::min(m_RejectionBudget + RejectionShare,
                                             MaxRejectionBudget)
                                  : std::max(m_RejectionBudget - 1, 0.0);
  const auto Found = m_Unloads.find(Endpoint);
  if (Found == m_Unloads.end()) {
    // The endpoint carries out an order of which this sender does not know.
    if (!WasAccepted)
      m_Unloads[Endpoint].m_NeedsReport = true;
    return;
  }
  Unload &Last = Found->second;
  // Once the report was read, the result says nothing of the usual time.
  if (!Last.m_NeedsReport) {
    Duration &Usual =
        Last.m_IsAdapter ? m_AdapterUnloadTime : m_ModelUnloadTime;
    Usual = std::clamp<Duration>(WasAccepted ? Usual - UnloadTimeDecrease
                                             : Usual + UnloadTimeIncrease,
                                 MinUnloadTime, MaxUnloadTime);
  }
  if (WasAccepted)
    m_Unloads.erase(Found);
  else
    Last.m_NeedsReport = true;
}

Instant OrderPacing::readyAt(const EndpointId &Endpoint) const {
  const auto Found = m_Unloads.find(Endpoint);
  return Found == m_Unloads.end() ? Instant() : Found->second.m_ReadyAt;
}

bool OrderPacing::needsReport(const EndpointId &Endpoint) const {
  const auto Found = m_Unloads.find(Endpoint);
  return Found != m_Unloads.end() && Found->second.m_NeedsReport;
}

OrderReadiness OrderPacing::readiness(const OrderProgress &Report,
                                      std::int64_t Expected) {
  // A report may lack the latest order. If it lacks more, the endpoint has
  // restarted.
  if (Report.m_AcceptedOrders > Expected ||
      Report.m_AcceptedOrders + 1 < Expected)
    return OrderReadiness::OtherOrders;
  if (Report.m_IsRunning || Report.m_AcceptedOrders < Expected)
    return OrderReadiness::Busy;
  return OrderReadiness::Ready;
}

Duration OrderPacing::reportDelay(int Attempt) {
  const double Factor = std::pow(ReportDelayGrowth, std::max(0, Attempt - 1));
  return std::min<Duration>(fromSeconds(toSeconds(FirstReportDelay) * Factor),
                            MaxReportDelay);
}

} // namespace sff::serving
