#include "Host/HostState.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <ctime>
#include <random>

namespace sff::host {

namespace {

/// Several times the delay of a connection between availability zones.
constexpr milliseconds ConnectTimeout{300};

serving::RetryLimits retryBounds(const settings::Settings &Values) {
  return {Values.get(RetryRatioSetting), Values.get(RetryExtraSetting),
          fromSeconds(Values.get(RetryWindowSetting))};
}

/// Returns the most memory for answers that are held. A string that grows takes
/// up to three times its size for a moment.
std::size_t answerCapacity(std::size_t MemoryBytes) {
  /// An eighth of the memory of the smallest hosts.
  constexpr std::size_t Default = 20UL * 1024 * 1024;
  return MemoryBytes > 0 ? std::min(Default, MemoryBytes / 8) : Default;
}

/// Returns the most requests at endpoints; 0 if the descriptors are not known.
std::size_t sendLimitOf(const settings::Settings &Values) {
  const std::int64_t Descriptors = Values.get(DescriptorsSetting);
  return Descriptors > 0
             ? serving::sendsWithin(static_cast<std::size_t>(Descriptors))
             : 0;
}

} // namespace

Instant bootTime() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return Instant(std::chrono::seconds(Time.tv_sec) +
                 std::chrono::nanoseconds(Time.tv_nsec));
}

HostState::HostState(boost::asio::io_context &Context,
                     const settings::Settings &Values,
                     log::ProcessIdentity Identity, Platform Adapter)
    : m_Context(Context), m_Settings(Values), m_Identity(std::move(Identity)),
      m_Zone(m_Identity.m_Zone), m_Platform(std::move(Adapter)),
      m_Http(Context.get_executor()),
      m_AnswerMemory(answerCapacity(memoryOf(Values))),
      m_ClientMemory(memoryOf(Values) / 4), m_SendLimit(sendLimitOf(Values)),
      m_Links(Context, m_Http, *m_Platform.m_Health, m_Endpoints, m_Catalogue,
              m_Metrics),
      m_Chooser(m_Zone, std::random_device{}()),
      m_RateLimits(std::random_device{}()),
      m_RejectionLimits(std::random_device{}()),
      m_Admission(m_Endpoints, m_Chooser, m_RejectionLimits,
                  [this](const std::string &Service) {
                    return budget(Service).allows(now());
                  }),
      m_Crashes(m_Platform.m_Store, m_StoreStatus, m_Metrics),
      m_OwnDemand(serving::DemandRates::DefaultTimeConstant) {
  m_RateLimits.setHosts(m_Hosts);
  m_RejectionLimits.setHosts(m_Hosts);
  m_Links.onChange([this] { onLinksChanged(); });
  m_Links.onNotice([this](const EndpointId &Id,
                          const serving::RegistrationVersion &Asked,
                          const EndpointNotice &Notice) {
    onNotice(Id, Asked, Notice, "health_check");
  });
}

void HostState::onLinksChanged() {
  if (m_Links.isIsolated())
    m_Crashes.onLinksLost();
  else
    // What was learned of endpoints meanwhile was true of this host only.
    m_Chooser.health().clear();
  m_Changed.notifyAll();
}

serving::SharedRetryBudget &HostState::budget(const std::string &Service) {
  const auto Found = m_Budgets.find(Service);
  if (Found != m_Budgets.end())
    return Found->second;
  serving::SharedRetryBudget Created(retryBounds(m_Settings), m_StartedAt);
  Created.setHosts(m_Hosts);
  return m_Budgets.emplace(Service, Created).first->second;
}

void HostState::setHosts(std::size_t Hosts) {
  m_Hosts = Hosts;
  for (auto &[Service, Budget] : m_Budgets)
    Budget.setHosts(Hosts);
  m_RateLimits.setHosts(Hosts);
  m_RejectionLimits.setHosts(Hosts);
}

void HostState::onAddressReused(const EndpointId &Id,
                                const serving::RegistrationVersion &Version) {
  if (!m_Endpoints.onAddressReused(Id, Version))
    return;
  m_Metrics.onRemoval("address_reused");
  log::info(log::Category::Membership, "endpoint.address_reused",
            {{"endpoint", Id},
             {"started_at_ms", Version.m_StartedAtMs},
             {"heartbeat", Version.m_Heartbeat},
             {"registrations_age_ms", endpointsAge().count()}});
  m_Changed.notifyAll();
}

void HostState::onNotice(const EndpointId &Id,
                         const serving::RegistrationVersion &Asked,
                         const EndpointNotice &Notice, std::string_view Source,
                         std::string_view Request) {
  if (Notice.isEmpty())
    return;
  for (const auto &[IsGiven, Kind] :
       {std::pair(Notice.m_IsLeaving, "leaving"),
        std::pair(Notice.m_RetryAfter.has_value(), "turned_away"),
        std::pair(Notice.m_IsUnreadable, "unreadable")})
    if (IsGiven)
      m_Metrics.onEndpointNotice(Kind);
  bool IsNews = Notice.m_IsLeaving && onLeaving(Id, Asked);
  if (Notice.m_RetryAfter)
    IsNews |= m_Backoff.onTurnedAway(Id, {Asked.m_StartedAtMs},
                                     *Notice.m_RetryAfter, now());
  // An endpoint that leaves says so in each answer.
  if (!IsNews && !Notice.m_IsUnreadable)
    return;
  log::request(
      log::Category::Membership, "endpoint.notice", Request, {},
      {{"endpoint", Id},
       {"source", Source},
       {"leaving", Notice.m_IsLeaving},
       {"retry_after_s", Notice.m_RetryAfter
                             ? nlohmann::json(toSeconds(*Notice.m_RetryAfter))
                             : nlohmann::json()},
       {"unreadable", Notice.m_IsUnreadable},
       {"started_at_ms", Asked.m_StartedAtMs},
       {"registrations_age_ms", endpointsAge().count()}});
}

bool HostState::onLeaving(const EndpointId &Id,
                          const serving::RegistrationVersion &Asked) {
  if (!m_Endpoints.onLeaving(Id, {Asked.m_StartedAtMs}, now()))
    return false;
  m_Metrics.onRemoval("said_to_leave");
  m_Changed.notifyAll();
  return true;
}

serving::RegistrationVersion
HostState::registrationOf(const EndpointId &Id) const {
  const serving::Endpoint *Known = m_Endpoints.find(Id);
  return Known ? Known->m_Registration.version()
               : serving::RegistrationVersion();
}

void HostState::forgetEndpoint(const EndpointId &Id) {
  m_Chooser.forget(Id);
  m_RateLimits.forget(Id);
  m_RejectionLimits.forget(Id);
  m_Admission.forget(Id);
  m_Metrics.setLimitedEndpoints(m_RateLimits.limitedEndpoints());
  m_Metrics.setRejectionLimitedEndpoints(m_RejectionLimits.limitedEndpoints());
}

Task<void> HostState::attributeLosses(EndpointId Id) {
  if (!m_Crashes.hasLostRequests(Id))
    co_return;
  const bool HasLostPaths = co_await m_Links.hasLostPaths(Id);
  const auto Remote = addressOf(Id);
  if (HasLostPaths || !Remote)
    co_return;
  // The path may have returned since the connection failed.
  const auto Failure = co_await m_Http.connect(*Remote, ConnectTimeout);
  if (Failure)
    m_Crashes.onEndpointDown(Id);
}

void HostState::preferUnlimited(
    std::vector<const serving::Endpoint *> &List) const {
  const auto IsLimited = [this](const serving::Endpoint *Item) {
    return m_RateLimits.isLimited(Item->id());
  };
  if (!std::ranges::all_of(List, IsLimited))
    std::erase_if(List, IsLimited);
}

bool HostState::isInUse(const EndpointId &Id) const {
  const serving::Endpoint *Found = m_Endpoints.find(Id);
  return Found && Found->acceptsRequests();
}

std::optional<http::Address> HostState::addressOf(const EndpointId &Id) const {
  const serving::Endpoint *Known = m_Endpoints.find(Id);
  return Known ? http::Address::parse(Known->m_Registration.m_Address)
               : std::nullopt;
}

std::optional<Duration> HostState::catalogueProofAge() const {
  if (!m_CatalogueConfirmedAt)
    return std::nullopt;
  return bootTime() - *m_CatalogueConfirmedAt;
}

tenants::CallerIdentity HostState::identifyCaller(const serving::Route &Route,
                                                  std::string_view Key) const {
  const tenants::RevocationPolicy Policy{
      m_Settings.get(RevocationFailsClosedSetting),
      m_Settings.get(RevocationTimeSetting)};
  return tenants::identifyCaller(*m_Catalogue, Route, Key, Policy,
                                 catalogueProofAge());
}

milliseconds HostState::ageOf(const std::optional<Instant> &ConfirmedAt) {
  return ConfirmedAt ? toMilliseconds(bootTime() - *ConfirmedAt)
                     : milliseconds(0);
}

void HostState::spawn(std::string TaskName, Task<void> Operation) {
  boost::asio::co_spawn(
      m_Context, std::move(Operation),
      [TaskName = std::move(TaskName)](const std::exception_ptr &Failure) {
        if (!Failure)
          return;
        try {
          std::rethrow_exception(Failure);
        } catch (const std::exception &Error) {
          log::error(log::Category::Process, "process.duty_failed",
                     {{"duty", TaskName}, {"detail", Error.what()}});
        }
      });
}

} // namespace sff::host
