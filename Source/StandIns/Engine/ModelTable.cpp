#include "StandIns/Engine/ModelTable.h"

#include <algorithm>

namespace sff::standin {

void AcceleratorMemory::add(std::int64_t Bytes) {
  m_UsedBytes += Bytes;
  m_HighWaterBytes = std::max(m_HighWaterBytes, m_UsedBytes);
  if (m_UsedBytes > m_CapacityBytes)
    ++m_OvercommitCount;
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
    return Item.second.m_Order.m_BaseModel == Base;
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
                    {"base", Item.m_Order.m_BaseModel},
                    {"requests", Item.m_ActiveRequests}});
  return List;
}

} // namespace sff::standin
