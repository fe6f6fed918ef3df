#pragma once

#include "Core/Messages/RelayMessages.h"

#include <deque>

namespace sff::relay {

/// Results of the most recent catalogue changes, up to a fixed number.
/// Thread safety: none.
class ChangeResultList {
public:
  /// Precondition: \p Capacity is at least 1.
  explicit ChangeResultList(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Adds a result and drops the oldest one when the list is full.
  void add(messages::FetchChangeResultReply Item);
  /// Returns the oldest result that matches the id of \p Query or, when that is
  /// empty, its offset. m_Known is false when there is none.
  messages::FetchChangeResultReply
  find(const messages::FetchChangeResult &Query) const;

private:
  std::size_t m_Capacity;
  std::deque<messages::FetchChangeResultReply> m_Items;
};

} // namespace sff::relay
