#include "Common/Codec/Text.h"

#include <boost/locale/utf.hpp>

namespace sff::codec {

bool isUtf8(std::string_view Bytes) {
  namespace utf = boost::locale::utf;
  const char *Position = Bytes.data();
  const char *const End = Position + Bytes.size();
  while (Position != End)
    if (!utf::is_valid_codepoint(utf::utf_traits<char>::decode(Position, End)))
      return false;
  return true;
}

std::string toJsonText(const nlohmann::json &Value) {
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace sff::codec
