#include "Common/Identity/Ids.h"

#include <array>
#include <random>

namespace sff {

namespace {

/// Seeded once per thread: reading the operating system's source for each id
/// costs about a hundred microseconds.
std::mt19937_64 makeGenerator() {
  constexpr std::size_t SeedWords = 16;
  std::random_device Device;
  std::array<std::uint32_t, SeedWords> Words{};
  for (std::uint32_t &Word : Words)
    Word = Device();
  std::seed_seq Seed(Words.begin(), Words.end());
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
