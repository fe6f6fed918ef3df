#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace sff::http {

/// The completion token of an operation that reports its error in \p Error.
/// Precondition: \p Error outlives the operation.
inline auto redirectTo(boost::system::error_code &Error) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, Error);
}

} // namespace sff::http
