#include "Relay/AppendPath.h"

#include "Core/Relay/BatchRecord.h"
#include "Net/Follower/StateFollower.h"

namespace sff::relay {

namespace {

constexpr std::int64_t MaxForwardHops = 2;
/// Relays to try when one answers that it did not append.
constexpr std::size_t MaxRelaysToTry = 2;
constexpr std::size_t MaxQueuedIntents = 8192;
/// A second append may start while one waits for its answer, so that a slow
/// answer does not hold all intents back.
constexpr std::size_t MaxBatchesInFlight = 4;

messages::AppendReply notAppended() {
  return {messages::AppendOutcome::NotAppended, 0};
}

} // namespace

AppendPath::AppendPath(PlatformSide &Platform, PeerPool &Peers,
                       PeerDirectory &Directory, const StreamFeed &Control,
                       const StreamFeed &Intents, milliseconds ForwardTimeout)
    : m_Platform(Platform), m_Peers(Peers), m_Directory(Directory),
      m_Control(Control), m_Intents(Intents), m_ForwardTimeout(ForwardTimeout) {
}

AppendPath::Done AppendPath::count(Done Reply) {
  ++m_Pending;
  return [this, Reply = std::move(Reply)](messages::AppendReply Result) {
    --m_Pending;
    Reply(Result);
  };
}

void AppendPath::append(messages::Append Request, Done Reply) {
  if (Request.m_Stream == follower::ControlStream) {
    appendOne(std::move(Request), m_Control, count(std::move(Reply)));
    return;
  }
  if (Request.m_Stream != follower::IntentsStream) {
    log::warning(log::Category::Peer, "append.unknown_stream",
                 {{"stream", Request.m_Stream}});
    Reply(notAppended());
    return;
  }
  // Another relay has batched what it passes on.
  if (Request.m_Hops > 0 || isBatch(Request.m_Record)) {
    appendOne(std::move(Request), m_Intents, count(std::move(Reply)));
    return;
  }
  queueIntent(std::move(Request.m_Record), count(std::move(Reply)));
}

std::vector<std::string> AppendPath::relaysWithLog(const StreamFeed &Feed) {
  std::vector<std::string> Result;
  if (!Feed.source().empty() && Feed.logHops() != messages::NoLogPath)
    Result.push_back(Feed.source());
  for (std::string &Address : m_Directory.sourcesWithLog())
    if (Result.empty() || Address != Result.front())
      Result.push_back(std::move(Address));
  if (Result.size() > MaxRelaysToTry)
    Result.resize(MaxRelaysToTry);
  return Result;
}

void AppendPath::appendOne(messages::Append Request, const StreamFeed &Feed,
                           Done Reply) {
  if (!Feed.hasLogContact()) {
    forward(std::move(Request), relaysWithLog(Feed), std::move(Reply));
    return;
  }
  std::string Stream = Request.m_Stream;
  nlohmann::json Record = Request.m_Record;
  m_Platform.append(
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
          forward(std::move(Request), relaysWithLog(Feed), std::move(Reply));
          return;
        }
      });
}

void AppendPath::forward(messages::Append Request,
                         std::vector<std::string> Relays, Done Reply) {
  if (Request.m_Hops >= MaxForwardHops || Relays.empty()) {
    Reply(notAppended());
    return;
  }
  const std::string Address = std::move(Relays.front());
  Relays.erase(Relays.begin());
  messages::Append Passed = Request;
  ++Passed.m_Hops;
  m_Peers.at(Address).call(
      Passed, m_ForwardTimeout,
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

void AppendPath::queueIntent(nlohmann::json Record, Done Reply) {
  if (m_Queue.size() >= MaxQueuedIntents) {
    Reply(notAppended());
    return;
  }
  m_Queue.push_back({std::move(Record), std::move(Reply)});
  sendIntents();
}

void AppendPath::sendIntents() {
  if (m_BatchesInFlight >= MaxBatchesInFlight || m_Queue.empty())
    return;
  std::vector<nlohmann::json> Records;
  std::vector<Done> Replies;
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
              for (const Done &Reply : Replies)
                Reply(Result);
              sendIntents();
            });
}

} // namespace sff::relay
