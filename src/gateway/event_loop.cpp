#include "gateway/event_loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <unistd.h>

#include <cstdint>
#include <utility>

namespace cassiahub::gateway
{

wake_watcher::wake_watcher(boost::asio::io_context & loop, int fd,
                           std::function<void()> on_wake)
    : m_descriptor(loop, fd), m_on_wake(std::move(on_wake))
{
    wait();
}

wake_watcher::~wake_watcher()
{
    m_descriptor.release();
}

void wake_watcher::wait()
{
    m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                            [this](boost::system::error_code error)
                            {
                                if (error)
                                {
                                    return;
                                }
                                std::uint64_t count = 0;
                                // Resets the eventfd. A failed read only means that
                                // the counter was 0, so nothing is queued.
                                [[maybe_unused]] ssize_t const size = ::read(
                                    m_descriptor.native_handle(), &count, sizeof count);
                                m_on_wake();
                                wait();
                            });
}

void run_until_stopped(boost::asio::io_context & loop, std::stop_token const & stop)
{
    auto const guard = boost::asio::make_work_guard(loop);
    std::stop_callback const on_stop(stop, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace cassiahub::gateway
