#include "Net/Follower/StateFollower.h"

#include <boost/leaf/handle_errors.hpp>

namespace sff::follower {

namespace {

constexpr milliseconds SnapshotTimeout{5000};
constexpr milliseconds SnapshotRetryDelay{200};

} // namespace

StateFollower::StateFollower(timers::EventLoop &Loop, RelayClient &Relays,
                             Callbacks Handlers)
    : m_Loop(Loop), m_Relays(Relays), m_Timers(Loop.context().get_executor()),
      m_Handlers(std::move(Handlers)) {}

StateFollower::~StateFollower() {
  if (m_Stream)
    m_Stream->stop();
}

void StateFollower::start() {
  StreamFollower::Callbacks Handlers;
  Handlers.m_OnRecord = [this](Offset RecordOffset,
                               const nlohmann::json &Data) {
    onRecord(RecordOffset, Data);
  };
  Handlers.m_OnOffsetExpired = [this](Offset) { fetchSnapshot(); };
  Handlers.m_OnLogStatus = m_Handlers.m_OnLogStatus;
  m_Stream = StreamFollower::start(m_Loop, m_Relays, ControlStream, 1,
                                   std::move(Handlers));
}

void StateFollower::onRecord(Offset RecordOffset, const nlohmann::json &Data) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Value, fold::fromJson(Data));
        const fold::ApplyResult Result = m_State.apply(RecordOffset, Value);
        if (m_Handlers.m_OnApplied)
          m_Handlers.m_OnApplied(RecordOffset, Value, Result);
        return {};
      },
      [&](const codec::DecodeError &Error) {
        m_State.skip(RecordOffset);
        log::warning(log::Category::Catalogue, "record.undecodable",
                     {{"offset", RecordOffset}, {"detail", Error.m_Detail}});
      },
      [&] { m_State.skip(RecordOffset); });
}

void StateFollower::fetchSnapshot() {
  m_Relays.call(messages::FetchSnapshot{}, SnapshotTimeout,
                [this, Stream = std::weak_ptr(m_Stream)](auto Reply) {
                  if (Stream.lock())
                    onSnapshot(std::move(Reply));
                });
}

void StateFollower::onSnapshot(
    std::optional<messages::FetchSnapshotReply> Reply) {
  const bool Installed =
      Reply && Reply->m_Offset > m_State.appliedOffset() &&
      boost::leaf::try_handle_all(
          [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(State,
                            fold::ClusterState::fromSnapshot(Reply->m_State));
            m_State = std::move(State);
            return true;
          },
          [] { return false; });
  if (!Installed) {
    m_RetryTimer =
        m_Timers.after(SnapshotRetryDelay, [this] { fetchSnapshot(); });
    return;
  }
  if (m_Handlers.m_OnStateReplaced)
    m_Handlers.m_OnStateReplaced();
  m_Stream->resumeFrom(m_State.appliedOffset() + 1);
}

} // namespace sff::follower
