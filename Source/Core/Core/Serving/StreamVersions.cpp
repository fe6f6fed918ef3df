#include "Core/Serving/StreamVersions.h"

namespace sff::serving {

void StreamVersionTable::dropOldest() {
  m_Streams.erase(m_Arrivals.front().m_Stream);
  m_Arrivals.pop_front();
}

void StreamVersionTable::record(const StreamVersion &Begun, Instant Now) {
  if (Begun.m_Stream.str().empty())
    return;
  while (!m_Arrivals.empty() && m_Arrivals.front().m_At + MaxAge < Now)
    dropOldest();
  const auto [Position, IsNew] =
      m_Streams.try_emplace(Begun.m_Stream, StreamVersionFinding{});
  StreamVersionFinding &Finding = Position->second;
  if (!IsNew) {
    if (Finding.m_Version != Begun.m_Version)
      Finding = {std::nullopt, true};
    return;
  }
  Finding.m_Version = Begun.m_Version;
  m_Arrivals.push_back({Begun.m_Stream, Now});
  if (m_Arrivals.size() > MaxStreams)
    dropOldest();
}

StreamVersionFinding StreamVersionTable::find(const RequestId &Stream) const {
  const auto Found = m_Streams.find(Stream);
  return Found == m_Streams.end() ? StreamVersionFinding{} : Found->second;
}

std::vector<StreamVersion>
StreamVersionTable::recordedSince(Instant Since, std::size_t Limit) const {
  std::vector<StreamVersion> Result;
  for (auto Item = m_Arrivals.rbegin(); Item != m_Arrivals.rend(); ++Item) {
    if (Item->m_At < Since || Result.size() >= Limit)
      break;
    const StreamVersionFinding Finding = find(Item->m_Stream);
    if (Finding.m_Version)
      Result.push_back({Item->m_Stream, *Finding.m_Version});
  }
  return Result;
}

} // namespace sff::serving
