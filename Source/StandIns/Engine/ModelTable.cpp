#include "StandIns/Engine/ModelTable.h"

#include <algorithm>

namespace sff::standin {

void AcceleratorMemory::add(std::int64_t Bytes) {
  m_Used += Bytes;
  m_HighWater = std::max(m_HighWater, m_Used);
  if (m_Used > m_Capacity)
    ++m_Overcommitted;
}

ModelTable::Entry *ModelTable::find(const std::string &Model) {
  const auto It = m_Entries.find(Model);
  return It == m_Entries.end() ? nullptr : &It->second;
}

ModelTable::Entry *ModelTable::findReady(const std::string &Model) {
  Entry *Found = find(Model);
  return Found && Found->m_Ready ? Found : nullptr;
}

bool ModelTable::hasAdapterOf(const std::string &Base) const {
  return std::ranges::any_of(m_Entries, [&Base](const auto &Item) {
    return Item.second.m_Order.m_Base == Base;
  });
}

nlohmann::json ModelTable::describe() const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Name, Item] : m_Entries)
    List.push_back({{"model", Name},
                    {"version", Item.m_Order.m_Version},
                    {"state", Item.m_Ready ? "ready" : "loading"},
                    {"bytes", Item.m_Order.m_Bytes},
                    {"bytes_per_token", Item.m_Order.m_BytesPerToken},
                    {"max_tokens", Item.m_Order.m_MaxTokens},
                    {"base", Item.m_Order.m_Base},
                    {"requests", Item.m_Requests}});
  return List;
}

} // namespace sff::standin
