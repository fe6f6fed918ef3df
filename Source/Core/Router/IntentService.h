#pragma once

#include "Core/Execution/IntentTable.h"
#include "Core/Messages/RouterMessages.h"
#include "Net/Follower/StreamFollower.h"
#include "Router/ControllerPool.h"
#include "Router/OutcomeStore.h"

#include <set>

namespace sff::router {

/// The identity of one call that must not be executed twice.
struct IntentCall {
  std::string m_KeyHash;
  std::string m_Digest;
  AttemptId m_Attempt;
  Instant m_Deadline;
};

/// This router may dispatch the call, once.
struct IntentGranted {};
/// Another attempt of the key is valid; its author holds the answer.
struct IntentTaken {
  execution::ValidIntent m_Valid;
};
/// No intent of this attempt is, or ever becomes, dispatched.
struct IntentRefused {
  execution::Reason m_Reason = execution::Reason::LogUnavailable;
  milliseconds m_RetryAfter{0};
};
/// No attempt of the key is known.
struct IntentAbsent {};

using IntentAnswer =
    std::variant<IntentGranted, IntentTaken, IntentRefused, IntentAbsent>;

/// Announces calls in the intents stream and follows it.
/// Thread safety: all calls and callbacks on the loop's thread.
class IntentService {
public:
  using Done = std::function<void(IntentAnswer)>;

  struct Options {
    IncarnationId m_Self;
    std::string m_PeerAddress;
    Offset m_RetentionOffsets = 100000;
    milliseconds m_Wait{3000};
    milliseconds m_RetryAfter{2000};
  };

  /// Precondition: all references outlive this object.
  IntentService(timers::DutyLoop &Loop, follower::RelayClient &Relays,
                ControllerPool &Peers, OutcomeStore &Store, Options Chosen);
  ~IntentService();

  void start();

  /// What the table says about the key, without an append.
  IntentAnswer look(const IntentCall &Call) const;
  /// Appends the intent and answers when its verdict is known, or with a
  /// refusal when the log does not answer in time. A refused attempt has been
  /// voided and is never granted later.
  void announce(const IntentCall &Call, Done Answer);
  /// Gives up a granted attempt.
  /// Precondition: no byte of the call can have left.
  void giveUp(const IntentCall &Call);
  /// The call has been executed; an empty answer means that it is unknown.
  void onExecuted(const IntentCall &Call,
                  std::optional<execution::Answered> Answer);
  /// Asks the author of \p Valid for the answer.
  void fetchFrom(const execution::ValidIntent &Valid, const std::string &Key,
                 std::function<void(messages::FetchOutcomeReply)> Done);

  bool logReachable() const { return m_LogReachable; }

private:
  struct Pending {
    IntentCall m_Call;
    Done m_Done;
    Instant m_GiveUpAt;
  };

  void onRecord(Offset Position, const nlohmann::json &Data);
  void applyBatch();
  void settle();
  void expire();
  void sendVoids();
  void append(const execution::IntentRecord &Value,
              std::function<void(messages::AppendReply)> Done);
  IntentRefused refusal() const;

  timers::DutyLoop &m_Loop;
  follower::RelayClient &m_Relays;
  ControllerPool &m_Peers;
  OutcomeStore &m_Store;
  Options m_Options;
  timers::TimerService m_Timers;
  timers::Subscription m_ExpiryTimer;
  timers::Subscription m_VoidTimer;
  execution::IntentTable m_Table;
  /// Records of one offset; a relay appends several intents as one record.
  Offset m_BatchPosition = 0;
  std::vector<execution::IntentRecord> m_Batch;
  std::map<AttemptId, Pending> m_Pending;
  /// Voids that are not known to be in the log.
  std::map<AttemptId, std::string> m_Voids;
  std::shared_ptr<follower::StreamFollower> m_Stream;
  bool m_LogReachable = false;
};

} // namespace sff::router
