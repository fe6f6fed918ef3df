#include "MemoryLog.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sff::test {

namespace {

constexpr milliseconds PollStep{5};

boost::asio::awaitable<void> pause(milliseconds Time) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  Time);
  co_await Timer.async_wait(boost::asio::use_awaitable);
}

std::uint64_t number(const http::Request &Message, std::string_view Name) {
  return std::stoull(Message.query(Name).value_or("0"));
}

} // namespace

MemoryLog::MemoryLog(std::uint16_t Port) {
  m_Server = std::make_unique<http::Server>(
      m_Loop.context(), http::ServerLimits{},
      [this](http::Request Message, http::Exchange &Caller) {
        return handle(std::move(Message), Caller);
      });
  m_Server->listen({"127.0.0.1", Port});
}

MemoryLog::~MemoryLog() {
  m_Server->stopAccepting();
  m_Loop.stop();
}

std::uint64_t MemoryLog::store(const std::string &Name, nlohmann::json Data) {
  std::lock_guard Lock(m_Mutex);
  Stream &Target = m_Streams[Name];
  Target.m_Records.push_back(std::move(Data));
  return Target.m_First + Target.m_Records.size() - 1;
}

void MemoryLog::append(const std::string &Stream, nlohmann::json Data) {
  store(Stream, std::move(Data));
}

void MemoryLog::retain(const std::string &Stream, std::size_t Kept) {
  std::lock_guard Lock(m_Mutex);
  auto &Target = m_Streams[Stream];
  const std::size_t Dropped = Target.m_Records.size() - Kept;
  Target.m_Records.erase(Target.m_Records.begin(),
                         Target.m_Records.begin() + Dropped);
  Target.m_First += Dropped;
}

std::vector<nlohmann::json> MemoryLog::records(const std::string &Stream) {
  std::lock_guard Lock(m_Mutex);
  return m_Streams[Stream].m_Records;
}

boost::asio::awaitable<void> MemoryLog::handle(http::Request Message,
                                               http::Exchange &Caller) {
  if (m_Outage) {
    co_await Caller.respond(http::makeProblem(503, "outage", ""));
    co_return;
  }
  const std::string Path(Message.path());
  const std::string Prefix = "/v1/streams/";
  const std::string Name =
      Path.substr(Prefix.size(), Path.rfind('/') - Prefix.size());
  if (Message.m_Method == "GET") {
    co_await read(std::move(Message), Name, Caller);
    co_return;
  }
  co_await pause(milliseconds(m_AppendDelayMs.load()));
  const std::uint64_t Position =
      store(Name, nlohmann::json::parse(Message.m_Body));
  if (m_LoseResponses) {
    Caller.abort();
    co_return;
  }
  nlohmann::json Answer = {{"offset", Position}};
  co_await Caller.respond(http::makeJsonResponse(200, Answer));
}

boost::asio::awaitable<void> MemoryLog::read(http::Request Message,
                                             std::string Name,
                                             http::Exchange &Caller) {
  const std::uint64_t From = number(Message, "from");
  const std::uint64_t Limit = number(Message, "max");
  const Instant Deadline = std::chrono::steady_clock::now() +
                           milliseconds(number(Message, "wait_ms"));
  nlohmann::json Answer;
  for (;;) {
    {
      std::lock_guard Lock(m_Mutex);
      const Stream &Source = m_Streams[Name];
      const std::uint64_t Head = Source.m_First + Source.m_Records.size() - 1;
      Answer["first"] = Source.m_First;
      Answer["head"] = Head;
      Answer["records"] = nlohmann::json::array();
      for (auto At = std::max(From, Source.m_First);
           At <= Head && Answer["records"].size() < Limit; ++At) {
        nlohmann::json Item = nlohmann::json::object();
        Item["offset"] = At;
        Item["data"] = Source.m_Records[At - Source.m_First];
        Answer["records"].push_back(Item);
      }
    }
    if (!Answer["records"].empty() || m_Outage ||
        std::chrono::steady_clock::now() >= Deadline)
      break;
    co_await pause(PollStep);
  }
  co_await Caller.respond(http::makeJsonResponse(200, Answer));
}

} // namespace sff::test
