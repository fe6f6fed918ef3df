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

bool Inventory::holds(const ModelName &Name) const {
  const ResidentModel *Model = find(Name.m_Model);
  return Model &&
         (Name.m_Adapter.empty() || Model->m_Adapters.contains(Name.m_Adapter));
}

void Inventory::note(const ModelName &Name, bool IsHeld) {
  const auto Model =
      std::ranges::find(m_Models, Name.m_Model, &ResidentModel::m_Name);
  if (Model == m_Models.end()) {
    // An adapter alone does not show that its model is still there.
    if (IsHeld && Name.m_Adapter.empty())
      m_Models.push_back({Name.m_Model, 0, {}});
    return;
  }
  if (Name.m_Adapter.empty()) {
    if (!IsHeld)
      m_Models.erase(Model);
    return;
  }
  if (IsHeld)
    Model->m_Adapters.insert(Name.m_Adapter);
  else
    Model->m_Adapters.erase(Name.m_Adapter);
}

bool EndpointDirectory::isLeaving(const Endpoint &Item, Instant Now) const {
  return Item.m_Registered.m_Draining ||
         m_Releases.isReplacing(Item.m_Registered.m_Service, Item.m_AddedAt,
                                Now);
}

RegistrationEffect EndpointDirectory::apply(Registration Item, Instant Now) {
  const auto Found = m_Endpoints.find(Item.m_Id);
  if (Found == m_Endpoints.end()) {
    m_Releases.onAdded(Item.m_Service, Now);
    EndpointId Id = Item.m_Id;
    m_Endpoints.emplace(std::move(Id), Endpoint{std::move(Item), {}, Now});
    return RegistrationEffect::Added;
  }
  Endpoint &Known = Found->second;
  const RegistrationEffect Effect = compare(Known.m_Registered, Item);
  if (Effect == RegistrationEffect::Stale)
    return Effect;
  if (Effect == RegistrationEffect::Restarted)
    m_Notes.erase(Item.m_Id);
  applyNotes(Item, Now);
  // An endpoint that leaves does not come back to work.
  if (Effect != RegistrationEffect::Restarted)
    Item.m_Draining = Item.m_Draining || Known.m_Registered.m_Draining;
  if (Item.m_Draining && !Known.m_Registered.m_Draining)
    m_Releases.onLeaving(Item.m_Service, Now);
  Known = Endpoint{std::move(Item), {}, Known.m_AddedAt};
  return Effect;
}

bool EndpointDirectory::isRegistryDoubtful(Instant Now) const {
  return m_RegistryLost || (m_RegainedAt && Now < *m_RegainedAt + LapseGrace);
}

bool EndpointDirectory::remove(const EndpointId &Id, Instant Now) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return false;
  Endpoint &Known = Found->second;
  if (Known.m_Registered.m_Draining || !isRegistryDoubtful(Now)) {
    m_Releases.onLeaving(Known.m_Registered.m_Service, Now);
    m_Endpoints.erase(Found);
    m_Notes.erase(Id);
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

void EndpointDirectory::onRegistryLost() { m_RegistryLost = true; }

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

void EndpointDirectory::note(const EndpointId &Id, const ModelName &Name,
                             bool IsHeld, Instant Now) {
  const auto Found = m_Endpoints.find(Id);
  if (Found == m_Endpoints.end())
    return;
  m_Notes[Id][Name] = {IsHeld, Now + NoteValidity};
  Found->second.m_Registered.m_Inventory.note(Name, IsHeld);
}

void EndpointDirectory::applyNotes(Registration &Item, Instant Now) {
  const auto Found = m_Notes.find(Item.m_Id);
  if (Found == m_Notes.end())
    return;
  std::erase_if(Found->second, [Now](const auto &Known) {
    return Known.second.m_ValidUntil <= Now;
  });
  // Models come before their adapters in the order of names.
  for (const auto &[Name, Known] : Found->second)
    Item.m_Inventory.note(Name, Known.m_Held);
}

void EndpointDirectory::noteHeld(const EndpointId &Id, const ModelName &Name,
                                 Instant Now) {
  note(Id, Name, true, Now);
}

void EndpointDirectory::noteMissing(const EndpointId &Id, const ModelName &Name,
                                    Instant Now) {
  note(Id, Name, false, Now);
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
