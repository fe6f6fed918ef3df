#include "Router/OutcomeStore.h"

namespace sff::router {

void OutcomeStore::onStarted(const std::string &KeyHash) {
  m_Items[KeyHash].m_Outcome = messages::StoredOutcome::Running;
}

void OutcomeStore::onAnswered(const std::string &KeyHash,
                              const execution::Answered &Value) {
  remove(KeyHash);
  m_Items[KeyHash] = {messages::StoredOutcome::Answered, Value.m_Status,
                      Value.m_ContentType, Value.m_Body};
  m_Bytes += Value.m_Body.size();
  m_Finished.push_back(KeyHash);
  evict();
}

void OutcomeStore::remove(const std::string &KeyHash) {
  const auto It = m_Items.find(KeyHash);
  if (It == m_Items.end())
    return;
  m_Bytes -= It->second.m_Body.size();
  m_Items.erase(It);
  std::erase(m_Finished, KeyHash);
}

messages::FetchOutcomeReply
OutcomeStore::find(const std::string &KeyHash) const {
  const auto It = m_Items.find(KeyHash);
  return It == m_Items.end() ? messages::FetchOutcomeReply() : It->second;
}

void OutcomeStore::evict() {
  while (!m_Finished.empty() &&
         (m_Finished.size() > m_MaxAnswers || m_Bytes > m_MaxBytes)) {
    const std::string Oldest = m_Finished.front();
    remove(Oldest);
  }
}

} // namespace sff::router
