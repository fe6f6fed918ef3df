#pragma once

#include "Core/Fold/Records.h"
#include "Relay/RelayNode.h"
#include "Relay/RelaySettings.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

#include <unistd.h>

#include <future>
#include <thread>

namespace sff::test {

constexpr milliseconds EventuallyTimeout{20000};
constexpr milliseconds CallTimeout{5000};
/// ctest runs each test in its own process and several of them in parallel.
/// Each process starts in a block of the port range that depends on its id.
constexpr int FirstPort = 42000;
constexpr int PortsPerProcess = 8;
constexpr int PortBlockCount = 100;
inline std::uint16_t NextPort = static_cast<std::uint16_t>(
    FirstPort + getpid() % PortBlockCount * PortsPerProcess);

/// Reserves a free port. The port stays bound for the lifetime of this object,
/// because outgoing connections and tests that run in parallel use the same
/// port range. reuse_address is set after the port was found to be free, so
/// that the server can bind it as well.
class ReservedPort {
public:
  ReservedPort() {
    using boost::asio::ip::tcp;
    boost::system::error_code Error;
    do {
      m_Port = NextPort++;
      m_Reserved = tcp::socket(m_Context, tcp::v4());
      m_Reserved.bind({boost::asio::ip::address_v4::loopback(), m_Port}, Error);
    } while (Error);
    m_Reserved.set_option(tcp::socket::reuse_address(true));
  }

  std::string str() const { return "127.0.0.1:" + std::to_string(m_Port); }

  std::uint16_t m_Port = 0;

private:
  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::socket m_Reserved{m_Context};
};

/// A relay and a connection to it.
class TestRelay {
public:
  TestRelay(std::string Host, const ReservedPort &Listen,
            const ReservedPort &Log, std::vector<std::string> Peers,
            int SnapshotRecords = 1000) {
    nlohmann::json Values;
    Values["process"] = {{"host", Host}, {"zone", "z-" + Host}};
    Values["relay"] = {
        {"listen", Listen.str()}, {"peers", Peers}, {"peer_timeout_ms", 500}};
    Values["log"] = {{"address", Log.str()},
                     {"timeout_ms", 500},
                     {"wait_ms", 300},
                     {"retry_ms", 50}};
    Values["snapshot"] = {{"records", SnapshotRecords}};
    Values["cache"] = {{"intent_records", 16}};
    Values["gossip"] = {{"min_period_ms", 30}, {"bytes_per_second", 100000}};
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(Checked, relay::makeSchema().check(Values, "test"));
          m_Node = std::make_unique<relay::RelayNode>(process::Context{
              Checked, {"sff-relay", Host, "z-" + Host, makeRandomId()}});
          return {};
        },
        [](const findings::FindingList &List) { ADD_FAILURE() << List; },
        [] { ADD_FAILURE(); });
    m_Node->start();
    m_PeerClient = std::make_unique<peer::PeerClient>(m_Loop, Listen.str());
  }

  ~TestRelay() {
    m_Node.reset();
    m_PeerClient.reset();
    m_Loop.stop();
  }

  template <typename Request>
  std::optional<typename Request::Reply> call(const Request &Body) {
    auto Done = std::make_shared<
        std::promise<std::optional<typename Request::Reply>>>();
    auto Answer = Done->get_future();
    m_PeerClient->call(Body, CallTimeout, [Done](auto Reply) {
      Done->set_value(std::move(Reply));
    });
    return Answer.get();
  }

  Offset applied() {
    const auto Status = call(messages::RelayStatus{true});
    return Status ? Status->m_AppliedOffset : 0;
  }

  messages::AppendReply append(const std::string &Stream,
                               const nlohmann::json &Record) {
    return call(messages::Append{Stream, Record, 0})
        .value_or(messages::AppendReply{});
  }

  std::vector<Offset> offsets(const std::string &Stream, Offset From) {
    std::vector<Offset> Result;
    const auto Reply =
        call(messages::FetchRecords{Stream, From, 500, milliseconds(0)});
    for (const auto &Item :
         Reply ? Reply->m_Records : std::vector<messages::StreamRecord>())
      Result.push_back(Item.m_Offset);
    return Result;
  }

  std::unique_ptr<relay::RelayNode> m_Node;

private:
  timers::EventLoop m_Loop{"test-caller", 256};
  std::unique_ptr<peer::PeerClient> m_PeerClient;
};

template <typename Predicate> bool eventually(Predicate Condition) {
  const Instant Deadline = std::chrono::steady_clock::now() + EventuallyTimeout;
  while (std::chrono::steady_clock::now() < Deadline) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

inline nlohmann::json makeChange(const std::string &Name, Offset Base = 0) {
  fold::CatalogueChange Change;
  Change.m_Id = makeId<RecordId>();
  Change.m_Entry = EntryName(Name);
  Change.m_BaseVersion = Base;
  Change.m_Spec.emplace();
  Change.m_Spec->m_Team = "team";
  Change.m_Spec->m_WeightBytes = 1;
  Change.m_Spec->m_BytesPerToken = 1;
  return fold::toJson(Change);
}

} // namespace sff::test
