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

/// One difference between a file and the current fleet configuration document.
struct key_change
{
    std::string m_section;
    std::string m_key; ///< empty: the file adds the whole section
    std::string m_old; ///< current value; empty: the key is absent
    std::string m_new; ///< value in the file; empty: the key is absent
};

/// \returns the member \p key of \p object as text: a string as it is, another value as
/// JSON, and an empty string when the member is absent.
std::string member_text(nlohmann::json const & object, char const * key);

/// \returns the differences between \p file and \p fleet, the response to GET /v1/config.
/// Sections that \p file does not contain are not compared.
std::vector<key_change> compare_documents(nlohmann::json const & fleet,
                                          config::ini_document const & file);

/// Prints \p changes on standard output.
void print_changes(std::span<key_change const> changes, output_format output);

} // namespace cassiahub::ctl::internal

#endif
