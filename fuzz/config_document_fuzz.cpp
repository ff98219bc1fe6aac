/// \file Fuzzes the parsers of the fleet document and the process settings.

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
    std::vector<config::config_error> faults;
    bool const accepted = config::parse_fleet_document(text, faults).has_value();
    // A rejected document reports at least one fault, an accepted one reports none.
    BOOST_ASSERT(accepted == faults.empty());
    faults.clear();
    bool const settings_accepted = config::parse_entry_settings(text, faults).has_value();
    BOOST_ASSERT(settings_accepted == faults.empty());
    return 0;
}
