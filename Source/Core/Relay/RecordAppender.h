#pragma once

#include "Relay/StreamFeed.h"

#include <deque>

namespace sff::relay {

/// Appends records to the log for other processes.
///
/// Appends to `intents` are sent in batches: records that arrive while the
/// maximum number of batches is in flight form the next batch. While this relay
/// has no direct access to the log, it forwards records to a relay that does.
/// An append whose response is lost is never repeated; its outcome is reported
/// as unknown.
///
/// Thread safety: all calls on the peer loop's thread.
class RecordAppender {
public:
  using ReplyCallback = std::function<void(messages::AppendReply)>;

  /// Precondition: all references outlive this object.
  RecordAppender(AsyncLogClient &Log, PeerPool &Peers, PeerDirectory &Directory,
                 const StreamFeed &Control, const StreamFeed &Intents,
                 milliseconds ForwardTimeout);

  /// Appends a record to `control` or `intents`. Reports NotAppended for any
  /// other stream.
  void append(messages::Append Request, ReplyCallback Reply);

  /// Number of appends whose outcome was not reported yet.
  std::size_t pending() const { return m_Pending; }

private:
  struct QueuedIntent {
    nlohmann::json m_Record;
    ReplyCallback m_Reply;
  };

  void appendOne(messages::Append Request, const StreamFeed &Feed,
                 ReplyCallback Reply);
  void forward(messages::Append Request, std::vector<std::string> Relays,
               ReplyCallback Reply);
  std::vector<std::string> relaysWithLogAccess(const StreamFeed &Feed);
  void queueIntent(nlohmann::json Record, ReplyCallback Reply);
  void sendIntents();
  ReplyCallback trackPending(ReplyCallback Reply);

  AsyncLogClient &m_Log;
  PeerPool &m_Peers;
  PeerDirectory &m_Directory;
  const StreamFeed &m_Control;
  const StreamFeed &m_Intents;
  milliseconds m_ForwardTimeout;
  std::deque<QueuedIntent> m_Queue;
  std::size_t m_BatchesInFlight = 0;
  std::size_t m_Pending = 0;
};

} // namespace sff::relay
