#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace sff::test {

/// Generates up to \p MaxCount numbers, each of which determines one step. By
/// default RapidCheck's size parameter limits both the length and the values.
/// This generator ignores it: short runs cover little, and the numbers must use
/// all 64 bits.
inline rc::Gen<std::vector<std::uint64_t>> genSteps(int MaxCount) {
  constexpr int FullRange = 100;
  return rc::gen::resize(
      MaxCount, rc::gen::container<std::vector<std::uint64_t>>(rc::gen::resize(
                    FullRange, rc::gen::arbitrary<std::uint64_t>())));
}

} // namespace sff::test
