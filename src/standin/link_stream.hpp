#ifndef CASSIAHUB_STANDIN_LINK_STREAM_HPP
#define CASSIAHUB_STANDIN_LINK_STREAM_HPP

#include <cassiahub/core/time.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace cassiahub::standin::internal
{

/// An owned file descriptor.
class descriptor
{
public:
    explicit descriptor(int value = -1) noexcept : m_value(value) {}

    descriptor(descriptor && other) noexcept : m_value(std::exchange(other.m_value, -1))
    {
    }

    descriptor & operator=(descriptor && other) noexcept
    {
        std::swap(m_value, other.m_value);
        return *this;
    }

    ~descriptor();

    int get() const noexcept
    {
        return m_value;
    }

private:
    int m_value;
};

/// Bytes that were read together, and when they may be sent on.
struct delayed_bytes
{
    time_point m_ready;
    std::string m_bytes;
};

/// One direction of a connection. It reads while little is queued and sends what has
/// been delayed for long enough.
struct stream
{
    std::deque<delayed_bytes> m_queue;
    std::size_t m_queued = 0;
    bool m_read_ended = false;  ///< the source sent its last byte
    bool m_write_ended = false; ///< and the destination was told so
};

/// Opens a non-blocking listening socket.
descriptor open_listener(std::string_view address, std::error_code & error);

/// Begins to connect to \p address without waiting.
descriptor begin_connect(std::string_view address, std::error_code & error);

/// Accepts one connection. \returns -1 when there is none.
descriptor accept_one(descriptor const & listener);

/// Makes the close of \p socket a reset, which the other side notices at once.
void reset_on_close(descriptor const & socket) noexcept;

bool wants_read(stream const & data) noexcept;

/// \returns true when bytes, or the end, may be sent at \p now.
bool wants_write(stream const & data, time_point now) noexcept;

/// Moves what \p source has into the queue. \returns false after a socket error.
bool read_from(stream & data, descriptor const & source, time_point ready);

/// Sends what is ready. \returns false after a socket error.
bool write_to(stream & data, descriptor const & destination, time_point now);

} // namespace cassiahub::standin::internal

#endif
