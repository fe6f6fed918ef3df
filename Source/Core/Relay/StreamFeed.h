#pragma once

#include "Core/Relay/FetchQueue.h"
#include "Core/Relay/RecordCache.h"
#include "Net/Timers/TimerService.h"
#include "Relay/PeerDirectory.h"
#include "Relay/PeerPool.h"
#include "Relay/PlatformSide.h"

#include <span>

namespace sff::relay {

struct FeedOptions {
  std::string m_Stream;
  /// The stream has no snapshots: its readers need every record that the log
  /// keeps, so those older than the cache are read from the log for them.
  bool m_ReadThrough = false;
  CacheLimits m_Cache;
  milliseconds m_LogWait{0};
  milliseconds m_LogRetry{0};
  milliseconds m_PeerTimeout{0};
};

/// Keeps the newest records of one stream and serves them.
///
/// Records are read from the log. While that path is cut they are fetched
/// from other relays instead. Both paths enter through the cache, which takes
/// a run of records only when it continues without a gap, so the order is that
/// of the log whichever path is faster.
///
/// Thread safety: all calls from the peer loop's thread.
class StreamFeed {
public:
  struct Callbacks {
    /// New records, in order.
    std::function<void(std::span<const messages::RecordAt>)> m_OnRecords;
    /// No source holds the next record. Reading stops until start() is called
    /// again.
    std::function<void(Offset First)> m_OnGap;
    /// The direct path to the log was cut or restored.
    std::function<void()> m_OnContactChange;
  };

  /// Precondition: all references outlive this object.
  StreamFeed(timers::DutyLoop &Loop, PlatformSide &Platform, PeerPool &Peers,
             PeerDirectory &Directory, FeedOptions Options, Callbacks Handlers);

  /// Starts to read at \p Next, or continues there after a gap.
  void start(Offset Next);

  /// Answers a fetch, at once or when records arrive or its wait has passed.
  void fetch(messages::FetchRecords Request, FetchQueue::Send Send);

  /// Fetches once from a relay that has published a higher offset, in case the
  /// path to the log has gone silent and the time-out has not yet shown it.
  void catchUpFrom(const std::string &Address);

  /// Oldest offset from which a reader can be served.
  Offset first() const;

  /// Answers the fetches whose wait has passed.
  void tick(Instant Now);
  /// Answers all waiting fetches.
  void flush();

  bool isStarted() const { return m_Started; }
  bool hasLogContact() const { return m_LogContact; }
  /// Relays between this one and the log; messages::NoLogPath when cut off.
  std::int64_t logHops() const;
  /// Relay from which records are fetched while the log is out of reach.
  const std::string &source() const { return m_Source; }
  Offset next() const { return m_Cache.next(); }
  Offset head() const;
  std::size_t waiting() const { return m_Waiting.size(); }

private:
  void readLog();
  void readLogAfter(milliseconds Delay);
  void onLogRead(Offset LogFrom, std::optional<platform::ReadResult> Result);
  void setLogContact(bool Value);
  bool accept(Offset From, Offset First,
              std::vector<messages::RecordAt> Records);

  void fetchFromPeer();
  void fetchFromPeerAfter(milliseconds Delay);
  void onPeerReply(Offset From,
                   std::optional<messages::FetchRecordsReply> Reply);
  void chooseSource();

  void serveOld(FetchQueue::Waiting Item);
  void serveOldFromLog(FetchQueue::Waiting Item);
  void answer(const FetchQueue::Waiting &Item) const;
  static void send(const FetchQueue::Waiting &Item,
                   messages::FetchRecordsReply Reply);
  messages::FetchRecordsReply makeReply(const messages::FetchRecords &) const;

  PlatformSide &m_Platform;
  PeerPool &m_Peers;
  PeerDirectory &m_Directory;
  FeedOptions m_Options;
  Callbacks m_Handlers;
  timers::TimerService m_Timers;
  timers::Subscription m_LogPause;
  timers::Subscription m_PeerPause;

  RecordCache m_Cache;
  FetchQueue m_Waiting;
  Offset m_LogFirst = 0; ///< 0 until a source has told it.
  Offset m_LogHead = 0;
  bool m_Started = false;
  bool m_InGap = false;
  bool m_LogContact = false;
  bool m_LogReadActive = false;
  bool m_PeerFetchActive = false;
  bool m_CatchUpActive = false;
  Instant m_PeerFetchSince;
  std::string m_Source;
  std::size_t m_SourceIndex = 0;
  std::int64_t m_SourceHops = messages::NoLogPath;
};

} // namespace sff::relay
