#include "Host/StoreFollower.h"

#include "Core/Serving/StoreReadTimes.h"

#include <algorithm>

namespace sff::host {

namespace {

constexpr milliseconds RetryDelay{300};
/// Delay between reads of the catalogue that are answered while those of the
/// registrations are not. Below the time to apply a catalogue.
constexpr milliseconds PartialOutageDelay{1000};
/// Longest wait for a connection to an endpoint that vanished.
constexpr milliseconds ProbeTimeout{300};

constexpr auto LogCategory = log::Category::Platform;

std::string_view toString(HealthStatus Status) {
  switch (Status) {
  case HealthStatus::Serving:
    return "serving";
  case HealthStatus::NotServing:
    return "not_serving";
  case HealthStatus::NoAnswer:
    return "no_answer";
  case HealthStatus::Broken:
    return "broken";
  }
  return "";
}

std::string_view toString(serving::RegistrationEffect Effect) {
  switch (Effect) {
  case serving::RegistrationEffect::Stale:
    return "stale";
  case serving::RegistrationEffect::Refreshed:
    return "refreshed";
  case serving::RegistrationEffect::Changed:
    return "changed";
  case serving::RegistrationEffect::Added:
    return "added";
  case serving::RegistrationEffect::Restarted:
    return "restarted";
  }
  return "";
}

} // namespace

void StoreFollower::start() {
  m_State.m_Platform.m_Store->onRestored([this] { onStoreRestored(); });
  m_State.spawn("follow_catalogue", followCatalogue());
  m_State.spawn("follow_endpoints", followEndpoints());
}

void StoreFollower::setReachable(bool Reachable) {
  if (Reachable == m_State.m_StoreStatus.isReachable())
    return;
  const nlohmann::json Ages = {
      {"catalogue_age_ms", m_State.catalogueAge().count()},
      {"endpoints_age_ms", m_State.endpointsAge().count()}};
  if (Reachable) {
    m_State.m_Endpoints.onRegistryRestored(now());
    log::info(LogCategory, "store.regained", Ages);
    m_State.m_StoreStatus.setReachable(true);
    m_State.spawn("expire_endpoints", expireEndpoints());
    return;
  }
  m_State.m_StoreStatus.setReachable(false);
  m_State.m_Endpoints.onRegistryUnavailable();
  log::warning(LogCategory, "store.lost", Ages);
  // A call that was sent during the outage may hang even after its end.
  m_State.m_Platform.m_Store->cancelPendingCalls();
}

void StoreFollower::onStoreRestored() {
  m_State.m_Metrics.onStoreRestored();
  m_State.m_Endpoints.onRegistryUnavailable();
  m_State.m_Endpoints.onRegistryRestored(now());
  m_State.spawn("expire_endpoints", expireEndpoints());
}

void StoreFollower::applyCatalogue(
    const std::shared_ptr<const serving::Catalogue> &Newest) {
  if (!Newest)
    return;
  const std::int64_t Known =
      m_State.m_Catalogue ? m_State.m_Catalogue->m_Version : -1;
  if (Newest->m_Version <= Known)
    return;
  m_State.m_Catalogue = Newest;
  m_State.m_Metrics.setCatalogueVersion(Newest->m_Version);
  log::info(log::Category::Catalogue, "catalogue.adopted",
            {{"version", Newest->m_Version},
             {"previous", Known},
             {"routes", Newest->m_Routes.size()}});
  m_State.m_Changed.notifyAll();
}

milliseconds StoreFollower::maxCatalogueWait() const {
  const settings::Settings &Values = m_State.m_Settings;
  const milliseconds Wait =
      serving::catalogueWait(Values.get(CatalogueApplySetting));
  const bool NeedsProof = m_State.m_Catalogue &&
                          !m_State.m_Catalogue->m_Tenants.empty() &&
                          Values.get(RevocationFailsClosedSetting);
  return NeedsProof
             ? std::min(Wait,
                        serving::proofWait(Values.get(RevocationTimeSetting)))
             : Wait;
}

Task<CatalogueBatch>
StoreFollower::readCatalogue(std::optional<Cursor> Position) {
  if (!Position)
    co_return co_await m_State.m_Platform.m_Store->listCatalogue();
  const milliseconds Wait = m_Queries.readWait(maxCatalogueWait());
  co_return co_await m_State.m_Platform.m_Store->followCatalogue(
      *Position, m_State.m_StoreStatus.isReachable() ? Wait : milliseconds(0));
}

Task<void> StoreFollower::followCatalogue() {
  std::optional<Cursor> Position;
  serving::CallBackoff Backoff(RetryDelay);
  while (true) {
    if (Position) {
      const auto Confirmed =
          co_await m_Queries.confirm(FollowedLog::Catalogue, *Position);
      if (Confirmed) {
        if (!m_NewestIsUnreadable)
          m_State.m_CatalogueConfirmedAt = *Confirmed;
        continue;
      }
    }
    const Instant SentAt = bootTime();
    const CatalogueBatch Batch = co_await readCatalogue(Position);
    m_State.m_Metrics.onStoreCall("catalogue",
                                  Batch.m_Status != FollowStatus::Unreachable);
    m_State.m_Metrics.onUnreadableRecords(Batch.m_MalformedRecords);
    if (Batch.m_Status == FollowStatus::Unreachable) {
      co_await m_State.m_StoreStatus.waitToRepeat(Backoff);
      continue;
    }
    Backoff.onAnswer();
    if (Batch.m_Status == FollowStatus::HistoryCompacted) {
      Position.reset();
      continue;
    }
    // A record that cannot be read may revoke a key.
    if (Batch.m_Newest || Batch.m_MalformedRecords > 0)
      m_NewestIsUnreadable = !Batch.m_Newest;
    if (!m_NewestIsUnreadable)
      m_State.m_CatalogueConfirmedAt = SentAt;
    applyCatalogue(Batch.m_Newest);
    Position = Batch.m_Next;
    m_Queries.onRead(FollowedLog::Catalogue, *Position, SentAt);
    // No catalogue has been published yet: read again after a delay.
    if (!m_State.m_Catalogue)
      co_await sleepFor(RetryDelay);
    // The read did not wait for a newer catalogue.
    if (!m_State.m_StoreStatus.isReachable())
      co_await m_State.m_StoreStatus.waitForReturn(PartialOutageDelay);
  }
}

void StoreFollower::applyRegistration(const serving::Registration &Item) {
  const auto Effect = m_State.m_Endpoints.apply(Item, now());
  if (Effect == serving::RegistrationEffect::Refreshed)
    return;
  if (Effect == serving::RegistrationEffect::Restarted) {
    m_State.m_Crashes.onEndpointDown(Item.m_Id);
    m_State.forgetEndpoint(Item.m_Id);
  }
  log::info(log::Category::Membership, "endpoint.registration",
            {{"endpoint", Item.m_Id},
             {"effect", toString(Effect)},
             {"service", Item.m_Service},
             {"software", Item.m_SoftwareVersion},
             {"draining", Item.m_Draining},
             {"heartbeat", Item.m_Heartbeat},
             {"models", Item.m_Inventory.m_Models.size()}});
}

void StoreFollower::applyRemoval(const EndpointId &Id) {
  if (!m_State.m_Endpoints.find(Id))
    return;
  if (const auto Gone = m_State.m_Endpoints.remove(Id, now())) {
    m_State.m_Metrics.onRemoval("immediate");
    onGone(*Gone);
    return;
  }
  m_State.m_Metrics.onRemoval("delayed");
  log::info(log::Category::Membership, "endpoint.removal_delayed",
            {{"endpoint", Id}});
}

void StoreFollower::verifyRemovals() {
  for (const EndpointId &Id : m_State.m_Endpoints.unconfirmedRemovals())
    m_State.spawn("verify_removal", verifyRemoval(Id));
}

Task<void> StoreFollower::verifyRemoval(EndpointId Id) {
  const auto Remote = m_State.addressOf(Id);
  const serving::Endpoint *Known = m_State.m_Endpoints.find(Id);
  if (!Remote || !Known || !m_State.m_Catalogue)
    co_return;
  const serving::Service *Service =
      m_State.m_Catalogue->findService(Known->m_Registration.m_Service);
  const serving::RegistrationVersion Asked = Known->m_Registration.version();
  HealthAnswer Answer;
  if (Service && !Service->m_HealthPath.empty())
    Answer = co_await m_State.m_Platform.m_Health->check(*Remote, Id,
                                                         Service->m_HealthPath);
  log::info(log::Category::Membership, "endpoint.removal_checked",
            {{"endpoint", Id}, {"health", toString(Answer.m_Status)}});
  m_State.onNotice(Id, Asked, Answer.m_Notice, "health_check");
  if (Answer.m_Status == HealthStatus::Serving)
    co_return;
  if (const auto Gone = m_State.m_Endpoints.confirmRemoval(Id, now())) {
    m_State.m_Metrics.onRemoval("confirmed");
    onGone(*Gone);
    onDirectoryChanged();
  }
}

Task<void> StoreFollower::expireEndpoints() {
  co_await sleepFor(serving::EndpointDirectory::ExpiryGracePeriod);
  // Endpoints cannot register while the store is away again.
  if (!m_State.m_StoreStatus.isReachable())
    co_return;
  for (const auto &Gone : m_State.m_Endpoints.expire(now())) {
    m_State.m_Metrics.onRemoval("expired");
    onGone(Gone);
  }
  onDirectoryChanged();
}

void StoreFollower::onDirectoryChanged() {
  m_Streams.onDirectoryChanged();
  m_State.m_Metrics.setEndpoints(m_State.m_Endpoints.all().size());
  m_State.m_Changed.notifyAll();
}

void StoreFollower::onGone(const serving::Endpoint &Gone) {
  const serving::Registration &Last = Gone.m_Registration;
  log::info(log::Category::Membership, "endpoint.removed",
            {{"endpoint", Last.m_Id},
             {"draining", Last.m_Draining},
             {"heartbeat", Last.m_Heartbeat}});
  m_State.forgetEndpoint(Last.m_Id);
  if (Last.m_Draining)
    return;
  m_State.m_Crashes.onEndpointDown(Last.m_Id);
  if (!m_State.m_Crashes.hasRunningRequests(Last.m_Id))
    return;
  const auto Remote = http::Address::parse(Last.m_Address);
  if (!Remote || isAddressReused(Last.m_Address))
    m_State.m_Crashes.onEndpointCrashed(Last.m_Id);
  else
    m_State.spawn("probe_gone", probeGone(Last.m_Id, *Remote));
}

bool StoreFollower::isAddressReused(const std::string &Address) const {
  return std::ranges::any_of(
      m_State.m_Endpoints.all(), [&Address](const auto &Entry) {
        return Entry.second.m_Registration.m_Address == Address;
      });
}

Task<void> StoreFollower::probeGone(EndpointId Id, http::Address Remote) {
  const auto Failure = co_await m_State.m_Http.connect(Remote, ProbeTimeout);
  if (!Failure)
    co_return;
  log::info(log::Category::Membership, "endpoint.probe_failed",
            {{"endpoint", Id}, {"detail", Failure->m_Detail}});
  const bool HasLinks = co_await m_State.m_Links.hasLinks();
  if (HasLinks)
    m_State.m_Crashes.onEndpointCrashed(Id);
}

void StoreFollower::apply(const EndpointBatch &Batch, bool WholeListing) {
  std::set<EndpointId> Present;
  for (const EndpointChange &Change : Batch.m_Changes) {
    if (!Change.m_Registration) {
      applyRemoval(Change.m_Id);
      continue;
    }
    Present.insert(Change.m_Id);
    applyRegistration(*Change.m_Registration);
  }
  if (WholeListing) {
    for (const auto &Gone : m_State.m_Endpoints.retain(Present, now()))
      onGone(Gone);
    m_State.m_EndpointsKnown = true;
  }
  verifyRemovals();
  onDirectoryChanged();
}

Task<void> StoreFollower::followEndpoints() {
  std::optional<Cursor> Position;
  serving::CallBackoff Backoff(RetryDelay);
  while (true) {
    const bool WholeListing = !Position;
    // An answer may be processed long after the store has made it: while this
    // host stood still, or the network held it back.
    const Instant SentAt = bootTime();
    EndpointBatch Batch;
    if (Position)
      Batch = co_await m_State.m_Platform.m_Store->followEndpoints(
          *Position, serving::MaxRegistrationsWait);
    else
      Batch = co_await m_State.m_Platform.m_Store->listEndpoints();
    const bool Answered = Batch.m_Status != FollowStatus::Unreachable;
    m_State.m_Metrics.onStoreCall("endpoints", Answered);
    m_State.m_Metrics.onUnreadableRecords(Batch.m_MalformedRecords);
    setReachable(Answered);
    if (!Answered) {
      co_await sleepFor(m_State.m_StoreStatus.registrationsDelay(Backoff));
      continue;
    }
    Backoff.onAnswer();
    if (Batch.m_Status == FollowStatus::HistoryCompacted) {
      Position.reset();
      continue;
    }
    m_State.m_EndpointsConfirmedAt = SentAt;
    apply(Batch, WholeListing);
    Position = Batch.m_Next;
    co_await sleepFor(serving::registrationsInterval(
        m_State.m_Settings.get(DrainTimeSetting),
        !m_State.m_Endpoints.unconfirmedRemovals().empty()));
  }
}

} // namespace sff::host
