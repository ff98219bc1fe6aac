#ifndef CASSIAHUB_SRC_ENTRY_DUTY_TREE_HPP
#define CASSIAHUB_SRC_ENTRY_DUTY_TREE_HPP

#include "entry/context.hpp"

#include <cassiahub/runtime/supervisor.hpp>

#include <string>
#include <vector>

namespace cassiahub::entry
{

/// \param body function of the duty; it gets \p context by reference.
/// \pre \p context outlives the tree.
template <typename Context>
runtime::child_spec make_duty(std::string name, Context & context,
                              std::error_code (*body)(Context &, std::stop_token const &))
{
    return {std::move(name),
            [&context, body](std::stop_token const & stop)
            { return body(context, stop); },
            runtime::restart_policy::permanent};
}

/// \returns the child that supervises \p children. Failures of duties are recorded.
runtime::child_spec make_group(std::string name, daemon_context & context,
                               std::vector<runtime::child_spec> children);

} // namespace cassiahub::entry

#endif
