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

/// Answer of a handler. When it is empty, the connection is closed without an answer,
/// which http::server has no use for.
using reply = std::optional<http::response>;

using reply_handler = std::function<reply(http::request const &)>;

struct listener_state;

struct listener_deleter
{
    void operator()(listener_state * state) const noexcept;
};

/// A running HTTP server; it stops when the pointer is reset.
using listener = std::unique_ptr<listener_state, listener_deleter>;

/// Listens on \p address with \p threads, which is also the number of connections that
/// are served at a time.
/// \returns an empty pointer and sets \p error on failure.
listener start_listener(std::string const & address, std::uint32_t threads,
                        reply_handler handler, std::error_code & error);

http::response make_text(int status, std::string text);
http::response make_json(std::string text);

/// \returns the decimal number at the start of \p text, or 0.
std::uint64_t to_number(std::string_view text) noexcept;

} // namespace cassiahub::standin::internal

#endif
