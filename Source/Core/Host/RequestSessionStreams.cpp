#include "Host/RequestSession.h"

#include <algorithm>

namespace sff::host {

namespace {

/// Shortest assumption of how long before now a stream can have begun.
constexpr milliseconds MinStreamLifetime{10000};
/// A stream that is taken up may have begun this many route timeouts before.
constexpr int TimeoutsPerStream = 2;

} // namespace

bool RequestSession::isTakenUp() const {
  return isResumableStream() && !m_Facts.m_LastEventId.empty();
}

bool RequestSession::isResumableStream() const {
  return m_Route->m_Kind == serving::RouteKind::Stream && m_Route->m_Resumable;
}

StreamQuery RequestSession::streamQuery(const RequestId &Stream) const {
  const milliseconds Lifetime =
      std::max(MinStreamLifetime, TimeoutsPerStream * m_Route->m_Timeout);
  return {Stream, m_Service->m_Name, Lifetime.count()};
}

Task<bool> RequestSession::pinVersion() {
  const StreamQuery Query = streamQuery(m_Facts.m_ResumedStream);
  m_StreamVersion = co_await m_Streams.findVersion(Query);
  m_State.m_Metrics.onStreamTakenUp(m_StreamVersion ? "goes_on" : "refused");
  logEvent("stream.taken_up",
           {{"stream", m_Facts.m_ResumedStream},
            {"last_event", m_Facts.m_LastEventId},
            {"software", m_StreamVersion ? nlohmann::json(*m_StreamVersion)
                                         : nlohmann::json()}});
  co_return m_StreamVersion.has_value();
}

void RequestSession::onFirstEvent() {
  if (m_StreamVersion || !isResumableStream())
    return;
  m_StreamVersion = m_Current->softwareVersion();
  m_Streams.onBegun(streamQuery(m_Facts.m_Id), *m_StreamVersion);
}

void RequestSession::filterByVersion(
    std::vector<const serving::Endpoint *> &List) const {
  if (m_StreamVersion) {
    std::erase_if(List, [this](const serving::Endpoint *Item) {
      return Item->m_Registration.m_SoftwareVersion != *m_StreamVersion;
    });
    return;
  }
  if (!isResumableStream())
    return;
  const auto MayBegin = [this](const serving::Endpoint *Item) {
    return m_Streams.mayBegin(m_Service->m_Name,
                              Item->m_Registration.m_SoftwareVersion);
  };
  if (std::ranges::any_of(List, MayBegin))
    std::erase_if(List, std::not_fn(MayBegin));
}

} // namespace sff::host
