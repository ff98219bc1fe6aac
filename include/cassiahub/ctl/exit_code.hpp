#ifndef CASSIAHUB_CTL_EXIT_CODE_HPP
#define CASSIAHUB_CTL_EXIT_CODE_HPP

#include <cassiahub/runtime/program.hpp>

namespace cassiahub::ctl
{

// Exit codes of cassiahubctl besides those shared by every program.
constexpr int exit_conflict = 4; ///< another edit or job came first
constexpr int exit_not_run = 5;  ///< refused for now; nothing ran and nothing was written

} // namespace cassiahub::ctl

#endif
