#include "Relay/RecordAppender.h"

#include "Core/Relay/BatchRecord.h"
#include "Net/Follower/StateFollower.h"

namespace sff::relay {

namespace {

constexpr std::int64_t MaxForwardHops = 2;
/// Number of relays to try in turn while each reports NotAppended.
constexpr std::size_t MaxRelaysToTry = 2;
constexpr std::size_t MaxQueuedIntents = 8192;
/// Several batches may be in flight, so that one slow response does not delay
/// all intents.
constexpr std::size_t MaxBatchesInFlight = 4;

messages::AppendReply notAppended() {
  return {messages::AppendOutcome::NotAppended, 0};
}

} // namespace

RecordAppender::RecordAppender(AsyncLogClient &Log, PeerPool &Peers,
                               PeerDirectory &Directory,
                               const StreamFeed &Control,
                               const StreamFeed &Intents,
                               milliseconds ForwardTimeout)
    : m_Log(Log), m_Peers(Peers), m_Directory(Directory), m_Control(Control),
      m_Intents(Intents), m_ForwardTimeout(ForwardTimeout) {}

RecordAppender::ReplyCallback
RecordAppender::trackPending(ReplyCallback Reply) {
  ++m_Pending;
  return [this, Reply = std::move(Reply)](messages::AppendReply Result) {
    --m_Pending;
    Reply(Result);
  };
}

void RecordAppender::append(messages::Append Request, ReplyCallback Reply) {
  if (Request.m_Stream == follower::ControlStream) {
    appendOne(std::move(Request), m_Control, trackPending(std::move(Reply)));
    return;
  }
  if (Request.m_Stream != follower::IntentsStream) {
    log::warning(log::Category::Peer, "append.unknown_stream",
                 {{"stream", Request.m_Stream}});
    Reply(notAppended());
    return;
  }
  // Forwarded records were already batched by the forwarding relay.
  if (Request.m_Hops > 0 || isBatch(Request.m_Record)) {
    appendOne(std::move(Request), m_Intents, trackPending(std::move(Reply)));
    return;
  }
  queueIntent(std::move(Request.m_Record), trackPending(std::move(Reply)));
}

std::vector<std::string>
RecordAppender::relaysWithLogAccess(const StreamFeed &Feed) {
  std::vector<std::string> Result;
  if (!Feed.source().empty() && Feed.logHops() != messages::NoLogPath)
    Result.push_back(Feed.source());
  for (std::string &Address : m_Directory.sourcesWithLogAccess())
    if (Result.empty() || Address != Result.front())
      Result.push_back(std::move(Address));
  if (Result.size() > MaxRelaysToTry)
    Result.resize(MaxRelaysToTry);
  return Result;
}

void RecordAppender::appendOne(messages::Append Request, const StreamFeed &Feed,
                               ReplyCallback Reply) {
  if (!Feed.hasDirectLogAccess()) {
    forward(std::move(Request), relaysWithLogAccess(Feed), std::move(Reply));
    return;
  }
  std::string Stream = Request.m_Stream;
  nlohmann::json Record = Request.m_Record;
  m_Log.append(
      std::move(Stream), std::move(Record),
      [this, &Feed, Request = std::move(Request),
       Reply = std::move(Reply)](platform::AppendResult Result) mutable {
        switch (Result.m_Status) {
        case platform::AppendStatus::Appended:
          Reply({messages::AppendOutcome::Appended, Result.m_Offset});
          return;
        case platform::AppendStatus::Unknown:
          Reply({messages::AppendOutcome::Unknown, 0});
          return;
        case platform::AppendStatus::NotAppended:
          forward(std::move(Request), relaysWithLogAccess(Feed),
                  std::move(Reply));
          return;
        }
      });
}

void RecordAppender::forward(messages::Append Request,
                             std::vector<std::string> Relays,
                             ReplyCallback Reply) {
  if (Request.m_Hops >= MaxForwardHops || Relays.empty()) {
    Reply(notAppended());
    return;
  }
  const std::string Address = std::move(Relays.front());
  Relays.erase(Relays.begin());
  messages::Append Forwarded = Request;
  ++Forwarded.m_Hops;
  m_Peers.at(Address).call(
      Forwarded, m_ForwardTimeout,
      [this, Request = std::move(Request), Relays = std::move(Relays),
       Reply = std::move(Reply)](std::optional<messages::AppendReply> Result) {
        if (!Result)
          Reply({messages::AppendOutcome::Unknown, 0});
        else if (Result->m_Outcome != messages::AppendOutcome::NotAppended)
          Reply(*Result);
        else
          forward(Request, Relays, Reply);
      });
}

void RecordAppender::queueIntent(nlohmann::json Record, ReplyCallback Reply) {
  if (m_Queue.size() >= MaxQueuedIntents) {
    Reply(notAppended());
    return;
  }
  m_Queue.push_back({std::move(Record), std::move(Reply)});
  sendIntents();
}

void RecordAppender::sendIntents() {
  if (m_BatchesInFlight >= MaxBatchesInFlight || m_Queue.empty())
    return;
  std::vector<nlohmann::json> Records;
  std::vector<ReplyCallback> Replies;
  while (!m_Queue.empty() && Records.size() < MaxBatchItems) {
    Records.push_back(std::move(m_Queue.front().m_Record));
    Replies.push_back(std::move(m_Queue.front().m_Reply));
    m_Queue.pop_front();
  }
  ++m_BatchesInFlight;
  messages::Append Request;
  Request.m_Stream = follower::IntentsStream;
  Request.m_Record = makeBatch(std::move(Records));
  appendOne(std::move(Request), m_Intents,
            [this, Replies = std::move(Replies)](messages::AppendReply Result) {
              --m_BatchesInFlight;
              for (const ReplyCallback &Reply : Replies)
                Reply(Result);
              sendIntents();
            });
}

} // namespace sff::relay
