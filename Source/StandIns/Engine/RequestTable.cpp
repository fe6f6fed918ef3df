#include "StandIns/Engine/RequestTable.h"

#include <algorithm>

namespace sff::standin {

namespace {

constexpr std::size_t ResumableRequests = 1000;

template <typename Items>
RequestTable::AttemptPtr findNewest(const Items &Source,
                                    const std::string &RequestId) {
  const auto Found =
      std::find_if(Source.rbegin(), Source.rend(), [&](const auto &Entry) {
        return Entry->m_Identity.m_Source.m_RequestId == RequestId;
      });
  return Found == Source.rend() ? nullptr : *Found;
}

} // namespace

void RequestTable::finish(const AttemptPtr &Ended) {
  m_Active.remove(Ended);
  addEnded(Ended);
}

void RequestTable::addEnded(AttemptPtr Ended) {
  m_Ended.push_back(std::move(Ended));
  if (m_Ended.size() > ResumableRequests)
    m_Ended.pop_front();
}

std::size_t RequestTable::cancel(const std::string &RequestId) {
  std::size_t Count = 0;
  for (const AttemptPtr &Entry : m_Active)
    if (Entry->m_Identity.m_Source.m_RequestId == RequestId) {
      Entry->m_Cancelled = true;
      ++Count;
    }
  return Count;
}

RequestTable::AttemptPtr
RequestTable::find(const std::string &RequestId) const {
  if (auto Active = findNewest(m_Active, RequestId))
    return Active;
  return findNewest(m_Ended, RequestId);
}

nlohmann::json RequestTable::describe() const {
  nlohmann::json List = nlohmann::json::array();
  for (const AttemptPtr &Entry : m_Active)
    List.push_back({{"request_id", Entry->m_Identity.m_Source.m_RequestId},
                    {"attempt_id", Entry->m_Identity.m_AttemptId},
                    {"model", Entry->m_Identity.m_Source.m_Model},
                    {"router", Entry->m_RouterIncarnation},
                    {"bytes", Entry->m_KvCacheBytes},
                    {"state", Entry->m_InBatch ? "running" : "queued"},
                    {"tokens", Entry->m_GeneratedTokens}});
  return List;
}

} // namespace sff::standin
