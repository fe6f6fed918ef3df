#include "Relay/StreamFeed.h"

#include "Core/Relay/BatchRecord.h"

namespace sff::relay {

namespace {

constexpr std::size_t MaxWaitingFetches = 4096;
constexpr std::size_t RecordsPerRead = 500;
constexpr std::size_t ReplyBytes = 1024 * 1024;
constexpr milliseconds PeerWait{1000};
constexpr milliseconds NextSourcePause{20};
constexpr milliseconds AllSourcesPause{200};
/// A longer chain of relays is taken for a loop.
constexpr std::int64_t MaxLogHops = 3;
/// A fetch without any result for this long beyond its time-out was lost in a
/// full ring.
constexpr milliseconds LostFetchMargin{2000};

Instant now() { return std::chrono::steady_clock::now(); }

std::vector<messages::RecordAt>
toRecords(std::vector<platform::StoredRecord> Stored) {
  std::vector<messages::RecordAt> Result;
  Result.reserve(Stored.size());
  for (platform::StoredRecord &Item : Stored)
    Result.push_back({Item.m_Offset, std::move(Item.m_Data)});
  return Result;
}

} // namespace

StreamFeed::StreamFeed(timers::DutyLoop &Loop, PlatformSide &Platform,
                       PeerPool &Peers, PeerDirectory &Directory,
                       FeedOptions Options, Callbacks Handlers)
    : m_Platform(Platform), m_Peers(Peers), m_Directory(Directory),
      m_Options(std::move(Options)), m_Handlers(std::move(Handlers)),
      m_Timers(Loop.context().get_executor()), m_Cache(m_Options.m_Cache),
      m_Waiting(MaxWaitingFetches) {}

void StreamFeed::start(Offset Next) {
  m_Started = true;
  m_InGap = false;
  m_Cache.restart(Next);
  readLog();
  if (!m_LogContact)
    fetchFromPeerAfter(AllSourcesPause);
  // Readers that wait for an offset before the new start have to be told.
  for (const auto &Item : m_Waiting.takeIf([&](const auto &Waiting) {
         return Waiting.m_Request.m_From < m_Cache.first();
       }))
    answer(Item);
}

std::int64_t StreamFeed::logHops() const {
  return m_LogContact ? 0 : m_SourceHops;
}

Offset StreamFeed::head() const { return std::max(m_Cache.head(), m_LogHead); }

Offset StreamFeed::first() const {
  return m_Options.m_ReadThrough ? m_LogFirst : m_Cache.first();
}

void StreamFeed::readLog() {
  if (m_LogReadActive || m_InGap)
    return;
  m_LogReadActive = true;
  const Offset From = m_Cache.next();
  // The first read after an interruption does not wait, so that contact is
  // known at once even while the log is idle.
  const milliseconds Wait =
      m_LogContact ? m_Options.m_LogWait : milliseconds(0);
  m_Platform.read(m_Options.m_Stream, From, RecordsPerRead, Wait,
                  [this, From](auto Result) {
                    m_LogReadActive = false;
                    onLogRead(From, std::move(Result));
                  });
}

void StreamFeed::readLogAfter(milliseconds Delay) {
  if (Delay.count() == 0) {
    readLog();
    return;
  }
  m_LogPause = m_Timers.after(Delay, [this] { readLog(); });
}

void StreamFeed::onLogRead(Offset From,
                           std::optional<platform::ReadResult> Result) {
  setLogContact(Result.has_value());
  if (!Result) {
    readLogAfter(m_Options.m_LogRetry);
    return;
  }
  m_LogHead = std::max(m_LogHead, Result->m_Head);
  const bool Any = !Result->m_Records.empty();
  if (!accept(From, Result->m_First, toRecords(std::move(Result->m_Records))))
    return;
  const bool CaughtUp = m_Cache.next() > m_LogHead;
  readLogAfter(Any && CaughtUp ? m_Directory.plan().m_PollPause
                               : milliseconds(0));
}

void StreamFeed::setLogContact(bool Value) {
  const bool Changed = m_LogContact != Value;
  m_LogContact = Value;
  if (!Value)
    fetchFromPeer();
  if (!Changed)
    return;
  log::info(log::Category::Platform, Value ? "log.reached" : "log.lost",
            {{"stream", m_Options.m_Stream}, {"next", m_Cache.next()}});
  m_Handlers.m_OnContactChange();
}

/// Returns false when reading has to stop because of a gap.
bool StreamFeed::accept(Offset From, Offset First,
                        std::vector<messages::RecordAt> Records) {
  if (m_InGap)
    return false;
  m_LogFirst = std::max(m_LogFirst, First);
  std::vector<messages::RecordAt> Added;
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
  for (const auto &Item : m_Waiting.takeIf([&](const auto &Waiting) {
         return m_Cache.holds(Waiting.m_Request.m_From);
       }))
    answer(Item);
  return true;
}

void StreamFeed::fetchFromPeer() {
  if (m_LogContact || m_InGap || m_PeerFetchActive || !m_Started)
    return;
  if (m_Source.empty())
    chooseSource();
  if (m_Source.empty()) {
    fetchFromPeerAfter(AllSourcesPause);
    return;
  }
  m_PeerFetchActive = true;
  m_PeerFetchSince = now();
  const messages::FetchRecords Request{m_Options.m_Stream, m_Cache.next(),
                                       RecordsPerRead, PeerWait, true};
  m_Peers.at(m_Source).call(
      Request, PeerWait + m_Options.m_PeerTimeout,
      [this, From = Request.m_From](
          std::optional<messages::FetchRecordsReply> Reply) {
        m_PeerFetchActive = false;
        onPeerReply(From, std::move(Reply));
      });
}

void StreamFeed::fetchFromPeerAfter(milliseconds Delay) {
  m_PeerPause = m_Timers.after(Delay, [this] { fetchFromPeer(); });
}

void StreamFeed::chooseSource() {
  const std::vector<std::string> Sources = m_Directory.sources();
  m_SourceIndex = m_SourceIndex < Sources.size() ? m_SourceIndex : 0;
  m_Source = Sources.empty() ? std::string() : Sources[m_SourceIndex];
}

void StreamFeed::onPeerReply(Offset From,
                             std::optional<messages::FetchRecordsReply> Reply) {
  const std::int64_t Hops = Reply ? Reply->m_LogHops + 1 : messages::NoLogPath;
  // A relay that is not ready answers with first offset 0.
  if (Reply && Reply->m_First > 0 &&
      !accept(From, Reply->m_First, std::move(Reply->m_Records)))
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
  fetchFromPeerAfter(TriedAll ? AllSourcesPause : NextSourcePause);
}

void StreamFeed::catchUpFrom(const std::string &Address) {
  if (m_CatchUpActive || m_InGap || !m_Started)
    return;
  m_CatchUpActive = true;
  const messages::FetchRecords Request{m_Options.m_Stream, m_Cache.next(),
                                       RecordsPerRead, milliseconds(0), true};
  m_Peers.at(Address).call(
      Request, m_Options.m_PeerTimeout,
      [this, From = Request.m_From](
          std::optional<messages::FetchRecordsReply> Reply) {
        m_CatchUpActive = false;
        // Only a gap at the log itself, or at the chosen source, counts.
        if (Reply && Reply->m_First > 0 && Reply->m_First <= m_Cache.next())
          accept(From, Reply->m_First, std::move(Reply->m_Records));
      });
}

void StreamFeed::fetch(messages::FetchRecords Request, FetchQueue::Send Send) {
  const bool Behind = m_Started && Request.m_From < m_Cache.first();
  const bool Kept = m_Options.m_ReadThrough && Request.m_From >= m_LogFirst;
  FetchQueue::Waiting Item{std::move(Request), now(), std::move(Send)};
  Item.m_Deadline += Item.m_Request.m_Wait;
  if (Behind && Kept)
    serveOld(std::move(Item));
  else if (Behind || m_Cache.holds(Item.m_Request.m_From) ||
           Item.m_Request.m_Wait.count() <= 0 || !m_Waiting.add(Item))
    answer(Item);
}

/// Serves records that the cache has dropped, from the log or, while the path
/// to it is cut, from the relay that this one reads from.
void StreamFeed::serveOld(FetchQueue::Waiting Item) {
  if (m_LogContact) {
    serveOldFromLog(std::move(Item));
    return;
  }
  if (m_Source.empty() || m_SourceHops > MaxLogHops) {
    // Held, so that the reader does not ask again at once.
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

void StreamFeed::serveOldFromLog(FetchQueue::Waiting Item) {
  const Offset From = Item.m_Request.m_From;
  m_Platform.read(m_Options.m_Stream, From, RecordsPerRead, milliseconds(0),
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

void StreamFeed::answer(const FetchQueue::Waiting &Item) const {
  send(Item, makeReply(Item.m_Request));
}

void StreamFeed::send(const FetchQueue::Waiting &Item,
                      messages::FetchRecordsReply Reply) {
  if (!Item.m_Request.m_WholeBatches)
    Reply.m_Records = expand(std::move(Reply.m_Records));
  Item.m_Send(std::move(Reply));
}

void StreamFeed::tick(Instant Now) {
  for (const auto &Item : m_Waiting.takeExpired(Now))
    answer(Item);
  const Duration Longest = PeerWait + m_Options.m_PeerTimeout + LostFetchMargin;
  if (m_PeerFetchActive && Now - m_PeerFetchSince > Longest) {
    m_PeerFetchActive = false;
    fetchFromPeer();
  }
}

void StreamFeed::flush() {
  for (const auto &Item : m_Waiting.takeIf([](const auto &) { return true; }))
    answer(Item);
}

} // namespace sff::relay
