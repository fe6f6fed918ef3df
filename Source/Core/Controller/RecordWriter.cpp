#include "Controller/RecordWriter.h"

namespace sff::controller {

namespace {

constexpr milliseconds AppendTimeout{2000};
/// After this time, a record with an unknown outcome no longer blocks another
/// one of its kind.
constexpr milliseconds PendingTimeout{3000};

} // namespace

bool RecordWriter::isIdle(const char *Kind, Instant Now) const {
  const auto It = m_PendingRecords.find(Kind);
  return It == m_PendingRecords.end() ||
         Now - It->second.m_AppendedAt > PendingTimeout;
}

void RecordWriter::append(const char *Kind, fold::Record Value, Instant Now,
                          std::function<void()> OnNotAppended) {
  const RecordId Id = fold::idOf(Value);
  m_PendingRecords[Kind] = {Id, Now};
  m_Relays.append(follower::ControlStream, fold::toJson(Value), AppendTimeout,
                  [this, Id, OnNotAppended](messages::AppendReply Reply) {
                    if (Reply.m_Outcome != messages::AppendOutcome::NotAppended)
                      return;
                    onRecordApplied(Id);
                    if (OnNotAppended)
                      OnNotAppended();
                  });
}

void RecordWriter::onRecordApplied(const RecordId &Id) {
  std::erase_if(m_PendingRecords,
                [&](const auto &Pair) { return Pair.second.m_Id == Id; });
}

} // namespace sff::controller
