#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>
#include <optional>
#include <random>
#include <span>

namespace sff::serving {

/// This host's shares of the request rates that endpoints take from all hosts
/// together. Hosts do not coordinate: each takes an equal part of the rate and
/// sends in time slots of its own. Slots start at a random phase, and a slot
/// that is not used soon after its start lapses, so that hosts with bursts of
/// demand, or all of them after a pause, do not exceed the rate together.
/// Thread safety: none.
class EndpointRateLimits {
public:
  explicit EndpointRateLimits(std::uint64_t Seed) : m_Random(Seed) {}

  /// Sets the number of hosts that share each rate. Precondition: \p Hosts > 0.
  void setHosts(std::size_t Hosts) { m_Hosts = Hosts; }

  /// Records what an answer says about its endpoint: the requests per second
  /// that it takes from all hosts, or nothing if it names no limit. \p SentAt
  /// is the time at which the request of the answer was sent: an answer without
  /// a limit ends one only if it was asked for after the limit was named.
  /// Returns true if the limit has changed.
  bool onAnswer(const EndpointId &Id, std::optional<double> PerSecond,
                Instant SentAt, Instant Now);
  void forget(const EndpointId &Id) { m_Limits.erase(Id); }

  bool isLimited(const EndpointId &Id) const { return m_Limits.contains(Id); }
  std::size_t limitedEndpoints() const { return m_Limits.size(); }
  /// Returns true if a request may be sent to the endpoint now.
  bool allows(const EndpointId &Id, Instant Now) const;
  /// Records a request that is sent to the endpoint.
  void onSent(const EndpointId &Id, Instant Now);

  /// Returns how long a request has to wait until one of \p Endpoints may get
  /// it, if \p Waiting others are sent first. Zero if no limit applies.
  Duration expectedWait(std::span<const EndpointId> Endpoints,
                        std::size_t Waiting, Instant Now) const;

private:
  /// Requests in a slot may be sent until this time after its start. Longer
  /// slots have a single request.
  static constexpr milliseconds SlotValidity{500};
  /// Part of a rate that the hosts use together. The rest is a margin, because
  /// the slots of the hosts are not spread evenly.
  static constexpr double UsableShare = 0.7;
  /// Rate that is used where an endpoint names a lower one: a host that never
  /// sends cannot learn that the limit has ended.
  static constexpr double MinPerSecond = 0.25;

  struct Limit {
    double m_PerSecond = 0;
    Instant m_NamedAt;       ///< Time of the latest answer that named it.
    double m_Phase = 0;      ///< Start of the slots, as a part of their length.
    std::int64_t m_Slot = 0; ///< The slot in which requests were last sent.
    std::int64_t m_SentInSlot = 0;
  };
  struct Slot {
    std::int64_t m_Number = 0;
    Instant m_Start;
    Duration m_Length{0};
    std::int64_t m_Capacity = 1; ///< Requests in the slot.
  };

  /// This host's share of the rate, in requests per second.
  double share(const Limit &Known) const;
  Slot slotAt(const Limit &Known, Instant Now) const;
  Duration timeUntilAllowed(const Limit &Known, Instant Now) const;

  std::size_t m_Hosts = 1;
  std::mt19937_64 m_Random;
  std::map<EndpointId, Limit> m_Limits;
};

} // namespace sff::serving
