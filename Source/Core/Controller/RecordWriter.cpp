#include "Controller/RecordWriter.h"

namespace sff::controller {

namespace {

constexpr milliseconds AppendTimeout{2000};
/// After this time a record whose outcome is unknown no longer blocks another
/// of its kind.
constexpr milliseconds OpenTimeout{3000};

} // namespace

bool RecordWriter::isIdle(const char *Kind, Instant Now) const {
  const auto It = m_Open.find(Kind);
  return It == m_Open.end() || Now - It->second.m_Since > OpenTimeout;
}

void RecordWriter::append(const char *Kind, fold::Record Value, Instant Now,
                          std::function<void()> OnNotAppended) {
  const RecordId Id = fold::idOf(Value);
  m_Open[Kind] = {Id, Now};
  m_Relays.append(follower::ControlStream, fold::toJson(Value), AppendTimeout,
                  [this, Id, OnNotAppended](messages::AppendReply Reply) {
                    if (Reply.m_Outcome != messages::AppendOutcome::NotAppended)
                      return;
                    onFolded(Id);
                    if (OnNotAppended)
                      OnNotAppended();
                  });
}

void RecordWriter::onFolded(const RecordId &Id) {
  std::erase_if(m_Open,
                [&](const auto &Pair) { return Pair.second.m_Id == Id; });
}

} // namespace sff::controller
