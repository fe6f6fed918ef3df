#pragma once

#include "Core/Fold/ClusterState.h"
#include "Net/Follower/StreamFollower.h"

#include <functional>
#include <memory>

namespace sff::follower {

/// Name of the stream that holds catalogue, leases, ownership and slots.
inline constexpr const char *ControlStream = "control";
/// Name of the stream that holds intents.
inline constexpr const char *IntentsStream = "intents";

/// Keeps a folded copy of the control stream up to date.
/// Thread safety: all calls and callbacks on the loop's thread.
class StateFollower {
public:
  struct Callbacks {
    /// After each folded record, with its effect.
    std::function<void(Offset, const fold::Record &, const fold::ApplyResult &)>
        m_OnApplied;
    /// After a snapshot replaced the state.
    std::function<void()> m_OnReplaced;
    std::function<void(bool LogReachable, Offset Head)> m_OnContact;
  };

  /// Precondition: \p Loop and \p Relays outlive this object.
  StateFollower(timers::DutyLoop &Loop, RelayClient &Relays,
                Callbacks Handlers);
  ~StateFollower();

  /// Starts to follow. Call it on the loop's thread.
  void start();

  const fold::ClusterState &state() const { return m_State; }

private:
  void onRecord(Offset Position, const nlohmann::json &Data);
  void onBehind();
  void onSnapshot(std::optional<messages::FetchSnapshotReply> Reply);

  timers::DutyLoop &m_Loop;
  RelayClient &m_Relays;
  timers::TimerService m_Timers;
  timers::Subscription m_Retry;
  Callbacks m_Handlers;
  fold::ClusterState m_State;
  std::shared_ptr<StreamFollower> m_Stream;
};

} // namespace sff::follower
