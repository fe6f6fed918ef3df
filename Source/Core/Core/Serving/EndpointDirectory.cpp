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

RegistrationEffect compare(const Registration &Known,
                           const Registration &Item) {
  if (Item.m_Incarnation < Known.m_Incarnation)
    return RegistrationEffect::Stale;
  if (Known.m_Incarnation < Item.m_Incarnation)
    return RegistrationEffect::Restarted;
  if (Item.m_Heartbeat < Known.m_Heartbeat)
    return RegistrationEffect::Stale;
  const bool Same = Item.m_Draining == Known.m_Draining &&
                    Item.m_Address == Known.m_Address &&
                    sameModels(Item.m_Inventory, Known.m_Inventory);
  return Same ? RegistrationEffect::Refreshed : RegistrationEffect::Changed;
}

} // namespace

const ResidentModel *Inventory::find(std::string_view Model) const {
  for (const ResidentModel &Item : m_Models)
    if (Item.m_Name == Model)
      return &Item;
  return nullptr;
}

RegistrationEffect EndpointDirectory::apply(Registration Item, Instant) {
  const auto Found = m_Endpoints.find(Item.m_Id);
  if (Found == m_Endpoints.end()) {
    EndpointId Id = Item.m_Id;
    m_Endpoints.emplace(std::move(Id), Endpoint{std::move(Item), {}});
    return RegistrationEffect::Added;
  }
  Endpoint &Known = Found->second;
  const RegistrationEffect Effect = compare(Known.m_Registered, Item);
  if (Effect == RegistrationEffect::Stale)
    return Effect;
  // An endpoint that leaves does not come back to work.
  if (Effect != RegistrationEffect::Restarted)
    Item.m_Draining = Item.m_Draining || Known.m_Registered.m_Draining;
  Known = Endpoint{std::move(Item), {}};
  return Effect;
}

bool EndpointDirectory::isRegistryDoubtful(Instant Now) const {
  return m_RegistryLost ||
         (m_RegainedAt && Now < *m_RegainedAt + LapseGrace);
}

bool EndpointDirectory::remove(const EndpointId &Id, Instant Now) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return false;
  Endpoint &Known = Found->second;
  if (Known.m_Registered.m_Draining || !isRegistryDoubtful(Now)) {
    m_Endpoints.erase(Found);
    return true;
  }
  if (!Known.m_GoneAt)
    Known.m_GoneAt =
        m_RegistryLost ? Instant::max() : *m_RegainedAt + LapseGrace;
  return false;
}

void EndpointDirectory::retain(const std::set<EndpointId> &Present,
                               Instant Now) {
  std::vector<EndpointId> Missing;
  for (const auto &[Id, Known] : m_Endpoints)
    if (!Present.contains(Id))
      Missing.push_back(Id);
  for (const EndpointId &Id : Missing)
    remove(Id, Now);
}

void EndpointDirectory::onRegistryLost(Instant) { m_RegistryLost = true; }

void EndpointDirectory::onRegistryRegained(Instant Now) {
  if (!m_RegistryLost)
    return;
  m_RegistryLost = false;
  m_RegainedAt = Now;
  for (auto &[Id, Known] : m_Endpoints)
    if (Known.m_GoneAt)
      Known.m_GoneAt = Now + LapseGrace;
}

void EndpointDirectory::expire(Instant Now) {
  std::erase_if(m_Endpoints, [Now](const auto &Item) {
    return Item.second.m_GoneAt && *Item.second.m_GoneAt <= Now;
  });
}

ResidentModel *EndpointDirectory::resident(const EndpointId &Id,
                                           std::string_view Model) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return nullptr;
  for (ResidentModel &Item :
       Found->second.m_Registered.m_Inventory.m_Models)
    if (Item.m_Name == Model)
      return &Item;
  return nullptr;
}

void EndpointDirectory::noteAdapter(const EndpointId &Id,
                                    const ModelName &Name) {
  if (ResidentModel *Model = resident(Id, Name.m_Model))
    Model->m_Adapters.insert(Name.m_Adapter);
}

void EndpointDirectory::noteMissing(const EndpointId &Id,
                                    const ModelName &Name) {
  ResidentModel *Model = resident(Id, Name.m_Model);
  if (!Model)
    return;
  if (!Name.m_Adapter.empty() && Model->m_Adapters.erase(Name.m_Adapter) > 0)
    return;
  auto &Models = m_Endpoints[Id].m_Registered.m_Inventory.m_Models;
  std::erase_if(Models, [&Name](const ResidentModel &Item) {
    return Item.m_Name == Name.m_Model;
  });
}

void EndpointDirectory::noteModel(const EndpointId &Id,
                                  std::string_view Model) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end() || resident(Id, Model))
    return;
  Found->second.m_Registered.m_Inventory.m_Models.push_back(
      {std::string(Model), 0, {}});
}

const Endpoint *EndpointDirectory::find(const EndpointId &Id) const {
  const auto Found = m_Endpoints.find(Id);
  return Found == m_Endpoints.end() ? nullptr : &Found->second;
}

std::vector<const Endpoint *>
EndpointDirectory::serving(std::string_view Service) const {
  std::vector<const Endpoint *> Result;
  for (const auto &[Id, Known] : m_Endpoints)
    if (Known.takesWork() && Known.m_Registered.m_Service == Service)
      Result.push_back(&Known);
  return Result;
}

} // namespace sff::serving
