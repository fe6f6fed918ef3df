#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <tuple>

namespace sff::admission {

/// Order of waiting requests of equal standing: the earliest due first, then
/// the earliest arrival; the id makes it total. The result refers to the
/// arguments.
inline std::tuple<const Instant &, const Instant &, const RequestId &>
dueOrder(const Instant &Due, const Instant &Arrival, const RequestId &Request) {
  return std::tie(Due, Arrival, Request);
}

} // namespace sff::admission
