#pragma once

#include "Net/Follower/RelayClient.h"
#include "Net/Timers/TimerService.h"

#include <functional>
#include <memory>
#include <string>

namespace sff::follower {

/// Reads one stream through the relays, in order and without gaps.
/// Thread safety: all calls and callbacks on the loop's thread.
class StreamFollower : public std::enable_shared_from_this<StreamFollower> {
public:
  struct Callbacks {
    /// One record, in offset order.
    std::function<void(Offset, const nlohmann::json &)> m_OnRecord;
    /// The relays no longer hold the next offset. The handler fetches a
    /// snapshot and calls continueFrom().
    std::function<void(Offset FirstKept)> m_OnBehind;
    /// After each answer: whether the relay has contact with the log, and the
    /// head offset that it knows. Also called with false when no relay
    /// answers.
    std::function<void(bool LogReachable, Offset Head)> m_OnContact;
  };

  /// Precondition: \p Loop and \p Relays outlive the follower.
  static std::shared_ptr<StreamFollower> start(timers::DutyLoop &Loop,
                                               RelayClient &Relays,
                                               std::string Stream, Offset From,
                                               Callbacks Handlers);

  /// Continues at \p From, after a snapshot was installed.
  void continueFrom(Offset From);
  void stop() { m_Stopped = true; }

private:
  StreamFollower(timers::DutyLoop &Loop, RelayClient &Relays,
                 std::string Stream, Offset From, Callbacks Handlers);
  void fetch();
  void onReply(std::optional<messages::FetchRecordsReply> Reply);
  void fetchLater();

  RelayClient &m_Relays;
  timers::TimerService m_Timers;
  timers::Subscription m_Pause;
  std::string m_Stream;
  Offset m_Next;
  Callbacks m_Handlers;
  bool m_Stopped = false;
};

} // namespace sff::follower
