#include <cassiahub/runtime/boot_clock.hpp>
#include <cassiahub/runtime/bounded_ring.hpp>
#include <cassiahub/runtime/supervisor.hpp>

#include <deque>
#include <optional>
#include <thread>
#include <utility>

namespace cassiahub::runtime
{

namespace internal
{

/// Sent by a child's thread to its supervisor when the child's body has returned.
struct child_exit
{
    std::size_t m_child = 0; ///< index in supervisor_spec::m_children
    std::error_code m_cause;
};

struct supervisor_state
{
    supervisor_spec const & m_spec;
    bounded_ring<child_exit> m_exits;       ///< from the children's threads
    std::vector<std::jthread> m_threads;    ///< one for each child
    std::deque<time_point> m_restart_times; ///< within the restart period, oldest first
};

void notify_observer(supervisor_state const & state, std::size_t child, child_event event,
                     std::error_code cause)
{
    if (state.m_spec.m_observer)
    {
        state.m_spec.m_observer(state.m_spec.m_children[child].m_name, event, cause);
    }
}

/// \returns the error of \p body; an exception and an early return are errors too.
std::error_code run_and_catch(duty_body const & body,
                              std::stop_token const & stop) noexcept
{
    try
    {
        std::error_code const result = body(stop);
        bool const returned_early = !result && !stop.stop_requested();
        return returned_early ? make_error_code(runtime_errc::duty_returned_early)
                              : result;
    }
    catch (...)
    {
        return runtime_errc::duty_threw;
    }
}

void start_child(supervisor_state & state, std::size_t child)
{
    duty_body const & body = state.m_spec.m_children[child].m_run;
    state.m_threads[child] = std::jthread(
        [&state, &body, child](std::stop_token const & stop)
        {
            std::error_code const cause = run_and_catch(body, stop);
            // The ring has space for one entry of each child, so this never fails.
            state.m_exits.try_push(child_exit{child, cause});
        });
}

void stop_children(supervisor_state & state)
{
    for (std::size_t child = state.m_threads.size(); child-- > 0;)
    {
        if (state.m_threads[child].joinable())
        {
            state.m_threads[child].request_stop();
            state.m_threads[child].join();
            notify_observer(state, child, child_event::stopped, {});
        }
    }
}

/// Records a restart at \p now.
/// \returns false when it exceeds the restart intensity.
bool admit_restart(supervisor_state & state, time_point now)
{
    while (!state.m_restart_times.empty() &&
           now - state.m_restart_times.front() > state.m_spec.m_restart_period)
    {
        state.m_restart_times.pop_front();
    }
    state.m_restart_times.push_back(now);
    return state.m_restart_times.size() <= state.m_spec.m_max_restarts;
}

bool should_restart(restart_policy policy, std::error_code cause) noexcept
{
    switch (policy)
    {
    case restart_policy::permanent:
        return true;
    case restart_policy::transient:
        return cause && cause != runtime_errc::duty_returned_early;
    case restart_policy::temporary:
        return false;
    }
    return false;
}

/// Restarts a child that failed, if its restart policy requires that.
/// \returns restart_intensity_exceeded when the supervisor must stop, else no error.
std::error_code handle_exit(supervisor_state & state, child_exit const & exited)
{
    child_spec const & child = state.m_spec.m_children[exited.m_child];
    state.m_threads[exited.m_child].join();
    notify_observer(state, exited.m_child, child_event::failed, exited.m_cause);
    if (!should_restart(child.m_policy, exited.m_cause))
    {
        return {};
    }
    if (!admit_restart(state, read_boot_clock()))
    {
        return runtime_errc::restart_intensity_exceeded;
    }
    start_child(state, exited.m_child);
    notify_observer(state, exited.m_child, child_event::restarted, exited.m_cause);
    return {};
}

} // namespace internal

std::error_code supervise(supervisor_spec const & spec, std::stop_token const & stop)
{
    // A stop request or the exit of a child ends the wait at once, so the timeout
    // only has to be long enough that its wake-ups cost nothing.
    constexpr duration wait_timeout = std::chrono::hours(1);

    std::size_t const count = spec.m_children.size();
    internal::supervisor_state state{
        spec, bounded_ring<internal::child_exit>(count > 0 ? count : 1), {}, {}};
    state.m_threads.resize(count);
    for (std::size_t child = 0; child < count && !stop.stop_requested(); ++child)
    {
        internal::start_child(state, child);
        internal::notify_observer(state, child, child_event::started, {});
    }
    std::error_code failure;
    while (!failure && !stop.stop_requested())
    {
        std::optional<internal::child_exit> const exited =
            state.m_exits.pop(wait_timeout, stop);
        if (exited && !stop.stop_requested())
        {
            failure = internal::handle_exit(state, *exited);
        }
    }
    internal::stop_children(state);
    return failure;
}

child_spec as_child(supervisor_spec spec)
{
    std::string name = spec.m_name;
    return child_spec{std::move(name),
                      [spec = std::move(spec)](std::stop_token const & stop)
                      { return supervise(spec, stop); },
                      restart_policy::permanent};
}

} // namespace cassiahub::runtime
