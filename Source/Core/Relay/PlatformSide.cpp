#include "Relay/PlatformSide.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sff::relay {

namespace asio = boost::asio;

namespace {

/// A late snapshot may lie before the newest one, so a few are compared.
constexpr Offset SnapshotsToCompare = 3;
/// A read from here returns the bounds of a stream and no record.
constexpr Offset BeyondAllRecords = Offset(1) << 62;
/// Pause before a result is offered again to a full ring.
constexpr milliseconds DeliveryRetry{5};

} // namespace

PlatformSide::PlatformSide(timers::DutyLoop &Platform, timers::DutyLoop &Peer,
                           http::Address Log, milliseconds Timeout)
    : m_Platform(Platform), m_Peer(Peer),
      m_Http(Platform.context().get_executor()),
      m_Log(m_Http, std::move(Log), Timeout) {}

bool PlatformSide::submit(timers::DutyLoop::Task Work) {
  return m_Platform.tryPost(std::move(Work));
}

/// Hands a result to the peer loop. A result may not be lost, because the
/// requester would wait for ever, so a full ring is tried again.
void PlatformSide::deliver(timers::DutyLoop::Task Work) {
  if (m_Peer.tryPost(Work))
    return;
  auto Timer =
      std::make_shared<asio::steady_timer>(m_Platform.context(), DeliveryRetry);
  Timer->async_wait([this, Timer, Work = std::move(Work)](auto Error) {
    if (!Error)
      deliver(Work);
  });
}

void PlatformSide::read(std::string Stream, Offset From, std::size_t Limit,
                        milliseconds Wait, ReadDone Done) {
  const bool Queued = submit([=, this] {
    asio::co_spawn(m_Platform.context(), m_Log.read(Stream, From, Limit, Wait),
                   [this, Done](std::exception_ptr Error,
                                std::optional<platform::ReadResult> Result) {
                     if (Error)
                       Result.reset();
                     deliver(
                         [Done, Result = std::move(Result)] { Done(Result); });
                   });
  });
  if (!Queued)
    asio::post(m_Peer.context(), [Done] { Done(std::nullopt); });
}

void PlatformSide::append(std::string Stream, nlohmann::json Data,
                          AppendDone Done) {
  const bool Queued = submit([=, this] {
    asio::co_spawn(
        m_Platform.context(), m_Log.append(Stream, Data),
        [this, Done](std::exception_ptr Error, platform::AppendResult Result) {
          if (Error)
            Result = {};
          deliver([Done, Result] { Done(Result); });
        });
  });
  if (!Queued)
    asio::post(m_Peer.context(), [Done] {
      Done({platform::AppendStatus::NotAppended, 0});
    });
}

void PlatformSide::readSnapshots(SnapshotsDone Done) {
  const bool Queued = submit([=, this] {
    asio::co_spawn(m_Platform.context(), fetchSnapshots(),
                   [this, Done](std::exception_ptr Error,
                                std::optional<StoredSnapshots> Result) {
                     if (Error)
                       Result.reset();
                     deliver(
                         [Done, Result = std::move(Result)] { Done(Result); });
                   });
  });
  if (!Queued)
    asio::post(m_Peer.context(), [Done] { Done(std::nullopt); });
}

asio::awaitable<std::optional<StoredSnapshots>> PlatformSide::fetchSnapshots() {
  std::string Stream = "snapshots";
  const auto Bounds =
      co_await m_Log.read(Stream, BeyondAllRecords, 1, milliseconds(0));
  if (!Bounds)
    co_return std::nullopt;
  StoredSnapshots Result;
  if (Bounds->m_Head > 0) {
    const Offset From = std::max(
        std::max<Offset>(1, Bounds->m_First),
        Bounds->m_Head - std::min(Bounds->m_Head - 1, SnapshotsToCompare - 1));
    const auto Newest =
        co_await m_Log.read(Stream, From, SnapshotsToCompare, milliseconds(0));
    if (!Newest)
      co_return std::nullopt;
    for (auto It = Newest->m_Records.rbegin(); It != Newest->m_Records.rend();
         ++It)
      Result.m_Snapshots.push_back(It->m_Data);
  }
  // Read after the snapshots, so that a snapshot which is old enough to have
  // lost its successors is noticed.
  std::string Control = "control";
  const auto Kept =
      co_await m_Log.read(Control, BeyondAllRecords, 1, milliseconds(0));
  if (!Kept)
    co_return std::nullopt;
  Result.m_ControlFirst = Kept->m_First;
  Result.m_ControlHead = Kept->m_Head;
  co_return Result;
}

} // namespace sff::relay
