#pragma once

#include "Core/Relay/FetchQueue.h"
#include "Core/Relay/RecordCache.h"
#include "Net/Timers/TimerService.h"
#include "Relay/AsyncLogClient.h"
#include "Relay/PeerDirectory.h"
#include "Relay/PeerPool.h"

#include <span>

namespace sff::relay {

struct FeedOptions {
  std::string m_Stream;
  /// Reads records that are no longer in the cache from the log. Needed for a
  /// stream without snapshots, whose readers need every record in the log.
  bool m_ReadThrough = false;
  CacheLimits m_Cache;
  milliseconds m_LogWait{0};
  milliseconds m_LogRetry{0};
  milliseconds m_PeerTimeout{0};
};

/// Caches the newest records of one stream and serves them.
///
/// Records are read from the log or, while the relay has no direct access to
/// it, from other relays. The cache accepts records from either source only if
/// they continue it without a gap. The order is therefore that of the log,
/// whichever source responds first.
///
/// Thread safety: all calls on the peer loop's thread.
class StreamFeed {
public:
  struct Callbacks {
    /// Optional. Called with new records, in order.
    std::function<void(std::span<const messages::StreamRecord>)> m_OnRecords;
    /// Called when a source no longer has the next record; First is the oldest
    /// offset that it has. Reading stops until start() is called again.
    std::function<void(Offset First)> m_OnGap;
    /// Called when direct access to the log was lost or restored.
    std::function<void()> m_OnDirectLogAccessChange;
  };

  /// Precondition: all references outlive this object.
  StreamFeed(timers::EventLoop &Loop, AsyncLogClient &Log, PeerPool &Peers,
             PeerDirectory &Directory, FeedOptions Options, Callbacks Handlers);

  /// Starts reading at \p Next. Also called to continue after a gap.
  void start(Offset Next);

  /// Answers a fetch immediately, or else when records arrive or its wait time
  /// has passed.
  void fetch(messages::FetchRecords Request, FetchQueue::Send Send);

  /// Fetches once from a relay that has published a higher offset. Covers the
  /// time in which the log has stopped responding but the read of it has not
  /// timed out yet.
  void catchUpFrom(const std::string &Address);

  /// Oldest offset that can be served.
  Offset first() const;

  /// Answers the fetches whose wait time has passed, and repeats a fetch from
  /// another relay that was lost. Must be called periodically.
  void tick(Instant Now);
  /// Answers all waiting fetches.
  void flush();

  bool isStarted() const { return m_Started; }
  bool hasDirectLogAccess() const { return m_DirectLogAccess; }
  /// Number of relays between this one and the log; messages::NoLogPath when
  /// the log is unreachable.
  std::int64_t logHops() const;
  /// Address of the relay from which records are fetched while this relay has
  /// no direct access to the log; empty when none is chosen.
  const std::string &source() const { return m_Source; }
  Offset next() const { return m_Cache.next(); }
  Offset head() const;
  std::size_t waiting() const { return m_Waiting.size(); }

private:
  void readLog();
  void readLogAfter(milliseconds Delay);
  void onLogRead(Offset LogFrom, std::optional<platform::ReadResult> Result);
  void setDirectLogAccess(bool Value);
  bool addRecords(Offset From, Offset First,
                  std::vector<messages::StreamRecord> Records);

  void fetchFromPeer();
  void fetchFromPeerAfter(milliseconds Delay);
  void onPeerReply(Offset From,
                   std::optional<messages::FetchRecordsReply> Reply);
  void chooseSource();

  void serveEvicted(FetchQueue::PendingFetch Item);
  void serveEvictedFromLog(FetchQueue::PendingFetch Item);
  void answer(const FetchQueue::PendingFetch &Item) const;
  static void send(const FetchQueue::PendingFetch &Item,
                   messages::FetchRecordsReply Reply);
  messages::FetchRecordsReply makeReply(const messages::FetchRecords &) const;

  AsyncLogClient &m_Log;
  PeerPool &m_Peers;
  PeerDirectory &m_Directory;
  FeedOptions m_Options;
  Callbacks m_Handlers;
  timers::TimerService m_Timers;
  timers::TimerHandle m_LogReadTimer;
  timers::TimerHandle m_PeerFetchTimer;

  RecordCache m_Cache;
  FetchQueue m_Waiting;
  Offset m_OldestLogOffset = 0; ///< 0 until a source has reported it.
  Offset m_LogHead = 0;
  bool m_Started = false;
  bool m_InGap = false;
  bool m_DirectLogAccess = false;
  bool m_LogReadInFlight = false;
  bool m_PeerFetchInFlight = false;
  bool m_CatchUpInFlight = false;
  Instant m_PeerFetchStartedAt;
  std::string m_Source;
  std::size_t m_SourceIndex = 0;
  std::int64_t m_SourceHops = messages::NoLogPath;
};

} // namespace sff::relay
