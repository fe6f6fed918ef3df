#include "Router/IntentService.h"

#include "Common/Time/Clock.h"
#include "Net/Follower/StateFollower.h"

#include <boost/leaf/handle_errors.hpp>

namespace sff::router {

using execution::AttemptState;
using execution::Intent;
using execution::IntentDone;
using execution::IntentVoid;

namespace {

constexpr milliseconds AppendTimeout{2500};
constexpr milliseconds ExpiryPeriod{20};
constexpr milliseconds VoidPeriod{1000};
constexpr milliseconds FetchTimeout{1000};

} // namespace

IntentService::IntentService(timers::EventLoop &Loop,
                             follower::RelayClient &Relays,
                             PeerConnectionPool &Peers, OutcomeStore &Store,
                             Options Opts)
    : m_Loop(Loop), m_Relays(Relays), m_Peers(Peers), m_Store(Store),
      m_Options(std::move(Opts)), m_Timers(Loop.context().get_executor()),
      m_Table(m_Options.m_RetentionOffsets) {}

IntentService::~IntentService() {
  if (m_Stream)
    m_Stream->stop();
}

void IntentService::start() {
  follower::StreamFollower::Callbacks Handlers;
  Handlers.m_OnRecord = [this](Offset Position, const nlohmann::json &Data) {
    onRecord(Position, Data);
  };
  // Older intents are beyond the log's retention, on every host alike.
  Handlers.m_OnOffsetExpired = [this](Offset OldestOffset) {
    m_Table.skip(OldestOffset - 1);
    m_Stream->resumeFrom(OldestOffset);
  };
  // Called after the records of each reply; a batch is never split between two
  // replies.
  Handlers.m_OnLogStatus = [this](bool Reachable, Offset) {
    m_LogReachable = Reachable;
    applyBatch();
  };
  m_Stream = follower::StreamFollower::start(
      m_Loop, m_Relays, follower::IntentsStream, 1, std::move(Handlers));
  m_ExpiryTimer = m_Timers.every(ExpiryPeriod, [this] { expire(); });
  m_VoidTimer = m_Timers.every(VoidPeriod, [this] { sendVoids(); });
}

IntentStatus IntentService::lookup(const IntentCall &Call) const {
  const auto Valid = m_Table.find(Call.m_KeyHash);
  if (!Valid)
    return IntentAbsent{};
  if (Valid->m_Intent.m_Digest != Call.m_Digest)
    return IntentRefused{execution::Reason::KeyConflict, milliseconds(0)};
  return IntentTaken{*Valid};
}

IntentRefused IntentService::makeRefusal() const {
  return {execution::Reason::LogUnavailable, m_Options.m_RetryAfter};
}

void IntentService::appendIntent(const IntentCall &Call, Callback Done) {
  if (!m_LogReachable) {
    Done(makeRefusal());
    return;
  }
  m_Store.onStarted(Call.m_KeyHash);
  m_PendingAttempts[Call.m_Attempt] = {
      Call, std::move(Done),
      std::min(Call.m_Deadline, now() + m_Options.m_Wait)};
  const Intent Record{Call.m_KeyHash, Call.m_Attempt, m_Options.m_Self,
                      m_Options.m_PeerAddress, Call.m_Digest};
  append(Record, [this, Attempt = Call.m_Attempt](messages::AppendReply Reply) {
    const auto It = m_PendingAttempts.find(Attempt);
    // If the outcome of the append is unknown, the record may still arrive, so
    // only the stream or the timeout decides.
    if (It == m_PendingAttempts.end() ||
        Reply.m_Outcome != messages::AppendOutcome::NotAppended)
      return;
    It->second.m_ExpiresAt = now();
    expire();
  });
}

void IntentService::append(const execution::IntentRecord &Value,
                           std::function<void(messages::AppendReply)> Done) {
  m_Relays.append(follower::IntentsStream, execution::toJson(Value),
                  AppendTimeout, std::move(Done));
}

void IntentService::onRecord(Offset Position, const nlohmann::json &Data) {
  if (Position != m_BatchPosition)
    applyBatch();
  m_BatchPosition = Position;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Value, execution::intentFromJson(Data));
        m_Batch.push_back(std::move(Value));
        return {};
      },
      [&](const codec::DecodeError &Error) {
        log::warning(log::Category::Execution, "intent.undecodable",
                     {{"offset", Position}, {"detail", Error.m_Detail}});
      },
      [] {});
}

void IntentService::applyBatch() {
  if (m_BatchPosition > m_Table.appliedOffset())
    m_Table.apply(m_BatchPosition, m_Batch);
  m_Batch.clear();
  resolvePending();
}

void IntentService::resolvePending() {
  std::vector<std::pair<PendingAttempt, IntentStatus>> Resolved;
  for (auto It = m_PendingAttempts.begin(); It != m_PendingAttempts.end();) {
    const IntentCall &Call = It->second.m_Call;
    const auto Verdict = m_Table.stateOf(Call.m_KeyHash, Call.m_Attempt);
    if (Verdict == AttemptState::Pending) {
      ++It;
      continue;
    }
    IntentStatus Answer = IntentGranted{};
    if (Verdict != AttemptState::Valid)
      Answer = lookup(Call);
    Resolved.emplace_back(std::move(It->second), std::move(Answer));
    It = m_PendingAttempts.erase(It);
  }
  for (auto &[Item, Answer] : Resolved) {
    const auto *Taken = std::get_if<IntentTaken>(&Answer);
    const bool Ours =
        Taken && Taken->m_Valid.m_Intent.m_Router == m_Options.m_Self;
    if (!std::holds_alternative<IntentGranted>(Answer) && !Ours)
      m_Store.remove(Item.m_Call.m_KeyHash);
    Item.m_Done(std::move(Answer));
  }
}

void IntentService::expire() {
  std::vector<PendingAttempt> Expired;
  for (auto It = m_PendingAttempts.begin(); It != m_PendingAttempts.end();) {
    if (It->second.m_ExpiresAt > now()) {
      ++It;
      continue;
    }
    Expired.push_back(std::move(It->second));
    It = m_PendingAttempts.erase(It);
  }
  for (PendingAttempt &Item : Expired) {
    voidAttempt(Item.m_Call);
    Item.m_Done(makeRefusal());
  }
}

void IntentService::voidAttempt(const IntentCall &Call) {
  // Another attempt with this key may be executing at this router.
  const auto Valid = m_Table.find(Call.m_KeyHash);
  if (!Valid || Valid->m_Intent.m_Attempt == Call.m_Attempt)
    m_Store.remove(Call.m_KeyHash);
  m_Voids[Call.m_Attempt] = Call.m_KeyHash;
  sendVoids();
}

void IntentService::sendVoids() {
  for (const auto &[Attempt, KeyHash] : m_Voids)
    append(IntentVoid{KeyHash, Attempt},
           [this, Attempt = Attempt](messages::AppendReply Reply) {
             if (Reply.m_Outcome == messages::AppendOutcome::Appended)
               m_Voids.erase(Attempt);
           });
}

void IntentService::onExecuted(const IntentCall &Call,
                               std::optional<execution::Answered> Answer) {
  if (!Answer) {
    m_Store.remove(Call.m_KeyHash);
    return;
  }
  m_Store.onAnswered(Call.m_KeyHash, *Answer);
  append(IntentDone{Call.m_KeyHash, Call.m_Attempt},
         [](messages::AppendReply) {});
}

void IntentService::fetchOutcome(
    const execution::ValidIntent &Valid, const std::string &Key,
    std::function<void(messages::FetchOutcomeReply)> Done) {
  if (Valid.m_Intent.m_Router == m_Options.m_Self) {
    Done(m_Store.find(Key));
    return;
  }
  m_Peers.at(Valid.m_Intent.m_RouterAddress)
      .call(messages::FetchOutcome{Key, Valid.m_Offset}, FetchTimeout,
            [Done](auto Reply) {
              Done(Reply.value_or(messages::FetchOutcomeReply()));
            });
}

} // namespace sff::router
