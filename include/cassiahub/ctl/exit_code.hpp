#ifndef CASSIAHUB_CTL_EXIT_CODE_HPP
#define CASSIAHUB_CTL_EXIT_CODE_HPP

#include <cassiahub/runtime/program.hpp>

namespace cassiahub::ctl
{

// Exit codes of cassiahubctl, in addition to those in runtime that all programs use.
constexpr int exit_conflict = 4; ///< conflict with another edit or job
constexpr int exit_not_run = 5;  ///< not executed, nothing written; may be retried

} // namespace cassiahub::ctl

#endif
