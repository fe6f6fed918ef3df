#pragma once

#include "Core/Execution/IntentTable.h"
#include "Core/Messages/RouterMessages.h"
#include "Net/Follower/StreamFollower.h"
#include "Router/OutcomeStore.h"
#include "Router/PeerConnectionPool.h"

#include <set>

namespace sff::router {

/// Identifies one attempt of a call that must not be executed twice.
struct IntentCall {
  std::string m_KeyHash;
  std::string m_Digest;
  AttemptId m_Attempt;
  Instant m_Deadline;
};

/// The attempt's intent is valid: this router may dispatch the call, once.
struct IntentGranted {};
/// Another attempt with the same key is valid; its router stores the answer.
struct IntentTaken {
  execution::ValidIntent m_Valid;
};
/// The attempt was not dispatched and never will be.
struct IntentRefused {
  execution::Reason m_Reason = execution::Reason::LogUnavailable;
  milliseconds m_RetryAfter{0};
};
/// No valid attempt of the key is known.
struct IntentAbsent {};

using IntentStatus =
    std::variant<IntentGranted, IntentTaken, IntentRefused, IntentAbsent>;

/// Appends intents to the intents stream and follows the stream to learn which
/// attempt of each key is valid.
/// Thread safety: all calls and callbacks on the loop's thread.
class IntentService {
public:
  using Callback = std::function<void(IntentStatus)>;

  struct Options {
    IncarnationId m_Self;
    std::string m_PeerAddress;
    Offset m_RetentionOffsets = 100000;
    milliseconds m_Wait{3000};
    milliseconds m_RetryAfter{2000};
  };

  /// Precondition: all references outlive this object.
  IntentService(timers::EventLoop &Loop, follower::RelayClient &Relays,
                PeerConnectionPool &Peers, OutcomeStore &Store, Options Opts);
  ~IntentService();

  void start();

  /// Looks the key up in the intent table, without an append.
  IntentStatus lookup(const IntentCall &Call) const;
  /// Appends the intent and reports its verdict as soon as it is known, or a
  /// refusal if the log does not answer in time. A refused attempt has been
  /// voided and is never granted later.
  void appendIntent(const IntentCall &Call, Callback Done);
  /// Voids an attempt that is not going to be dispatched.
  /// Precondition: provably no byte of the call was sent.
  void voidAttempt(const IntentCall &Call);
  /// Records that the call was executed. Without \p Answer, its result is
  /// unknown.
  void onExecuted(const IntentCall &Call,
                  std::optional<execution::Answered> Answer);
  /// Fetches the answer from the router that executes or executed \p Valid.
  void fetchOutcome(const execution::ValidIntent &Valid, const std::string &Key,
                    std::function<void(messages::FetchOutcomeReply)> Done);

  bool logReachable() const { return m_LogReachable; }

private:
  struct PendingAttempt {
    IntentCall m_Call;
    Callback m_Done;
    Instant m_ExpiresAt;
  };

  void onRecord(Offset Position, const nlohmann::json &Data);
  void applyBatch();
  void resolvePending();
  void expire();
  void sendVoids();
  void append(const execution::IntentRecord &Value,
              std::function<void(messages::AppendReply)> Done);
  IntentRefused makeRefusal() const;

  timers::EventLoop &m_Loop;
  follower::RelayClient &m_Relays;
  PeerConnectionPool &m_Peers;
  OutcomeStore &m_Store;
  Options m_Options;
  timers::TimerService m_Timers;
  timers::TimerHandle m_ExpiryTimer;
  timers::TimerHandle m_VoidTimer;
  execution::IntentTable m_Table;
  /// Intents read at one offset; a relay appends several intents as one log
  /// record.
  Offset m_BatchPosition = 0;
  std::vector<execution::IntentRecord> m_Batch;
  std::map<AttemptId, PendingAttempt> m_PendingAttempts;
  /// Key hashes of voided attempts whose void record is not yet confirmed to be
  /// in the log.
  std::map<AttemptId, std::string> m_Voids;
  std::shared_ptr<follower::StreamFollower> m_Stream;
  bool m_LogReachable = false;
};

} // namespace sff::router
