#pragma once

#include "Common/Logging/Log.h"
#include "Common/Time/Clock.h"
#include "Core/Serving/ByteBudget.h"
#include "Core/Serving/ClientMemory.h"
#include "Core/Serving/ConnectionLimits.h"
#include "Core/Serving/DemandRates.h"
#include "Core/Serving/EndpointBackoff.h"
#include "Core/Serving/EndpointChooser.h"
#include "Core/Serving/EndpointRateLimits.h"
#include "Core/Serving/FleetSize.h"
#include "Core/Serving/RejectionLimits.h"
#include "Core/Serving/SharedRetryBudget.h"
#include "Core/Tenants/CallerIdentity.h"
#include "Host/AdmissionControl.h"
#include "Host/CrashTracker.h"
#include "Host/HostMetrics.h"
#include "Host/HostSettings.h"
#include "Host/LinkMonitor.h"
#include "Host/Ports.h"
#include "Host/StoreStatus.h"
#include "Net/Http/Client.h"
#include "Net/Timers/AsyncCondition.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>

namespace sff::host {

using timers::AsyncCondition;
using timers::sleepFor;

/// The current time of a monotonic clock that includes time while the machine
/// is suspended.
Instant bootTime();

/// State that is shared by the components of a host. Must live as long as the
/// host's io_context.
/// Thread safety: use from the host's io_context only.
struct HostState {
  HostState(boost::asio::io_context &Context, const settings::Settings &Values,
            log::ProcessIdentity Identity, Platform Adapter);

  /// The retry budget of a service, created on first use.
  serving::SharedRetryBudget &budget(const std::string &Service);
  /// Sets the number of hosts that share the retry budgets.
  void setHosts(std::size_t Hosts);
  std::size_t hosts() const { return m_Hosts; }
  /// Returns true if the endpoint is known and accepts requests.
  bool isInUse(const EndpointId &Id) const;
  /// The address of an endpoint; nothing when the endpoint is unknown or its
  /// address is not valid.
  std::optional<http::Address> addressOf(const EndpointId &Id) const;
  /// Age of the catalogue: time since the host sent the last read that the
  /// store has answered; zero before the first answer.
  milliseconds catalogueAge() const { return ageOf(m_CatalogueConfirmedAt); }
  /// The same, or nothing before the first answer.
  std::optional<Duration> catalogueProofAge() const;
  /// The same for the registrations.
  milliseconds endpointsAge() const { return ageOf(m_EndpointsConfirmedAt); }
  /// Identifies the caller of a request on \p Route by \p Key and the newest
  /// catalogue that this host knows. Precondition: it knows one.
  tenants::CallerIdentity identifyCaller(const serving::Route &Route,
                                         std::string_view Key) const;
  /// Takes an endpoint out of use because another one answered at the address
  /// of its registration \p Version, unless a later one is known.
  void onAddressReused(const EndpointId &Id,
                       const serving::RegistrationVersion &Version);
  /// Takes note of what the answer to a call of the kind \p Source says of its
  /// endpoint. \p Asked is the registration by which the endpoint was asked,
  /// \p Request the id of a caller's request, if it was one.
  void onNotice(const EndpointId &Id, const serving::RegistrationVersion &Asked,
                const EndpointNotice &Notice, std::string_view Source,
                std::string_view Request = {});
  /// The known registration of an endpoint; empty when it is unknown.
  serving::RegistrationVersion registrationOf(const EndpointId &Id) const;
  /// Drops what this host has observed of an endpoint.
  void forgetEndpoint(const EndpointId &Id);
  /// Counts a crash for the requests that were lost at an endpoint to which no
  /// connection is established, unless this host has lost the paths to others,
  /// too, or a second connection is established. The requests then wait for
  /// other evidence: a removed registration, or the report of another host.
  Task<void> attributeLosses(EndpointId Id);
  /// Removes the endpoints that have named a request rate, unless all have:
  /// models are placed where requests can be sent.
  void preferUnlimited(std::vector<const serving::Endpoint *> &List) const;
  /// Starts a detached coroutine. An exception that escapes it is logged with
  /// \p TaskName.
  void spawn(std::string TaskName, Task<void> Operation);

  boost::asio::io_context &m_Context;
  settings::Settings m_Settings;
  log::ProcessIdentity m_Identity;
  ZoneId m_Zone;
  Platform m_Platform;
  http::Client m_Http; ///< Connections to endpoints.
  /// Memory of the answers that are held until more of them has arrived.
  serving::ByteBudget m_AnswerMemory;
  /// Memory of the requests and connections of all clients.
  serving::ClientMemory m_ClientMemory;
  serving::SendLimit m_SendLimit; ///< Of the requests at endpoints.
  HostMetrics m_Metrics;
  StoreStatus m_StoreStatus;
  /// Notified when the catalogue, the endpoints or their inventories change.
  AsyncCondition m_Changed;
  std::shared_ptr<const serving::Catalogue> m_Catalogue;
  serving::EndpointDirectory m_Endpoints;
  LinkMonitor m_Links; ///< Whether this host reaches endpoints.
  /// Values of bootTime() at which the last answered reads of the catalogue and
  /// of the registrations were sent. What the store holds may have changed
  /// since then, however late the answer was processed.
  std::optional<Instant> m_CatalogueConfirmedAt;
  std::optional<Instant> m_EndpointsConfirmedAt;
  /// When the process was asked to stop.
  std::optional<Instant> m_StopBegunAt;
  /// When requests without an answer are failed because the process exits soon
  /// after. Set together with m_StopBegunAt.
  std::optional<Instant> m_LastAnswersAt;
  /// Set while the process shuts down: requests that wait for a model are
  /// refused.
  bool m_Stopping = false;
  /// The registry has been listed at least once.
  bool m_EndpointsKnown = false;
  serving::EndpointChooser m_Chooser;
  serving::EndpointBackoff m_Backoff;
  serving::EndpointRateLimits m_RateLimits;
  serving::RejectionLimits m_RejectionLimits;
  /// Requests that wait until the rates of a service's endpoints allow them.
  std::map<std::string, std::size_t> m_WaitingForRates;
  AdmissionControl m_Admission;
  CrashTracker m_Crashes;
  /// Request rates of models at this host.
  serving::DemandRates m_OwnDemand;

private:
  /// Takes an endpoint out of use that leaves. Returns true if it was in use.
  bool onLeaving(const EndpointId &Id,
                 const serving::RegistrationVersion &Asked);
  void onLinksChanged();
  static milliseconds ageOf(const std::optional<Instant> &ConfirmedAt);

  Instant m_StartedAt = now();
  std::map<std::string, serving::SharedRetryBudget> m_Budgets;
  /// Number of hosts that share the retry budgets.
  std::size_t m_Hosts = serving::FleetSize::AssumedHostCount;
};

} // namespace sff::host
