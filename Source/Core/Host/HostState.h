#pragma once

#include "Common/Logging/Log.h"
#include "Core/Retry/CrashQuarantine.h"
#include "Core/Retry/CrashWatch.h"
#include "Core/Serving/DemandRates.h"
#include "Core/Serving/EndpointChooser.h"
#include "Core/Serving/FleetSize.h"
#include "Core/Serving/SharedRetryBudget.h"
#include "Host/HostMetrics.h"
#include "Host/HostSettings.h"
#include "Host/Ports.h"
#include "Net/Http/Client.h"
#include "Net/Timers/Signal.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

namespace sff::host {

using timers::Signal;
using timers::sleepFor;

/// The time now, of the clock that the core is given.
inline Instant now() { return std::chrono::steady_clock::now(); }

/// The time of a clock that counts suspended time too.
Instant bootTime();

/// What the parts of a host share. Lives as long as the host's io_context.
/// Thread safety: use from the host's io_context only.
struct HostState {
  HostState(boost::asio::io_context &Context, const settings::Settings &Values,
            log::ProcessIdentity Identity, Platform Adapter);

  /// The retry budget of a service.
  serving::SharedRetryBudget &budget(const std::string &Service);
  /// The number of hosts that share the retry budget has changed.
  void setHosts(std::size_t Hosts);
  std::size_t hosts() const { return m_Hosts; }
  /// Where a known endpoint is reached.
  std::optional<http::Address> addressOf(const EndpointId &Id) const;
  /// The endpoint refuses connections or has started anew: requests that were
  /// lost with it are suspects.
  void onEndpointDown(const EndpointId &Id);
  /// Takes notice of the crashes that other hosts have seen.
  void mergeCrashes(const std::map<std::string, std::int64_t> &Crashes);
  /// Starts a coroutine that runs beside the caller; an exception that leaves
  /// it is logged under \p Duty.
  void spawn(std::string Duty, Task<void> Work);

  boost::asio::io_context &m_Context;
  settings::Settings m_Settings;
  log::ProcessIdentity m_Identity;
  ZoneId m_Zone;
  Platform m_Platform;
  http::Client m_Http; ///< To endpoints.
  HostMetrics m_Metrics;
  Signal m_Changed; ///< Catalogue, endpoints or inventories.
  std::shared_ptr<const serving::Catalogue> m_Catalogue;
  serving::EndpointDirectory m_Endpoints;
  /// The process is about to end: what has not been sent is refused.
  bool m_Stopping = false;
  bool m_EndpointsKnown = false; ///< The registry has been listed once.
  serving::EndpointChooser m_Chooser;
  retry::CrashQuarantine m_Quarantine;
  retry::CrashWatch m_CrashWatch;
  /// Requests for models that reached this host.
  serving::DemandRates m_OwnDemand;

private:
  std::map<std::string, serving::SharedRetryBudget> m_Budgets;
  /// That share the retry budget.
  std::size_t m_Hosts = serving::FleetSize::Assumed;
};

} // namespace sff::host
