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

/// Whether a child that returned without a stop request is started again.
enum class restart_policy
{
    permanent, ///< always
    transient, ///< only after an error or an exception
    temporary  ///< never
};

/// Body of a duty. A duty is long-running work on a thread of its own; its body runs
/// until a stop is requested, then returns. It fails by returning an error, by throwing,
/// or by returning without a stop request.
using duty_body = std::function<std::error_code(std::stop_token const &)>;

/// One child of a supervisor: a duty, or another supervisor made by as_child().
/// State that must survive a restart is owned by the code that builds the specification
/// and captured by reference in m_run.
struct child_spec
{
    std::string m_name;
    duty_body m_run;
    restart_policy m_policy = restart_policy::permanent;
};

/// Change of a child's state that a supervisor reports to its observer.
enum class child_event
{
    started,
    failed,    ///< returned or threw without a stop request
    restarted, ///< after a failure
    stopped    ///< returned after a stop request
};

/// Called on the supervisor's thread. \p cause is set only for failed and restarted.
using child_observer =
    std::function<void(std::string_view child, child_event event, std::error_code cause)>;

/// Children of a supervisor and its restart intensity: the largest number of restarts
/// within a period, counted over all children.
struct supervisor_spec
{
    std::string m_name;
    std::vector<child_spec> m_children; ///< in start order
    std::size_t m_max_restarts = 5;
    duration m_restart_period = std::chrono::seconds(10);
    child_observer m_observer; ///< may be empty
};

/// Starts the children in order and restarts those that fail, as their policies say. On a
/// stop request, or when a restart would exceed the restart intensity, stops the children
/// in reverse order, waiting for each before the next.
/// \returns no error after a stop request, otherwise
/// runtime_errc::restart_intensity_exceeded.
/// Runs on the calling thread; \p spec must not change until it returns.
std::error_code supervise(supervisor_spec const & spec, std::stop_token const & stop);

/// \returns a permanent child that runs supervise() for \p spec on its own thread.
child_spec as_child(supervisor_spec spec);

} // namespace cassiahub::runtime

#endif
