#include "StandIns/PlatformLog/LogStream.h"

#include <algorithm>

namespace sff::standin {

Offset LogStream::append(std::string Data, std::size_t Retention) {
  m_Records.push_back(std::move(Data));
  while (m_Records.size() > Retention) {
    m_Records.pop_front();
    ++m_First;
  }
  return head();
}

std::string LogStream::read(Offset From, std::size_t Limit) const {
  std::string Text = "{\"first\":" + std::to_string(m_First) +
                     ",\"head\":" + std::to_string(head()) + ",\"records\":[";
  const Offset Start = std::max(From, m_First);
  for (Offset At = Start; At <= head() && At - Start < Limit; ++At) {
    if (At != Start)
      Text += ',';
    Text += "{\"offset\":" + std::to_string(At) +
            ",\"data\":" + m_Records[At - m_First] + "}";
  }
  return Text + "]}";
}

} // namespace sff::standin
