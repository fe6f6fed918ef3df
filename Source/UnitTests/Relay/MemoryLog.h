#pragma once

#include "Net/Http/Server.h"
#include "Net/Timers/EventLoop.h"

#include <atomic>
#include <map>
#include <mutex>

namespace sff::test {

/// In-memory log that implements the HTTP interface of the platform's log.
class MemoryLog {
public:
  explicit MemoryLog(std::uint16_t Port);
  ~MemoryLog();

  /// Appends a record directly, without a relay.
  void append(const std::string &Stream, nlohmann::json Data);
  /// Removes all records of a stream except the newest \p Kept.
  void retain(const std::string &Stream, std::size_t Kept);
  std::vector<nlohmann::json> records(const std::string &Stream);

  std::atomic<bool> m_Outage{false};
  std::atomic<bool> m_LoseResponses{false};
  std::atomic<int> m_AppendDelayMs{0};

private:
  struct Stream {
    std::uint64_t m_First = 1;
    std::vector<nlohmann::json> m_Records;
  };

  boost::asio::awaitable<void> handle(http::Request Message,
                                      http::Exchange &Caller);
  boost::asio::awaitable<void> read(http::Request Message, std::string Name,
                                    http::Exchange &Caller);
  std::uint64_t store(const std::string &Name, nlohmann::json Data);

  std::mutex m_Mutex;
  std::map<std::string, Stream> m_Streams;
  timers::EventLoop m_Loop{"memory-log", 64};
  std::unique_ptr<http::Server> m_Server;
};

} // namespace sff::test
