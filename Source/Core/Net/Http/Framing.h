#pragma once

#include "Net/Http/Message.h"

#include <string_view>
#include <variant>

namespace sff::http {

/// What ends the body of a message.
enum class BodyEnd {
  Head,       ///< There is no body.
  Length,     ///< The number of bytes that Content-Length names.
  LastChunk,  ///< The last chunk of a chunked body.
  Connection, ///< The end of the connection; a cut looks the same.
};

/// Why the body of a message cannot be read. The bytes after its head must not
/// be taken for the next message.
enum class FramingFault {
  UnknownEnd,        ///< The head names no end, an invalid one or several.
  UnsupportedCoding, ///< The body has a transfer coding beside chunked.
};

using Framing = std::variant<BodyEnd, FramingFault>;

enum class HttpVersion { Http10, Http11 };

/// Returns the version that Beast gives as \p Number.
/// Thread safety: reentrant.
HttpVersion versionOf(unsigned Number);

/// Returns what the head of a request says of its body (RFC 9112, 6.3).
/// Stricter than the parser, which ignores unknown transfer codings and codings
/// of HTTP/1.0: what the head of an accepted request says can be understood in
/// one way only.
/// Thread safety: reentrant.
Framing requestFraming(const Headers &Fields, HttpVersion Version);

/// Returns what the head of an answer to a request with the method
/// \p RequestMethod says of its body.
/// Thread safety: reentrant.
Framing responseFraming(const Headers &Fields, HttpVersion Version, int Status,
                        std::string_view RequestMethod);

/// Whether a line of a head begins with a blank. The parser joins such a line
/// to the one before it (obs-fold; RFC 9112, 5.2). To the sender it may be a
/// field of its own, and one that says where the body ends. What stands behind
/// the head in \p Received is not looked at.
/// Precondition: \p Received begins with a line of the head.
/// Thread safety: reentrant.
bool hasFoldedLine(std::string_view Received);

/// Whether \p Status is in the range of status codes (RFC 9110, 15). The parser
/// accepts any three digits.
/// Thread safety: reentrant.
bool isStatusCode(int Status);

/// Whether an answer with \p Status precedes the final one.
bool isInterim(int Status);

/// Whether what follows an answer with \p Status is of another protocol.
bool switchesProtocols(int Status);

/// A description for log lines and problem documents.
std::string_view describe(FramingFault Fault);

} // namespace sff::http
