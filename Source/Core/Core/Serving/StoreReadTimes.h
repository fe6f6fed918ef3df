#pragma once

#include "Common/Time/Instant.h"

namespace sff::serving {

/// Longest wait of one read of the registrations for new ones. A read that
/// reaches the store while a registration is written may be answered only at
/// the end of its wait.
constexpr milliseconds MaxRegistrationsWait{300};

/// Delay between two reads of the registrations. Each read is billed, so hosts
/// read as rarely as \p DrainTime allows, the time after which a leaving
/// endpoint must get no more requests: a registration that has just missed a
/// read is known after its wait, this delay and the next call to the store.
/// Shorter if the host \p AwaitsEndpoints, which register again after an outage
/// of the store and are taken for gone if they have not soon enough.
milliseconds registrationsInterval(Duration DrainTime, bool AwaitsEndpoints);

/// Longest wait of one read of the catalogue, given the time to apply a
/// catalogue. A read may be answered only at the end of its wait; the rest of
/// the time is for the next read.
milliseconds catalogueWait(Duration ApplyTime);

/// Longest wait of one read of the catalogue that keeps the proof that no newer
/// one exists younger than \p MaxAge, also if one read gets no answer.
milliseconds proofWait(Duration MaxAge);

} // namespace sff::serving
