#pragma once

#include "Net/Follower/RelayClient.h"
#include "Net/Timers/TimerService.h"

#include <functional>
#include <memory>
#include <string>

namespace sff::follower {

/// Reads one log stream through the relays, in order and without gaps.
/// Thread safety: all calls and callbacks on the loop's thread.
class StreamFollower : public std::enable_shared_from_this<StreamFollower> {
public:
  struct Callbacks {
    /// Called for each record, in offset order.
    std::function<void(Offset, const nlohmann::json &)> m_OnRecord;
    /// Called when the relays no longer retain the next offset. The handler
    /// must install a snapshot and then call resumeFrom().
    std::function<void(Offset OldestOffset)> m_OnOffsetExpired;
    /// Called after each reply, with whether the relay can reach the log and
    /// the newest offset that it knows. Also called with false when no relay
    /// replies.
    std::function<void(bool LogReachable, Offset Head)> m_OnLogStatus;
  };

  /// Starts reading at offset \p From.
  /// Precondition: \p Loop and \p Relays must outlive the follower.
  static std::shared_ptr<StreamFollower> start(timers::EventLoop &Loop,
                                               RelayClient &Relays,
                                               std::string Stream, Offset From,
                                               Callbacks Handlers);

  /// Resumes reading at offset \p From after a snapshot was installed.
  void resumeFrom(Offset From);
  void stop() { m_Stopped = true; }

private:
  StreamFollower(timers::EventLoop &Loop, RelayClient &Relays,
                 std::string Stream, Offset From, Callbacks Handlers);
  void fetch();
  void onReply(std::optional<messages::FetchRecordsReply> Reply);
  void scheduleRetry();

  RelayClient &m_Relays;
  timers::TimerService m_Timers;
  timers::TimerHandle m_RetryTimer;
  std::string m_Stream;
  Offset m_NextOffset;
  Callbacks m_Handlers;
  bool m_Stopped = false;
};

} // namespace sff::follower
