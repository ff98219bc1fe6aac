/// \file The fleet document and the process settings from arbitrary text.

#include <cassiahub/config.hpp>

#include <boost/assert.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

using namespace cassiahub;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const * data, std::size_t size)
{
    std::string_view const text(reinterpret_cast<char const *>(data), size);
    std::vector<config::config_fault> faults;
    bool const accepted = config::parse_fleet_document(text, faults).has_value();
    // A refusal names its reason, and nothing with a fault is accepted.
    BOOST_ASSERT(accepted == faults.empty());
    faults.clear();
    bool const settings = config::parse_entry_settings(text, faults).has_value();
    BOOST_ASSERT(settings == faults.empty());
    return 0;
}
