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

/// Sent by a child's thread to its supervisor as its last act.
struct child_exit
{
    std::size_t m_child = 0;
    std::error_code m_cause;
};

struct supervision
{
    supervisor_spec const & m_spec;
    bounded_ring<child_exit> m_exits;
    std::vector<std::jthread> m_threads;
    std::deque<time_point> m_restarts;
};

void report(supervision const & state, std::size_t child, child_event event,
            std::error_code cause)
{
    if (state.m_spec.m_observer)
    {
        state.m_spec.m_observer(state.m_spec.m_children[child].m_name, event, cause);
    }
}

std::error_code run_guarded(duty_body const & body, std::stop_token const & stop) noexcept
{
    try
    {
        std::error_code const result = body(stop);
        bool const early = !result && !stop.stop_requested();
        return early ? make_error_code(runtime_errc::duty_returned_early) : result;
    }
    catch (...)
    {
        return runtime_errc::duty_threw;
    }
}

void start_child(supervision & state, std::size_t child)
{
    duty_body const & body = state.m_spec.m_children[child].m_run;
    state.m_threads[child] = std::jthread(
        [&state, &body, child](std::stop_token const & stop)
        {
            std::error_code const cause = run_guarded(body, stop);
            // The ring holds one entry for each child, so this never fails.
            state.m_exits.try_push(child_exit{child, cause});
        });
}

void stop_children(supervision & state)
{
    for (std::size_t child = state.m_threads.size(); child-- > 0;)
    {
        if (state.m_threads[child].joinable())
        {
            state.m_threads[child].request_stop();
            state.m_threads[child].join();
            report(state, child, child_event::stopped, {});
        }
    }
}

bool intensity_allows(supervision & state, time_point now)
{
    while (!state.m_restarts.empty() &&
           now - state.m_restarts.front() > state.m_spec.m_restart_period)
    {
        state.m_restarts.pop_front();
    }
    state.m_restarts.push_back(now);
    return state.m_restarts.size() <= state.m_spec.m_max_restarts;
}

bool wants_restart(restart_policy policy, std::error_code cause) noexcept
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

/// \returns the error with which the supervisor fails, if it does.
std::error_code handle_exit(supervision & state, child_exit const & exited)
{
    child_spec const & child = state.m_spec.m_children[exited.m_child];
    state.m_threads[exited.m_child].join();
    report(state, exited.m_child, child_event::failed, exited.m_cause);
    if (!wants_restart(child.m_policy, exited.m_cause))
    {
        return {};
    }
    if (!intensity_allows(state, read_boot_clock()))
    {
        return runtime_errc::restart_intensity_exceeded;
    }
    start_child(state, exited.m_child);
    report(state, exited.m_child, child_event::restarted, exited.m_cause);
    return {};
}

} // namespace internal

std::error_code supervise(supervisor_spec const & spec, std::stop_token const & stop)
{
    // Long enough to be free of cost; a stop request or an exit ends the wait at once.
    constexpr duration wait_period = std::chrono::hours(1);

    std::size_t const count = spec.m_children.size();
    internal::supervision state{
        spec, bounded_ring<internal::child_exit>(count > 0 ? count : 1), {}, {}};
    state.m_threads.resize(count);
    for (std::size_t child = 0; child < count && !stop.stop_requested(); ++child)
    {
        internal::start_child(state, child);
        internal::report(state, child, child_event::started, {});
    }
    std::error_code failure;
    while (!failure && !stop.stop_requested())
    {
        std::optional<internal::child_exit> const exited =
            state.m_exits.pop(wait_period, stop);
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
