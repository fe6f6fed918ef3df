#include "Common/Identity/Ids.h"

#include <array>
#include <random>

namespace sff {

namespace {

/// Returns a generator seeded from std::random_device. Each thread seeds its
/// generator once, because reading the entropy source of the operating system
/// for every id takes about 100 microseconds.
std::mt19937_64 makeGenerator() {
  constexpr std::size_t SeedWords = 16;
  std::random_device Device;
  std::array<std::uint32_t, SeedWords> Seeds{};
  for (std::uint32_t &Word : Seeds)
    Word = Device();
  std::seed_seq Seed(Seeds.begin(), Seeds.end());
  return std::mt19937_64(Seed);
}

} // namespace

std::string makeRandomId() {
  thread_local std::mt19937_64 Generator = makeGenerator();
  constexpr int WordCount = 2;
  constexpr int DigitsPerWord = 16;
  constexpr std::array<char, 17> Digits = {"0123456789abcdef"};
  std::string Text;
  Text.reserve(WordCount * DigitsPerWord);
  for (int Word = 0; Word < WordCount; ++Word) {
    std::uint64_t Bits = Generator();
    for (int Digit = 0; Digit < DigitsPerWord; ++Digit, Bits >>= 4)
      Text.push_back(Digits[Bits & 0xF]);
  }
  return Text;
}

} // namespace sff
