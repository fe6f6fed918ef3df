#include "StandIns/Engine/RequestTable.h"

#include <algorithm>

namespace sff::standin {

namespace {

constexpr std::size_t ResumableRequests = 1000;

template <typename Items>
RequestTable::Item findNewest(const Items &Source,
                              const std::string &RequestId) {
  const auto Found =
      std::find_if(Source.rbegin(), Source.rend(), [&](const auto &Entry) {
        return Entry->m_Own.m_Source.m_RequestId == RequestId;
      });
  return Found == Source.rend() ? nullptr : *Found;
}

} // namespace

void RequestTable::end(const Item &Ended) {
  m_Active.remove(Ended);
  remember(Ended);
}

void RequestTable::remember(Item Ended) {
  m_Ended.push_back(std::move(Ended));
  if (m_Ended.size() > ResumableRequests)
    m_Ended.pop_front();
}

std::size_t RequestTable::cancel(const std::string &RequestId) {
  std::size_t Count = 0;
  for (const Item &Entry : m_Active)
    if (Entry->m_Own.m_Source.m_RequestId == RequestId) {
      Entry->m_Cancelled = true;
      ++Count;
    }
  return Count;
}

RequestTable::Item RequestTable::find(const std::string &RequestId) const {
  if (auto Active = findNewest(m_Active, RequestId))
    return Active;
  return findNewest(m_Ended, RequestId);
}

nlohmann::json RequestTable::describe() const {
  nlohmann::json List = nlohmann::json::array();
  for (const Item &Entry : m_Active)
    List.push_back({{"request_id", Entry->m_Own.m_Source.m_RequestId},
                    {"attempt_id", Entry->m_Own.m_AttemptId},
                    {"model", Entry->m_Own.m_Source.m_Model},
                    {"router", Entry->m_Router},
                    {"bytes", Entry->m_Bytes},
                    {"state", Entry->m_InBatch ? "running" : "queued"},
                    {"tokens", Entry->m_TokensDone}});
  return List;
}

} // namespace sff::standin
