#ifndef CASSIAHUB_SRC_GATEWAY_EVENT_LOOP_HPP
#define CASSIAHUB_SRC_GATEWAY_EVENT_LOOP_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <functional>
#include <stop_token>

namespace cassiahub::gateway
{

/// Calls a function on the event loop whenever an eventfd becomes readable.
class wake_watcher
{
public:
    /// \param fd non-blocking eventfd; not owned.
    wake_watcher(boost::asio::io_context & loop, int fd, std::function<void()> on_wake);
    wake_watcher(wake_watcher const &) = delete;
    wake_watcher & operator=(wake_watcher const &) = delete;
    ~wake_watcher();

private:
    void wait();

    boost::asio::posix::stream_descriptor m_descriptor;
    std::function<void()> m_on_wake;
};

/// Runs \p loop on the calling thread until \p stop is requested.
void run_until_stopped(boost::asio::io_context & loop, std::stop_token const & stop);

} // namespace cassiahub::gateway

#endif
