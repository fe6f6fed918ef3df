#include "Net/Http/Framing.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace sff::http {

namespace {

constexpr std::string_view TransferEncodingField = "Transfer-Encoding";
constexpr std::string_view ContentLengthField = "Content-Length";
constexpr std::string_view ChunkedCoding = "chunked";

constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;
constexpr int SwitchingProtocolsStatus = 101;
constexpr int NoContentStatus = 204;
constexpr int NotModifiedStatus = 304;

std::string_view trimWhitespace(std::string_view Text) {
  constexpr std::string_view Whitespace = " \t";
  const auto Begin = Text.find_first_not_of(Whitespace);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Whitespace) - Begin + 1);
}

/// Returns the members of the lists in all fields called \p Name, in order.
std::vector<std::string_view> listMembers(const Headers &Fields,
                                          std::string_view Name) {
  std::vector<std::string_view> Members;
  for (const Header &Field : Fields.items()) {
    if (!equalHeaderNames(Field.m_Name, Name))
      continue;
    std::string_view Remaining = Field.m_Value;
    while (true) {
      const auto Comma = Remaining.find(',');
      Members.push_back(trimWhitespace(Remaining.substr(0, Comma)));
      if (Comma == std::string_view::npos)
        break;
      Remaining.remove_prefix(Comma + 1);
    }
  }
  return Members;
}

std::optional<std::uint64_t> parseLength(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  const bool IsValid = Error == std::errc() && End == Text.data() + Text.size();
  return IsValid ? std::optional(Value) : std::nullopt;
}

/// Returns whether \p Lengths, which is not empty, names one length.
bool isOneLength(const std::vector<std::string_view> &Lengths) {
  const auto First = parseLength(Lengths.front());
  return First && std::ranges::all_of(Lengths, [&](std::string_view Length) {
           return parseLength(Length) == First;
         });
}

bool isChunked(std::string_view Coding) {
  // The names of codings are compared like those of headers.
  return equalHeaderNames(Coding, ChunkedCoding);
}

/// Precondition: \p Codings is not empty.
Framing codedFraming(const std::vector<std::string_view> &Codings) {
  const bool IsChunkedOnce = isChunked(Codings.back()) &&
                             std::ranges::count_if(Codings, isChunked) == 1;
  if (!IsChunkedOnce)
    return FramingFault::UnknownEnd;
  if (Codings.size() > 1)
    return FramingFault::UnsupportedCoding;
  return BodyEnd::LastChunk;
}

/// Returns the framing of a message whose body has \p Unmarked as its end if
/// the head names none.
Framing framingOf(const Headers &Fields, HttpVersion Version,
                  BodyEnd Unmarked) {
  const auto Codings = listMembers(Fields, TransferEncodingField);
  const auto Lengths = listMembers(Fields, ContentLengthField);
  if (Codings.empty() && Lengths.empty())
    return Unmarked;
  if (Codings.empty())
    return isOneLength(Lengths) ? Framing(BodyEnd::Length)
                                : Framing(FramingFault::UnknownEnd);
  // HTTP/1.0 has no transfer codings; its recipients do not look at the field.
  if (!Lengths.empty() || Version == HttpVersion::Http10)
    return FramingFault::UnknownEnd;
  return codedFraming(Codings);
}

} // namespace

HttpVersion versionOf(unsigned Number) {
  constexpr unsigned BeastHttp10 = 10;
  return Number == BeastHttp10 ? HttpVersion::Http10 : HttpVersion::Http11;
}

Framing requestFraming(const Headers &Fields, HttpVersion Version) {
  return framingOf(Fields, Version, BodyEnd::Head);
}

Framing responseFraming(const Headers &Fields, HttpVersion Version, int Status,
                        std::string_view RequestMethod) {
  const bool HasNoBody = RequestMethod == "HEAD" || isInterim(Status) ||
                         switchesProtocols(Status) ||
                         Status == NoContentStatus ||
                         Status == NotModifiedStatus;
  if (HasNoBody)
    return BodyEnd::Head;
  return framingOf(Fields, Version, BodyEnd::Connection);
}

bool hasFoldedLine(std::string_view Received) {
  constexpr std::string_view LineEnd = "\r\n";
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  // The blank line that ends the head.
  if (Received.starts_with(LineEnd))
    return false;
  const std::string_view Head = Received.substr(0, Received.find(HeadEnd));
  return Head.find("\r\n ") != std::string_view::npos ||
         Head.find("\r\n\t") != std::string_view::npos;
}

bool isStatusCode(int Status) {
  return Status >= MinStatus && Status <= MaxStatus;
}

bool isInterim(int Status) {
  return Status >= 100 && Status < 200 && !switchesProtocols(Status);
}

bool switchesProtocols(int Status) {
  return Status == SwitchingProtocolsStatus;
}

std::string_view describe(FramingFault Fault) {
  switch (Fault) {
  case FramingFault::UnknownEnd:
    return "the end of the body cannot be known";
  case FramingFault::UnsupportedCoding:
    return "the transfer coding is not supported";
  }
  return "";
}

} // namespace sff::http
