/// \file Fuzzes every parser of the platform adapter. The first byte selects the parser.

#include "platform/wire_format.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const * data, std::size_t size)
{
    using namespace cassiahub;
    constexpr unsigned parser_count = 5;

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
    default:
        wire.m_decode_request({"POST", "/queue/1", "", {{"Host", "h"}}, text}, request);
        break;
    }
    return 0;
}
