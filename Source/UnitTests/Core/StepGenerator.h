#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace sff::test {

/// Up to \p MaxCount numbers, each of which decides one step. The length does
/// not depend on the size of the test case, because short runs reach little,
/// and the numbers use all 64 bits; RapidCheck's own sizes restrict both.
inline rc::Gen<std::vector<std::uint64_t>> genSteps(int MaxCount) {
  constexpr int FullRange = 100;
  return rc::gen::resize(
      MaxCount, rc::gen::container<std::vector<std::uint64_t>>(rc::gen::resize(
                    FullRange, rc::gen::arbitrary<std::uint64_t>())));
}

} // namespace sff::test
