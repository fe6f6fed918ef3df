#pragma once

#include "Relay/StreamFeed.h"

#include <deque>

namespace sff::relay {

/// Appends records for other processes.
///
/// Records of `intents` that arrive while an append is under way are sent as
/// one batch. While the direct path to the log is cut, records go to another
/// relay that has contact. An append whose answer is lost is never repeated;
/// its outcome stays unknown.
///
/// Thread safety: all calls from the peer loop's thread.
class AppendPath {
public:
  using Done = std::function<void(messages::AppendReply)>;

  /// Precondition: all references outlive this object.
  AppendPath(PlatformSide &Platform, PeerPool &Peers, PeerDirectory &Directory,
             const StreamFeed &Control, const StreamFeed &Intents,
             milliseconds ForwardTimeout);

  /// Appends a record to `control` or `intents`; other streams are refused.
  void append(messages::Append Request, Done Reply);

  /// Appends that have no outcome yet.
  std::size_t pending() const { return m_Pending; }

private:
  struct QueuedIntent {
    nlohmann::json m_Record;
    Done m_Reply;
  };

  void appendOne(messages::Append Request, const StreamFeed &Feed, Done Reply);
  void forward(messages::Append Request, std::vector<std::string> Relays,
               Done Reply);
  std::vector<std::string> relaysWithLog(const StreamFeed &Feed);
  void queueIntent(nlohmann::json Record, Done Reply);
  void sendIntents();
  Done count(Done Reply);

  PlatformSide &m_Platform;
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
