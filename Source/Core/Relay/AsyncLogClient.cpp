#include "Relay/AsyncLogClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sff::relay {

namespace asio = boost::asio;

namespace {

/// The last record need not be the newest state, because the append of an older
/// snapshot may be delayed. So the last few records are compared.
constexpr Offset SnapshotsToCompare = 3;
/// A read from this offset returns the bounds of a stream and no records.
constexpr Offset BeyondLastOffset = Offset(1) << 62;
/// Delay before a result is posted again to a ring that was full.
constexpr milliseconds ResultRetryDelay{5};

} // namespace

AsyncLogClient::AsyncLogClient(timers::EventLoop &LogLoop,
                               timers::EventLoop &PeerLoop, http::Address Log,
                               milliseconds Timeout)
    : m_LogLoop(LogLoop), m_PeerLoop(PeerLoop),
      m_Http(LogLoop.context().get_executor()),
      m_Log(m_Http, std::move(Log), Timeout) {}

bool AsyncLogClient::postRequest(timers::EventLoop::Task Work) {
  return m_LogLoop.tryPost(std::move(Work));
}

/// Posts a result to the peer loop. Retries while the ring is full, because the
/// requester would wait forever for a result that was dropped.
void AsyncLogClient::postResult(timers::EventLoop::Task Work) {
  if (m_PeerLoop.tryPost(Work))
    return;
  auto Timer = std::make_shared<asio::steady_timer>(m_LogLoop.context(),
                                                    ResultRetryDelay);
  Timer->async_wait([this, Timer, Work = std::move(Work)](auto Error) {
    if (!Error)
      postResult(Work);
  });
}

void AsyncLogClient::read(std::string Stream, Offset From, std::size_t Limit,
                          milliseconds Wait, ReadCallback Done) {
  const bool Queued = postRequest([=, this] {
    asio::co_spawn(m_LogLoop.context(), m_Log.read(Stream, From, Limit, Wait),
                   [this, Done](std::exception_ptr Error,
                                std::optional<platform::ReadResult> Result) {
                     if (Error)
                       Result.reset();
                     postResult(
                         [Done, Result = std::move(Result)] { Done(Result); });
                   });
  });
  if (!Queued)
    asio::post(m_PeerLoop.context(), [Done] { Done(std::nullopt); });
}

void AsyncLogClient::append(std::string Stream, nlohmann::json Data,
                            AppendCallback Done) {
  const bool Queued = postRequest([=, this] {
    asio::co_spawn(
        m_LogLoop.context(), m_Log.append(Stream, Data),
        [this, Done](std::exception_ptr Error, platform::AppendResult Result) {
          if (Error)
            Result = {};
          postResult([Done, Result] { Done(Result); });
        });
  });
  if (!Queued)
    asio::post(m_PeerLoop.context(), [Done] {
      Done({platform::AppendStatus::NotAppended, 0});
    });
}

void AsyncLogClient::readSnapshots(SnapshotsCallback Done) {
  const bool Queued = postRequest([=, this] {
    asio::co_spawn(m_LogLoop.context(), fetchSnapshots(),
                   [this, Done](std::exception_ptr Error,
                                std::optional<StoredSnapshots> Result) {
                     if (Error)
                       Result.reset();
                     postResult(
                         [Done, Result = std::move(Result)] { Done(Result); });
                   });
  });
  if (!Queued)
    asio::post(m_PeerLoop.context(), [Done] { Done(std::nullopt); });
}

asio::awaitable<std::optional<StoredSnapshots>>
AsyncLogClient::fetchSnapshots() {
  std::string Stream = "snapshots";
  const auto SnapshotBounds =
      co_await m_Log.read(Stream, BeyondLastOffset, 1, milliseconds(0));
  if (!SnapshotBounds)
    co_return std::nullopt;
  StoredSnapshots Result;
  if (SnapshotBounds->m_Head > 0) {
    const Offset From =
        std::max(std::max<Offset>(1, SnapshotBounds->m_First),
                 SnapshotBounds->m_Head - std::min(SnapshotBounds->m_Head - 1,
                                                   SnapshotsToCompare - 1));
    const auto Newest =
        co_await m_Log.read(Stream, From, SnapshotsToCompare, milliseconds(0));
    if (!Newest)
      co_return std::nullopt;
    for (auto It = Newest->m_Records.rbegin(); It != Newest->m_Records.rend();
         ++It)
      Result.m_Snapshots.push_back(It->m_Data);
  }
  // The bounds of `control` are read after the snapshots. This detects a
  // snapshot whose next records have been removed from the log.
  std::string Control = "control";
  const auto ControlBounds =
      co_await m_Log.read(Control, BeyondLastOffset, 1, milliseconds(0));
  if (!ControlBounds)
    co_return std::nullopt;
  Result.m_OldestControlOffset = ControlBounds->m_First;
  Result.m_ControlHead = ControlBounds->m_Head;
  co_return Result;
}

} // namespace sff::relay
