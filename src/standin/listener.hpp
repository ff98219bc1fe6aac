#ifndef CASSIAHUB_STANDIN_LISTENER_HPP
#define CASSIAHUB_STANDIN_LISTENER_HPP

#include <cassiahub/http/message.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace cassiahub::standin::internal
{

/// Result of a handler. An empty result closes the connection without a response, which
/// http::server does not support.
using optional_response = std::optional<http::response>;

using request_handler = std::function<optional_response(http::request const &)>;

struct listener_state;

struct listener_deleter
{
    void operator()(listener_state * state) const noexcept;
};

/// A running HTTP server. Resetting the pointer stops it.
using listener = std::unique_ptr<listener_state, listener_deleter>;

/// Starts a server on \p address. \p threads is also the number of connections served
/// concurrently.
/// \returns an empty pointer and sets \p error on failure.
listener start_listener(std::string const & address, std::uint32_t threads,
                        request_handler handler, std::error_code & error);

/// Shuts down every socket of this process whose local port is \p port, so that new
/// connections are refused and open ones break at once. A server that stops does so only
/// after some time. Thread-safe.
void close_sockets(std::uint32_t port);

http::response make_text(int status, std::string text);
http::response make_json(std::string text);

/// \returns the decimal number at the start of \p text, or 0 if there is none.
std::uint64_t to_number(std::string_view text) noexcept;

} // namespace cassiahub::standin::internal

#endif
