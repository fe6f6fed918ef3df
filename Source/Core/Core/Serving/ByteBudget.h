#pragma once

#include <cstddef>

namespace sff::serving {

/// Bounds the memory that large bodies occupy together. A body that outgrows
/// SmallBytes needs a share of the budget; small ones always fit, so that an
/// endpoint which sends bodies without end takes nothing from other requests.
/// Thread safety: none.
class ByteBudget {
public:
  static constexpr std::size_t SmallBytes = 64 * 1024;

  explicit ByteBudget(std::size_t Capacity) : m_Capacity(Capacity) {}

  std::size_t used() const { return m_Used; }

  /// The share of one body. Returns what it has taken when it is destroyed.
  class Share {
  public:
    /// Precondition: \p Budget outlives the object.
    explicit Share(ByteBudget &Budget) : m_Budget(Budget) {}
    ~Share() { m_Budget.m_Used -= m_Taken; }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Grows or shrinks the share to that of a body of \p Size. Returns false,
    /// and leaves it as it is, if the budget has too little left.
    bool resize(std::size_t Size);

  private:
    ByteBudget &m_Budget;
    std::size_t m_Taken = 0;
  };

private:
  std::size_t m_Capacity;
  std::size_t m_Used = 0;
};

} // namespace sff::serving
