#ifndef CASSIAHUB_CTL_DOCUMENT_DIFF_HPP
#define CASSIAHUB_CTL_DOCUMENT_DIFF_HPP

#include <cassiahub/config/ini_document.hpp>
#include <cassiahub/ctl/operator_target.hpp>

#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <vector>

namespace cassiahub::ctl::internal
{

/// One difference between a file and the fleet.
struct key_change
{
    std::string m_section;
    std::string m_key; ///< empty: the whole section
    std::string m_old; ///< empty: absent
    std::string m_new; ///< empty: absent
};

/// \returns the member \p key of \p object as text, or an empty text.
std::string member(nlohmann::json const & object, char const * key);

/// \returns how \p file differs from the document \p fleet of GET /v1/config.
std::vector<key_change> compare_documents(nlohmann::json const & fleet,
                                          config::ini_document const & file);

/// Prints \p changes on standard output.
void print_changes(std::span<key_change const> changes, output_format output);

} // namespace cassiahub::ctl::internal

#endif
