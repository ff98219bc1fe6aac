#ifndef CASSIAHUB_SRC_ENTRY_DUTY_TREE_HPP
#define CASSIAHUB_SRC_ENTRY_DUTY_TREE_HPP

#include "entry/context.hpp"

#include <cassiahub/runtime/supervisor.hpp>

#include <string>
#include <vector>

namespace cassiahub::entry
{

/// \returns a permanent child that runs \p body with \p context.
/// \pre \p context outlives the supervisor tree.
template <typename Context>
runtime::child_spec make_duty(std::string name, Context & context,
                              std::error_code (*body)(Context &, std::stop_token const &))
{
    return {std::move(name),
            [&context, body](std::stop_token const & stop)
            { return body(context, stop); },
            runtime::restart_policy::permanent};
}

/// \returns a supervisor of \p children, as a child. It logs each failure of a child.
runtime::child_spec make_group(std::string name, daemon_context & context,
                               std::vector<runtime::child_spec> children);

} // namespace cassiahub::entry

#endif
