#ifndef CASSIAHUB_RUNTIME_SUPERVISOR_HPP
#define CASSIAHUB_RUNTIME_SUPERVISOR_HPP

#include <cassiahub/core/time.hpp>
#include <cassiahub/runtime/error.hpp>

#include <cstddef>
#include <functional>
#include <stop_token>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace cassiahub::runtime
{

/// When a child that has returned is started again.
enum class restart_policy
{
    permanent, ///< always
    transient, ///< only after an error
    temporary  ///< never
};

/// Body of a duty: runs on its own thread until stop is requested, then returns.
/// An error, an exception, or a return without a stop request ends the duty early.
using duty_body = std::function<std::error_code(std::stop_token const &)>;

/// One child of a supervisor: a duty, or another supervisor made by as_child().
/// State that must outlive a restart belongs to whoever builds the specification and
/// is captured by reference in m_run.
struct child_spec
{
    std::string m_name;
    duty_body m_run;
    restart_policy m_policy = restart_policy::permanent;
};

/// What a supervisor reports about its children, for logs and tests.
enum class child_event
{
    started,
    failed,
    restarted,
    stopped
};

using child_observer =
    std::function<void(std::string_view child, child_event event, std::error_code cause)>;

/// Children in start order, and how many restarts are allowed within a period.
struct supervisor_spec
{
    std::string m_name;
    std::vector<child_spec> m_children;
    std::size_t m_max_restarts = 5;
    duration m_restart_period = std::chrono::seconds(10);
    child_observer m_observer;
};

/// Starts the children in order, restarts those that end early, and on a stop request
/// stops them in reverse order, waiting for each before the next. A child that exceeds
/// the restart intensity stops the others and fails the supervisor.
/// \returns no error after a requested stop, otherwise the cause.
/// Thread safety: runs on the calling thread; \p spec must not change meanwhile.
std::error_code supervise(supervisor_spec const & spec, std::stop_token const & stop);

/// \returns a child that supervises \p spec on its own thread.
child_spec as_child(supervisor_spec spec);

} // namespace cassiahub::runtime

#endif
