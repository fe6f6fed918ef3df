#include "Core/Serving/EndpointDirectory.h"

#include <algorithm>

namespace sff::serving {

namespace {

bool sameModels(const Inventory &Left, const Inventory &Right) {
  return std::ranges::equal(
      Left.m_Models, Right.m_Models,
      [](const ResidentModel &First, const ResidentModel &Second) {
        return First.m_Name == Second.m_Name &&
               First.m_Version == Second.m_Version &&
               First.m_Adapters == Second.m_Adapters;
      });
}

RegistrationEffect compare(const Registration &Existing,
                           const Registration &Incoming) {
  if (Incoming.m_Incarnation < Existing.m_Incarnation)
    return RegistrationEffect::Stale;
  if (Existing.m_Incarnation < Incoming.m_Incarnation)
    return RegistrationEffect::Restarted;
  if (Incoming.m_Heartbeat < Existing.m_Heartbeat)
    return RegistrationEffect::Stale;
  const bool Unchanged = Incoming.m_Draining == Existing.m_Draining &&
                         Incoming.m_Address == Existing.m_Address &&
                         sameModels(Incoming.m_Inventory, Existing.m_Inventory);
  return Unchanged ? RegistrationEffect::Refreshed
                   : RegistrationEffect::Changed;
}

} // namespace

const ResidentModel *Inventory::find(std::string_view Model) const {
  for (const ResidentModel &Entry : m_Models)
    if (Entry.m_Name == Model)
      return &Entry;
  return nullptr;
}

bool Inventory::holds(const ModelName &Name) const {
  const ResidentModel *Model = find(Name.m_Model);
  return Model &&
         (Name.m_Adapter.empty() || Model->m_Adapters.contains(Name.m_Adapter));
}

void Inventory::setLoaded(const ModelName &Name, bool IsLoaded) {
  const auto Model =
      std::ranges::find(m_Models, Name.m_Model, &ResidentModel::m_Name);
  if (Model == m_Models.end()) {
    // A loaded adapter does not imply that its model is still loaded.
    if (IsLoaded && Name.m_Adapter.empty())
      m_Models.push_back({Name.m_Model, 0, {}});
    return;
  }
  if (Name.m_Adapter.empty()) {
    if (!IsLoaded)
      m_Models.erase(Model);
    return;
  }
  if (IsLoaded)
    Model->m_Adapters.insert(Name.m_Adapter);
  else
    Model->m_Adapters.erase(Name.m_Adapter);
}

bool EndpointDirectory::isLeaving(const Endpoint &Candidate,
                                  Instant Now) const {
  return Candidate.m_Registration.m_Draining ||
         m_RolloutDetector.isBeingReplaced(Candidate.m_Registration.m_Service,
                                           Candidate.m_AddedAt, Now);
}

RegistrationEffect EndpointDirectory::apply(Registration Incoming,
                                            Instant Now) {
  // The registry may list an endpoint as active after it has said otherwise.
  Incoming.m_Draining = Incoming.m_Draining || hasSaidToLeave(Incoming);
  const auto Found = m_Endpoints.find(Incoming.m_Id);
  if (Found == m_Endpoints.end()) {
    m_RolloutDetector.onAdded(Incoming.m_Service, Now);
    EndpointId Id = Incoming.m_Id;
    m_Endpoints.emplace(std::move(Id),
                        Endpoint{std::move(Incoming), {}, Now, {}});
    return RegistrationEffect::Added;
  }
  Endpoint &Existing = Found->second;
  const RegistrationEffect Effect = compare(Existing.m_Registration, Incoming);
  if (Effect == RegistrationEffect::Stale)
    return Effect;
  if (Effect == RegistrationEffect::Restarted)
    m_Overrides.erase(Incoming.m_Id);
  applyOverrides(Incoming, Now);
  // An endpoint that has started draining does not become available again.
  if (Effect != RegistrationEffect::Restarted)
    Incoming.m_Draining =
        Incoming.m_Draining || Existing.m_Registration.m_Draining;
  if (Incoming.m_Draining && !Existing.m_Registration.m_Draining)
    m_RolloutDetector.onLeaving(Incoming.m_Service, Now);
  const bool WasVoid = Existing.isVoid();
  Existing = Endpoint{
      std::move(Incoming), {}, Existing.m_AddedAt, Existing.m_VoidUpTo};
  if (Effect == RegistrationEffect::Refreshed && WasVoid && !Existing.isVoid())
    return RegistrationEffect::Changed;
  return Effect;
}

bool EndpointDirectory::isRegistryStateUncertain(Instant Now) const {
  return m_RegistryUnavailable ||
         (m_RegistryRestoredAt &&
          Now < *m_RegistryRestoredAt + ExpiryGracePeriod);
}

std::optional<Endpoint> EndpointDirectory::remove(const EndpointId &Id,
                                                  Instant Now) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return std::nullopt;
  Endpoint &Existing = Found->second;
  if (Existing.m_Registration.m_Draining || !isRegistryStateUncertain(Now))
    return extract(Found, Now);
  if (!Existing.m_ExpiresAt)
    Existing.m_ExpiresAt = m_RegistryUnavailable
                               ? Instant::max()
                               : *m_RegistryRestoredAt + ExpiryGracePeriod;
  return std::nullopt;
}

Endpoint
EndpointDirectory::extract(std::map<EndpointId, Endpoint>::iterator Position,
                           Instant Now) {
  m_RolloutDetector.onLeaving(Position->second.m_Registration.m_Service, Now);
  m_Overrides.erase(Position->first);
  // A registry that is restored from an older copy may list it as active.
  const Registration &Last = Position->second.m_Registration;
  if (Last.m_Draining)
    m_Departures[Last.m_Id] = {Last.m_Incarnation, Now};
  return std::move(m_Endpoints.extract(Position).mapped());
}

std::vector<EndpointId> EndpointDirectory::unconfirmedRemovals() const {
  std::vector<EndpointId> Result;
  for (const auto &[Id, Existing] : m_Endpoints)
    if (Existing.m_ExpiresAt)
      Result.push_back(Id);
  return Result;
}

std::optional<Endpoint> EndpointDirectory::confirmRemoval(const EndpointId &Id,
                                                          Instant Now) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end() || !Found->second.m_ExpiresAt)
    return std::nullopt;
  return extract(Found, Now);
}

std::vector<Endpoint>
EndpointDirectory::retain(const std::set<EndpointId> &Present, Instant Now) {
  std::vector<EndpointId> Missing;
  for (const auto &[Id, Existing] : m_Endpoints)
    if (!Present.contains(Id))
      Missing.push_back(Id);
  std::vector<Endpoint> Removed;
  for (const EndpointId &Id : Missing)
    if (auto Gone = remove(Id, Now))
      Removed.push_back(std::move(*Gone));
  return Removed;
}

void EndpointDirectory::onRegistryUnavailable() {
  m_RegistryUnavailable = true;
}

void EndpointDirectory::onRegistryRestored(Instant Now) {
  if (!m_RegistryUnavailable)
    return;
  m_RegistryUnavailable = false;
  m_RegistryRestoredAt = Now;
  for (auto &[Id, Existing] : m_Endpoints)
    if (Existing.m_ExpiresAt)
      Existing.m_ExpiresAt = Now + ExpiryGracePeriod;
}

std::vector<Endpoint> EndpointDirectory::expire(Instant Now) {
  std::vector<Endpoint> Removed;
  std::erase_if(m_Endpoints, [&](const auto &Entry) {
    const auto &ExpiresAt = Entry.second.m_ExpiresAt;
    const bool IsExpired = ExpiresAt && *ExpiresAt <= Now;
    if (IsExpired)
      Removed.push_back(Entry.second);
    return IsExpired;
  });
  return Removed;
}

void EndpointDirectory::setLoaded(const EndpointId &Id, const ModelName &Name,
                                  bool IsLoaded, Instant Now) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return;
  m_Overrides[Id][Name] = {IsLoaded, Now + OverrideValidity};
  Found->second.m_Registration.m_Inventory.setLoaded(Name, IsLoaded);
}

void EndpointDirectory::applyOverrides(Registration &Incoming, Instant Now) {
  const auto Found = m_Overrides.find(Incoming.m_Id);
  if (Found == m_Overrides.end())
    return;
  std::erase_if(Found->second, [Now](const auto &Existing) {
    return Existing.second.m_ValidUntil <= Now;
  });
  // Overrides are sorted by name, so a model comes before its adapters.
  for (const auto &[Name, Existing] : Found->second)
    Incoming.m_Inventory.setLoaded(Name, Existing.m_IsLoaded);
}

void EndpointDirectory::overrideAsLoaded(const EndpointId &Id,
                                         const ModelName &Name, Instant Now) {
  setLoaded(Id, Name, true, Now);
}

void EndpointDirectory::overrideAsNotLoaded(const EndpointId &Id,
                                            const ModelName &Name,
                                            Instant Now) {
  setLoaded(Id, Name, false, Now);
}

bool EndpointDirectory::onAddressReused(const EndpointId &Id,
                                        const RegistrationVersion &Version) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return false;
  Endpoint &Existing = Found->second;
  const bool Accepted = Existing.acceptsRequests();
  Existing.m_VoidUpTo =
      std::max(Existing.m_VoidUpTo.value_or(Version), Version);
  return Accepted && !Existing.acceptsRequests();
}

std::map<EndpointId, RegistrationVersion>
EndpointDirectory::voidRegistrations(std::string_view Service) const {
  std::map<EndpointId, RegistrationVersion> Result;
  for (const auto &[Id, Existing] : m_Endpoints)
    if (Existing.isVoid() && Existing.m_Registration.m_Service == Service)
      Result.emplace(Id, *Existing.m_VoidUpTo);
  return Result;
}

bool EndpointDirectory::hasSaidToLeave(const Registration &Entry) const {
  const auto Found = m_Departures.find(Entry.m_Id);
  return Found != m_Departures.end() &&
         Entry.m_Incarnation <= Found->second.m_Process;
}

bool EndpointDirectory::onLeaving(const EndpointId &Id,
                                  const Incarnation &Leaving, Instant Now) {
  std::erase_if(m_Departures, [&](const auto &Entry) {
    return !m_Endpoints.contains(Entry.first) &&
           Now - Entry.second.m_NoticedAt > DepartureRetention;
  });
  Departure &Latest = m_Departures[Id];
  Latest.m_Process = std::max(Latest.m_Process, Leaving);
  Latest.m_NoticedAt = Now;
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return false;
  Endpoint &Existing = Found->second;
  if (!hasSaidToLeave(Existing.m_Registration))
    return false;
  const bool Accepted = Existing.acceptsRequests();
  if (!std::exchange(Existing.m_Registration.m_Draining, true))
    m_RolloutDetector.onLeaving(Existing.m_Registration.m_Service, Now);
  return Accepted;
}

std::map<EndpointId, RegistrationVersion>
EndpointDirectory::departures(std::string_view Service) const {
  std::map<EndpointId, RegistrationVersion> Result;
  for (const auto &[Id, Existing] : m_Endpoints)
    if (Existing.m_Registration.m_Service == Service &&
        hasSaidToLeave(Existing.m_Registration))
      Result.emplace(Id, Existing.m_Registration.version());
  return Result;
}

const Endpoint *EndpointDirectory::find(const EndpointId &Id) const {
  const auto Found = m_Endpoints.find(Id);
  return Found == m_Endpoints.end() ? nullptr : &Found->second;
}

std::vector<const Endpoint *>
EndpointDirectory::serving(std::string_view Service) const {
  std::vector<const Endpoint *> Result;
  for (const auto &[Id, Existing] : m_Endpoints)
    if (Existing.acceptsRequests() &&
        Existing.m_Registration.m_Service == Service)
      Result.push_back(&Existing);
  return Result;
}

} // namespace sff::serving
