#include "Relay/StreamFeed.h"

#include "Common/Time/Clock.h"
#include "Core/Relay/BatchRecord.h"

namespace sff::relay {

namespace {

constexpr std::size_t MaxWaitingFetches = 4096;
constexpr std::size_t RecordsPerRead = 500;
constexpr std::size_t ReplyBytes = 1024 * 1024;
constexpr milliseconds PeerFetchWait{1000};
constexpr milliseconds NextSourceDelay{20};
constexpr milliseconds AllSourcesRetryDelay{200};
/// A longer chain of relays is treated as a loop.
constexpr std::int64_t MaxLogHops = 3;
/// A fetch that has no result this long after its timeout was lost because a
/// ring was full.
constexpr milliseconds LostFetchMargin{2000};

std::vector<messages::StreamRecord>
toRecords(std::vector<platform::StoredRecord> Stored) {
  std::vector<messages::StreamRecord> Result;
  Result.reserve(Stored.size());
  for (platform::StoredRecord &Item : Stored)
    Result.push_back({Item.m_Offset, std::move(Item.m_Data)});
  return Result;
}

} // namespace

StreamFeed::StreamFeed(timers::EventLoop &Loop, AsyncLogClient &Log,
                       PeerPool &Peers, PeerDirectory &Directory,
                       FeedOptions Options, Callbacks Handlers)
    : m_Log(Log), m_Peers(Peers), m_Directory(Directory),
      m_Options(std::move(Options)), m_Handlers(std::move(Handlers)),
      m_Timers(Loop.context().get_executor()), m_Cache(m_Options.m_Cache),
      m_Waiting(MaxWaitingFetches) {}

void StreamFeed::start(Offset Next) {
  m_Started = true;
  m_InGap = false;
  m_Cache.restart(Next);
  readLog();
  if (!m_DirectLogAccess)
    fetchFromPeerAfter(AllSourcesRetryDelay);
  // Answer readers that wait for an offset before the new start, so that they
  // learn the oldest available offset.
  for (const auto &Item : m_Waiting.takeIf([&](const auto &PendingFetch) {
         return PendingFetch.m_Request.m_From < m_Cache.first();
       }))
    answer(Item);
}

std::int64_t StreamFeed::logHops() const {
  return m_DirectLogAccess ? 0 : m_SourceHops;
}

Offset StreamFeed::head() const { return std::max(m_Cache.head(), m_LogHead); }

Offset StreamFeed::first() const {
  return m_Options.m_ReadThrough ? m_OldestLogOffset : m_Cache.first();
}

void StreamFeed::readLog() {
  if (m_LogReadInFlight || m_InGap)
    return;
  m_LogReadInFlight = true;
  const Offset From = m_Cache.next();
  // The first read after an outage does not wait for records, so that restored
  // access is detected immediately even if the log is idle.
  const milliseconds Wait =
      m_DirectLogAccess ? m_Options.m_LogWait : milliseconds(0);
  m_Log.read(m_Options.m_Stream, From, RecordsPerRead, Wait,
             [this, From](auto Result) {
               m_LogReadInFlight = false;
               onLogRead(From, std::move(Result));
             });
}

void StreamFeed::readLogAfter(milliseconds Delay) {
  if (Delay.count() == 0) {
    readLog();
    return;
  }
  m_LogReadTimer = m_Timers.after(Delay, [this] { readLog(); });
}

void StreamFeed::onLogRead(Offset From,
                           std::optional<platform::ReadResult> Result) {
  setDirectLogAccess(Result.has_value());
  if (!Result) {
    readLogAfter(m_Options.m_LogRetry);
    return;
  }
  m_LogHead = std::max(m_LogHead, Result->m_Head);
  const bool HasRecords = !Result->m_Records.empty();
  if (!addRecords(From, Result->m_First,
                  toRecords(std::move(Result->m_Records))))
    return;
  const bool CaughtUp = m_Cache.next() > m_LogHead;
  readLogAfter(HasRecords && CaughtUp ? m_Directory.plan().m_LogPollPause
                                      : milliseconds(0));
}

void StreamFeed::setDirectLogAccess(bool Value) {
  const bool Changed = m_DirectLogAccess != Value;
  m_DirectLogAccess = Value;
  if (!Value)
    fetchFromPeer();
  if (!Changed)
    return;
  log::info(log::Category::Platform, Value ? "log.reached" : "log.lost",
            {{"stream", m_Options.m_Stream}, {"next", m_Cache.next()}});
  m_Handlers.m_OnDirectLogAccessChange();
}

/// Adds records to the cache and answers the fetches that wait for them.
/// Returns false if reading has to stop because of a gap.
bool StreamFeed::addRecords(Offset From, Offset First,
                            std::vector<messages::StreamRecord> Records) {
  if (m_InGap)
    return false;
  m_OldestLogOffset = std::max(m_OldestLogOffset, First);
  std::vector<messages::StreamRecord> Added;
  const auto Effect = m_Cache.extend(From, First, std::move(Records), Added);
  if (Effect == RecordCache::Extension::Gap) {
    m_InGap = true;
    log::warning(log::Category::Platform, "stream.gap",
                 {{"stream", m_Options.m_Stream},
                  {"next", m_Cache.next()},
                  {"first", First}});
    m_Handlers.m_OnGap(First);
    return false;
  }
  if (Added.empty())
    return true;
  if (m_Handlers.m_OnRecords)
    m_Handlers.m_OnRecords(Added);
  for (const auto &Item : m_Waiting.takeIf([&](const auto &PendingFetch) {
         return m_Cache.holds(PendingFetch.m_Request.m_From);
       }))
    answer(Item);
  return true;
}

void StreamFeed::fetchFromPeer() {
  if (m_DirectLogAccess || m_InGap || m_PeerFetchInFlight || !m_Started)
    return;
  if (m_Source.empty())
    chooseSource();
  if (m_Source.empty()) {
    fetchFromPeerAfter(AllSourcesRetryDelay);
    return;
  }
  m_PeerFetchInFlight = true;
  m_PeerFetchStartedAt = now();
  const messages::FetchRecords Request{m_Options.m_Stream, m_Cache.next(),
                                       RecordsPerRead, PeerFetchWait, true};
  m_Peers.at(m_Source).call(
      Request, PeerFetchWait + m_Options.m_PeerTimeout,
      [this, From = Request.m_From](
          std::optional<messages::FetchRecordsReply> Reply) {
        m_PeerFetchInFlight = false;
        onPeerReply(From, std::move(Reply));
      });
}

void StreamFeed::fetchFromPeerAfter(milliseconds Delay) {
  m_PeerFetchTimer = m_Timers.after(Delay, [this] { fetchFromPeer(); });
}

void StreamFeed::chooseSource() {
  const std::vector<std::string> Sources = m_Directory.sources();
  m_SourceIndex = m_SourceIndex < Sources.size() ? m_SourceIndex : 0;
  m_Source = Sources.empty() ? std::string() : Sources[m_SourceIndex];
}

void StreamFeed::onPeerReply(Offset From,
                             std::optional<messages::FetchRecordsReply> Reply) {
  const std::int64_t Hops = Reply ? Reply->m_LogHops + 1 : messages::NoLogPath;
  // A relay that is not ready responds with 0 as its first offset.
  if (Reply && Reply->m_First > 0 &&
      !addRecords(From, Reply->m_First, std::move(Reply->m_Records)))
    return;
  if (Hops <= MaxLogHops) {
    m_SourceHops = Hops;
    m_SourceIndex = 0;
    m_LogHead = std::max(m_LogHead, Reply->m_Head);
    fetchFromPeer();
    return;
  }
  m_SourceHops = messages::NoLogPath;
  m_Source.clear();
  ++m_SourceIndex;
  const bool TriedAll = m_SourceIndex >= m_Directory.sources().size();
  fetchFromPeerAfter(TriedAll ? AllSourcesRetryDelay : NextSourceDelay);
}

void StreamFeed::catchUpFrom(const std::string &Address) {
  if (m_CatchUpInFlight || m_InGap || !m_Started)
    return;
  m_CatchUpInFlight = true;
  const messages::FetchRecords Request{m_Options.m_Stream, m_Cache.next(),
                                       RecordsPerRead, milliseconds(0), true};
  m_Peers.at(Address).call(
      Request, m_Options.m_PeerTimeout,
      [this, From = Request.m_From](
          std::optional<messages::FetchRecordsReply> Reply) {
        m_CatchUpInFlight = false;
        // A gap is detected only at the log or at the chosen source. The
        // queried relay may merely have dropped records from its cache.
        if (Reply && Reply->m_First > 0 && Reply->m_First <= m_Cache.next())
          addRecords(From, Reply->m_First, std::move(Reply->m_Records));
      });
}

void StreamFeed::fetch(messages::FetchRecords Request, FetchQueue::Send Send) {
  const bool BeforeCache = m_Started && Request.m_From < m_Cache.first();
  const bool InLog =
      m_Options.m_ReadThrough && Request.m_From >= m_OldestLogOffset;
  FetchQueue::PendingFetch Item{std::move(Request), now(), std::move(Send)};
  Item.m_Deadline += Item.m_Request.m_Wait;
  if (BeforeCache && InLog)
    serveEvicted(std::move(Item));
  else if (BeforeCache || m_Cache.holds(Item.m_Request.m_From) ||
           Item.m_Request.m_Wait.count() <= 0 || !m_Waiting.add(Item))
    answer(Item);
}

/// Serves records that the cache has dropped. Reads them from the log or,
/// without direct access to it, from the source relay.
void StreamFeed::serveEvicted(FetchQueue::PendingFetch Item) {
  if (m_DirectLogAccess) {
    serveEvictedFromLog(std::move(Item));
    return;
  }
  if (m_Source.empty() || m_SourceHops > MaxLogHops) {
    // Delay the reply, so that the reader does not retry immediately.
    if (!m_Waiting.add(Item))
      send(Item, {});
    return;
  }
  messages::FetchRecords Request = Item.m_Request;
  Request.m_Wait = milliseconds(0);
  m_Peers.at(m_Source).call(
      Request, m_Options.m_PeerTimeout,
      [Item](std::optional<messages::FetchRecordsReply> Reply) {
        Item.m_Send(Reply.value_or(messages::FetchRecordsReply{}));
      });
}

void StreamFeed::serveEvictedFromLog(FetchQueue::PendingFetch Item) {
  const Offset From = Item.m_Request.m_From;
  m_Log.read(m_Options.m_Stream, From, RecordsPerRead, milliseconds(0),
             [this, Item = std::move(Item)](
                 std::optional<platform::ReadResult> Result) {
               messages::FetchRecordsReply Reply;
               if (Result) {
                 Reply = makeReply(Item.m_Request);
                 Reply.m_First = Result->m_First;
                 Reply.m_Records = toRecords(std::move(Result->m_Records));
               }
               send(Item, std::move(Reply));
             });
}

messages::FetchRecordsReply
StreamFeed::makeReply(const messages::FetchRecords &Request) const {
  messages::FetchRecordsReply Reply;
  if (!m_Started)
    return Reply;
  Reply.m_First = first();
  Reply.m_Head = head();
  Reply.m_LogHops = logHops();
  Reply.m_LogReachable = logHops() <= MaxLogHops;
  if (Request.m_From >= m_Cache.first())
    Reply.m_Records =
        m_Cache.read(Request.m_From,
                     static_cast<std::size_t>(
                         std::max<std::int64_t>(1, Request.m_MaxRecords)),
                     ReplyBytes);
  return Reply;
}

void StreamFeed::answer(const FetchQueue::PendingFetch &Item) const {
  send(Item, makeReply(Item.m_Request));
}

void StreamFeed::send(const FetchQueue::PendingFetch &Item,
                      messages::FetchRecordsReply Reply) {
  if (!Item.m_Request.m_WholeBatches)
    Reply.m_Records = expandBatches(std::move(Reply.m_Records));
  Item.m_Send(std::move(Reply));
}

void StreamFeed::tick(Instant Now) {
  for (const auto &Item : m_Waiting.takeExpired(Now))
    answer(Item);
  const Duration LostAfter =
      PeerFetchWait + m_Options.m_PeerTimeout + LostFetchMargin;
  if (m_PeerFetchInFlight && Now - m_PeerFetchStartedAt > LostAfter) {
    m_PeerFetchInFlight = false;
    fetchFromPeer();
  }
}

void StreamFeed::flush() {
  for (const auto &Item : m_Waiting.takeIf([](const auto &) { return true; }))
    answer(Item);
}

} // namespace sff::relay
