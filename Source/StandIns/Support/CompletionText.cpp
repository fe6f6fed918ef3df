#include "StandIns/Support/CompletionText.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace sff::standin {

namespace {

constexpr std::uint64_t FnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

std::uint64_t extendHash(std::uint64_t Hash, std::string_view Text) {
  for (const char Char : Text) {
    Hash ^= static_cast<unsigned char>(Char);
    Hash *= FnvPrime;
  }
  return Hash;
}

} // namespace

std::string completionToken(const CompletionKey &Source, std::size_t Index) {
  std::uint64_t Hash = FnvOffsetBasis;
  for (const std::string &Part :
       {Source.m_Model, Source.m_Prompt, Source.m_RequestId}) {
    Hash = extendHash(Hash, Part);
    Hash = extendHash(Hash, "|");
  }
  Hash = extendHash(Hash, std::to_string(Index));
  constexpr int Hexadecimal = 16;
  constexpr std::uint64_t TokenMask = 0xFFFFFF;
  std::array<char, 16> Digits{};
  const auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                                 Hash & TokenMask, Hexadecimal)
                       .ptr;
  return std::string(Digits.data(), End) + " ";
}

std::string completionText(const CompletionKey &Source, std::size_t From,
                           std::size_t To) {
  std::string Text;
  for (std::size_t Index = From; Index < To; ++Index)
    Text += completionToken(Source, Index);
  return Text;
}

std::string promptText(const nlohmann::json &Body) {
  if (Body.contains("prompt"))
    return Body.at("prompt").get<std::string>();
  std::string Joined;
  for (const auto &Message : Body.at("messages"))
    Joined += Message.at("role").get<std::string>() + ": " +
              Message.at("content").get<std::string>() + "\n";
  return Joined;
}

std::vector<std::uint64_t> promptBlockHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Hash = FnvOffsetBasis;
  while (Prompt.size() >= PromptBlockBytes) {
    Hash = extendHash(Hash, Prompt.substr(0, PromptBlockBytes));
    Hashes.push_back(Hash);
    Prompt.remove_prefix(PromptBlockBytes);
  }
  return Hashes;
}

} // namespace sff::standin
