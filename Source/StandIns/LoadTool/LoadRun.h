#pragma once

#include "Net/Http/Client.h"
#include "StandIns/LoadTool/LoadSummary.h"
#include "StandIns/Support/Wait.h"

#include <boost/asio/io_context.hpp>

#include <random>

namespace sff::standin {

struct LoadOptions {
  std::vector<http::Address> m_Targets;
  std::vector<std::string> m_Entries;
  double m_RequestsPerSecond = 0; ///< 0: closed loop of m_Concurrency callers.
  std::int64_t m_Concurrency = 1; ///< Also the limit of requests in flight.
  std::int64_t m_MaxRequests = 0;
  milliseconds m_Duration{0};
  milliseconds m_Timeout{0};
  double m_BatchShare = 0;
  std::int64_t m_MaxTokens = 0;
  std::int64_t m_PromptBytes = 0; ///< Shared prefix of all prompts.
  bool m_Stream = false;
  bool m_ReturnAfterRefusal = false;
  std::uint64_t m_Seed = 0;
};

/// Sends requests to a router or an engine, bounded in number and time, and
/// checks each answer. Thread safety: use from the io_context's thread.
class LoadRun {
public:
  LoadRun(boost::asio::io_context &Context, LoadOptions Options);

  /// Runs until all requests have ended.
  boost::asio::awaitable<void> run();

  nlohmann::json report() const;

private:
  struct Ticket {
    http::Address m_Target;
    std::string m_Entry;
    std::string m_Prompt;
    std::string m_Class;
  };
  struct Sent {
    RequestResult m_Result;
    /// Set when a refusal states when to return.
    std::optional<milliseconds> m_RetryAfter;
  };

  boost::asio::awaitable<void> runOpenLoop();
  boost::asio::awaitable<void> runCaller();
  boost::asio::awaitable<void> runRequest(Ticket Chosen);
  boost::asio::awaitable<Sent> send(Ticket Chosen);
  boost::asio::awaitable<Sent>
  receive(std::shared_ptr<http::ResponseStream> Stream, Ticket Chosen,
          Instant Start);
  void spawn(boost::asio::awaitable<void> Task);
  http::Request makeRequest(const Ticket &Chosen) const;
  Sent judge(const Ticket &Chosen, const http::Response &Answer) const;
  bool mayStart() const;
  Ticket draw();

  boost::asio::io_context &m_Context;
  LoadOptions m_Options;
  http::Client m_Http;
  LoadSummary m_Summary;
  std::mt19937_64 m_Random;
  Instant m_Start;
  Instant m_End;
  std::int64_t m_Started = 0;
  std::int64_t m_Active = 0;
  Signal m_Ended;
};

} // namespace sff::standin
