#pragma once

#include "Common/Time/Instant.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <set>

namespace sff::serving {

/// Bounds the memory that the connections of clients occupy together: heads,
/// bodies, bytes that are not parsed yet and answers that wait to be read.
/// A connection asks before it reads on. While the budget is used up it waits;
/// then the connections that hold memory and make no progress are evicted.
/// Thread safety: none.
class ClientMemory {
public:
  /// A connection that holds no more than this may use the whole budget; larger
  /// ones leave SmallPart of it free, so that a few large bodies do not keep
  /// small requests out.
  static constexpr std::size_t SmallBytes = 32 * 1024;
  static constexpr double SmallPart = 0.25;
  /// Fewer bytes are no progress, so that a client which sends a byte at a time
  /// counts as stalled.
  static constexpr std::size_t ProgressBytes = 4 * 1024;
  /// A client within its limits may pause for the retransmission of a lost
  /// packet.
  static constexpr milliseconds StallTime{1000};
  /// Bounds the processor time of searches while the budget is used up.
  static constexpr milliseconds EvictionInterval{100};

  /// No limit if \p Capacity is 0.
  explicit ClientMemory(std::size_t Capacity) : m_Capacity(Capacity) {}
  ClientMemory(const ClientMemory &) = delete;
  ClientMemory &operator=(const ClientMemory &) = delete;

  std::size_t used() const { return m_Used; }
  bool isLimited() const { return m_Capacity > 0; }

  /// The part of one connection. Returns what it holds when it is destroyed.
  class Share {
  public:
    /// \p Evict is called when the connection must give up its memory. It must
    /// not change the budget before it returns.
    /// Precondition: \p Budget outlives the object.
    Share(ClientMemory &Budget, std::function<void()> Evict);
    ~Share();
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Grows or shrinks to \p Size. Returns false, and leaves the share as it
    /// is, if the budget has too little left.
    bool tryResize(std::size_t Size);
    /// The same for memory that is already occupied. May exceed the budget.
    void resize(std::size_t Size);
    /// Starts or ends a time in which the client has to send or to read. The
    /// connection can be evicted in that time only.
    void awaitClient(bool Awaits, Instant Now);
    /// The client has sent or read \p Bytes.
    void onProgress(std::size_t Bytes, Instant Now);

    std::size_t size() const { return m_Size; }
    /// Returns for how long the client has made too little progress; nothing
    /// while it is not its turn.
    std::optional<Duration> stallTime(Instant Now) const;
    bool isStalled(Instant Now) const {
      return stallTime(Now).value_or(Duration(0)) >= StallTime;
    }

  private:
    friend class ClientMemory;

    ClientMemory &m_Budget;
    std::function<void()> m_Evict;
    std::size_t m_Size = 0;
    std::size_t m_BytesSinceProgress = 0;
    Instant m_ProgressAt;
    bool m_AwaitsClient = false;
    bool m_IsEvicted = false;
  };

  /// Evicts stalled connections, the largest first, until they held an eighth
  /// of the budget. Returns their number. Does nothing if it was called less
  /// than EvictionInterval ago.
  std::size_t evictStalled(Instant Now);

private:
  std::size_t limitFor(std::size_t Size) const;

  std::size_t m_Capacity;
  std::size_t m_Used = 0;
  std::set<Share *> m_Shares;
  Instant m_NextEvictionAt;
};

} // namespace sff::serving
