#include "Net/Follower/StreamFollower.h"

namespace sff::follower {

namespace {

constexpr milliseconds LongPollWait{1000};
constexpr milliseconds CallTimeout{2500};
constexpr milliseconds RetryPause{100};
constexpr std::int64_t MaxRecordsPerFetch = 500;

} // namespace

StreamFollower::StreamFollower(timers::DutyLoop &Loop, RelayClient &Relays,
                               std::string Stream, Offset From,
                               Callbacks Handlers)
    : m_Relays(Relays), m_Timers(Loop.context().get_executor()),
      m_Stream(std::move(Stream)), m_Next(From),
      m_Handlers(std::move(Handlers)) {}

std::shared_ptr<StreamFollower>
StreamFollower::start(timers::DutyLoop &Loop, RelayClient &Relays,
                      std::string Stream, Offset From, Callbacks Handlers) {
  std::shared_ptr<StreamFollower> Result(new StreamFollower(
      Loop, Relays, std::move(Stream), From, std::move(Handlers)));
  Result->fetch();
  return Result;
}

void StreamFollower::continueFrom(Offset From) {
  m_Next = From;
  fetch();
}

void StreamFollower::fetch() {
  if (m_Stopped)
    return;
  messages::FetchRecords Request{m_Stream, m_Next, MaxRecordsPerFetch,
                                 LongPollWait};
  m_Relays.call(Request, CallTimeout, [Weak = weak_from_this()](auto Reply) {
    if (auto Self = Weak.lock())
      Self->onReply(std::move(Reply));
  });
}

void StreamFollower::onReply(std::optional<messages::FetchRecordsReply> Reply) {
  if (m_Stopped)
    return;
  if (!Reply) {
    if (m_Handlers.m_OnContact)
      m_Handlers.m_OnContact(false, m_Next - 1);
    fetchLater();
    return;
  }
  if (Reply->m_First > m_Next) {
    m_Handlers.m_OnBehind(Reply->m_First);
    return;
  }
  // Several records may share an offset, when a relay appended them as one.
  const Offset First = m_Next;
  for (const messages::RecordAt &Item : Reply->m_Records) {
    if (Item.m_Offset < First)
      continue;
    m_Next = Item.m_Offset + 1;
    m_Handlers.m_OnRecord(Item.m_Offset, Item.m_Data);
  }
  if (m_Handlers.m_OnContact)
    m_Handlers.m_OnContact(Reply->m_LogReachable, Reply->m_Head);
  fetch();
}

void StreamFollower::fetchLater() {
  m_Pause = m_Timers.after(RetryPause, [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->fetch();
  });
}

} // namespace sff::follower
