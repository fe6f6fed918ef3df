#include "Core/Relay/ChangeResultList.h"

#include <algorithm>

namespace sff::relay {

void ChangeResultList::add(messages::FetchChangeResultReply Item) {
  if (m_Items.size() >= m_Capacity)
    m_Items.pop_front();
  Item.m_Known = true;
  m_Items.push_back(std::move(Item));
}

messages::FetchChangeResultReply
ChangeResultList::find(const messages::FetchChangeResult &Query) const {
  const auto It = std::ranges::find_if(m_Items, [&](const auto &Item) {
    return Query.m_Id.empty() ? Item.m_Offset == Query.m_Offset
                              : Item.m_Id == Query.m_Id;
  });
  return It == m_Items.end() ? messages::FetchChangeResultReply() : *It;
}

} // namespace sff::relay
