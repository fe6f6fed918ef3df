#pragma once

#include "Core/Messages/RelayMessages.h"

#include <deque>

namespace sff::relay {

/// How the newest catalogue changes were judged.
/// Thread safety: none.
class VerdictList {
public:
  /// Precondition: \p Capacity is at least 1.
  explicit VerdictList(std::size_t Capacity) : m_Capacity(Capacity) {}

  void add(messages::ChangeVerdictReply Item);
  /// The oldest verdict that matches; one with m_Known false when none does.
  messages::ChangeVerdictReply find(const messages::ChangeVerdict &Query) const;

private:
  std::size_t m_Capacity;
  std::deque<messages::ChangeVerdictReply> m_Items;
};

} // namespace sff::relay
