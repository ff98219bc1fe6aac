/// \file Fuzzes every parser of the platform adapter, and that of the registrations of
/// instances. The first byte selects the parser.

#include "gateway/registration.hpp"
#include "platform/wire_format.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const * data, std::size_t size)
{
    using namespace cassiahub;
    constexpr unsigned parser_count = 7;

    if (size == 0)
    {
        return 0;
    }
    gateway::wire_format const wire = platform::make_wire_format();
    std::string text(reinterpret_cast<char const *>(data) + 1, size - 1);
    http::response received;
    received.m_body = text;
    gateway::store_rows rows;
    decision::routed_request request;
    decision::discovered_upstream upstream;
    gateway::registration registration;
    switch (data[0] % parser_count)
    {
    case 0:
        wire.m_decode_rows(received, rows);
        break;
    case 1:
        wire.m_decode_configuration(text);
        break;
    case 2:
        wire.m_decode_upstream("name", text, upstream);
        wire.m_decode_upstream(text, text, upstream);
        break;
    case 3:
        wire.m_decode_reply(received);
        break;
    case 4:
        gateway::parse_registration(text, registration);
        break;
    case 5:
        // Each row of a reply is decoded like the registry does.
        if (wire.m_decode_rows(received, rows) == gateway::store_status::done)
        {
            for (gateway::store_row const & row : rows.m_rows)
            {
                wire.m_decode_upstream(row.m_key, row.m_value, upstream);
                wire.m_encode_read(gateway::store_table::upstreams, row.m_key);
            }
        }
        break;
    default:
        wire.m_decode_request(
            {"POST", "/queue/5c0e7a21d94b36f8", "", {{"Host", "h"}}, text}, request);
        break;
    }
    return 0;
}
