#pragma once

#include "Core/Fold/ClusterState.h"
#include "Net/Follower/StreamFollower.h"

#include <functional>
#include <memory>

namespace sff::follower {

/// Name of the stream with catalogue, lease, ownership and slot records.
inline constexpr const char *ControlStream = "control";
/// Name of the stream with intent records.
inline constexpr const char *IntentsStream = "intents";

/// Maintains a local copy of the cluster state by applying the records of the
/// control stream in order.
/// Thread safety: all calls and callbacks on the loop's thread.
class StateFollower {
public:
  struct Callbacks {
    /// Called after each applied record, with its effect.
    std::function<void(Offset, const fold::Record &, const fold::ApplyResult &)>
        m_OnApplied;
    /// Called after a snapshot has replaced the state.
    std::function<void()> m_OnStateReplaced;
    /// See StreamFollower::Callbacks::m_OnLogStatus.
    std::function<void(bool LogReachable, Offset Head)> m_OnLogStatus;
  };

  /// Precondition: \p Loop and \p Relays must outlive this object.
  StateFollower(timers::EventLoop &Loop, RelayClient &Relays,
                Callbacks Handlers);
  ~StateFollower();

  /// Starts following the stream. Call it on the loop's thread.
  void start();

  const fold::ClusterState &state() const { return m_State; }

private:
  void onRecord(Offset RecordOffset, const nlohmann::json &Data);
  void fetchSnapshot();
  void onSnapshot(std::optional<messages::FetchSnapshotReply> Reply);

  timers::EventLoop &m_Loop;
  RelayClient &m_Relays;
  timers::TimerService m_Timers;
  timers::TimerHandle m_RetryTimer;
  Callbacks m_Handlers;
  fold::ClusterState m_State;
  std::shared_ptr<StreamFollower> m_Stream;
};

} // namespace sff::follower
