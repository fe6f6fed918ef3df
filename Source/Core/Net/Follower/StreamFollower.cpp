#include "Net/Follower/StreamFollower.h"

namespace sff::follower {

namespace {

constexpr milliseconds LongPollTimeout{1000};
constexpr milliseconds CallTimeout{2500};
constexpr milliseconds RetryDelay{100};
constexpr std::int64_t MaxRecordsPerFetch = 500;

} // namespace

StreamFollower::StreamFollower(timers::EventLoop &Loop, RelayClient &Relays,
                               std::string Stream, Offset From,
                               Callbacks Handlers)
    : m_Relays(Relays), m_Timers(Loop.context().get_executor()),
      m_Stream(std::move(Stream)), m_NextOffset(From),
      m_Handlers(std::move(Handlers)) {}

std::shared_ptr<StreamFollower>
StreamFollower::start(timers::EventLoop &Loop, RelayClient &Relays,
                      std::string Stream, Offset From, Callbacks Handlers) {
  std::shared_ptr<StreamFollower> Result(new StreamFollower(
      Loop, Relays, std::move(Stream), From, std::move(Handlers)));
  Result->fetch();
  return Result;
}

void StreamFollower::resumeFrom(Offset From) {
  m_NextOffset = From;
  fetch();
}

void StreamFollower::fetch() {
  if (m_Stopped)
    return;
  messages::FetchRecords Request{m_Stream, m_NextOffset, MaxRecordsPerFetch,
                                 LongPollTimeout};
  m_Relays.call(Request, CallTimeout, [Weak = weak_from_this()](auto Reply) {
    if (auto Self = Weak.lock())
      Self->onReply(std::move(Reply));
  });
}

void StreamFollower::onReply(std::optional<messages::FetchRecordsReply> Reply) {
  if (m_Stopped)
    return;
  if (!Reply) {
    if (m_Handlers.m_OnLogStatus)
      m_Handlers.m_OnLogStatus(false, m_NextOffset - 1);
    scheduleRetry();
    return;
  }
  if (Reply->m_First > m_NextOffset) {
    m_Handlers.m_OnOffsetExpired(Reply->m_First);
    return;
  }
  // Several records share an offset if a relay appended them as one batch.
  const Offset First = m_NextOffset;
  for (const messages::StreamRecord &Item : Reply->m_Records) {
    if (Item.m_Offset < First)
      continue;
    m_NextOffset = Item.m_Offset + 1;
    m_Handlers.m_OnRecord(Item.m_Offset, Item.m_Data);
  }
  if (m_Handlers.m_OnLogStatus)
    m_Handlers.m_OnLogStatus(Reply->m_LogReachable, Reply->m_Head);
  fetch();
}

void StreamFollower::scheduleRetry() {
  m_RetryTimer = m_Timers.after(RetryDelay, [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->fetch();
  });
}

} // namespace sff::follower
