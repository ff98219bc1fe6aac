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

/// Owning file descriptor, closed by the destructor. -1 holds none.
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

/// Bytes from one read, and the earliest time to send them.
struct delayed_bytes
{
    time_point m_send_at;
    std::string m_bytes;
};

/// One direction of a connection: reads while the queue is below its limit and sends
/// bytes after their delay.
struct stream
{
    std::deque<delayed_bytes> m_queue;
    std::size_t m_queued_bytes = 0;
    bool m_source_ended = false;  ///< the source sent its end of stream
    bool m_shutdown_sent = false; ///< the destination got the end of stream
};

/// Opens a non-blocking listening socket.
descriptor open_listener(std::string_view address, std::error_code & error);

/// Starts a non-blocking connect to \p address.
descriptor begin_connect(std::string_view address, std::error_code & error);

/// Accepts one connection. \returns an empty descriptor if none is pending.
descriptor accept_one(descriptor const & listener);

/// Makes the close of \p socket send a TCP reset, so that the peer fails immediately.
void reset_on_close(descriptor const & socket) noexcept;

/// \returns true when the source has not ended and the queue is below its limit.
bool wants_read(stream const & data) noexcept;

/// \returns true when queued bytes or the end of stream may be sent at \p now.
bool wants_write(stream const & data, time_point now) noexcept;

/// Reads available bytes of \p source into the queue, to be sent from \p send_at on.
/// \returns false after a socket error.
bool read_from(stream & data, descriptor const & source, time_point send_at);

/// Sends the bytes whose delay has passed at \p now. \returns false after a socket error.
bool write_to(stream & data, descriptor const & destination, time_point now);

} // namespace cassiahub::standin::internal

#endif
