#include <cassiahub/runtime/stop_wait.hpp>

#include <condition_variable>
#include <mutex>

namespace cassiahub::runtime
{

void wait_for_stop(std::stop_token const & stop)
{
    std::mutex mutex;
    std::condition_variable_any never_notified;
    std::unique_lock<std::mutex> lock(mutex);
    never_notified.wait(lock, stop, [] { return false; });
}

void wait_for_stop(std::stop_token const & stop, duration period)
{
    std::mutex mutex;
    std::condition_variable_any never_notified;
    std::unique_lock<std::mutex> lock(mutex);
    never_notified.wait_for(lock, stop, period, [] { return false; });
}

} // namespace cassiahub::runtime
