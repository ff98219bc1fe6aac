/// \file Fuzzes the reading of a request from a caller: the head, a body with a length
/// and a body in chunks. The first byte selects the kind of body and how the request is
/// split into reads.

#include "http/beast_message.hpp"
#include "spliced_input.hpp"

#include <boost/assert.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

using namespace cassiahub;
namespace beast = boost::beast;

namespace
{

constexpr std::uint32_t max_header_bytes = 256;
constexpr std::size_t max_body_bytes = 64;
constexpr std::string_view with_length =
    "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
constexpr std::string_view in_chunks =
    "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4;a=b\r\nbody\r\n0\r\nTrailer: t\r\n\r\n";

/// Passes \p text to the parser in reads of \p step bytes, with what it has not consumed.
void parse(std::string_view text, std::size_t step)
{
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_body_bytes);
    parser.eager(true);
    std::size_t consumed = 0;
    std::size_t available = 0;
    while (!parser.is_done() && available < text.size())
    {
        available = std::min(available + step, text.size());
        beast::error_code error;
        consumed += parser.put(
            boost::asio::buffer(text.data() + consumed, available - consumed), error);
        if (error && error != beast::http::error::need_more)
        {
            return;
        }
    }
    BOOST_ASSERT(consumed <= text.size());
    if (parser.is_done())
    {
        http::request const received = http::internal::from_beast(parser.release());
        BOOST_ASSERT(received.m_body.size() <= max_body_bytes);
        BOOST_ASSERT(received.m_path.find('\0') == std::string::npos);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const * data, std::size_t size)
{
    if (size > 0)
    {
        std::string_view const valid = data[0] % 2 == 0 ? with_length : in_chunks;
        parse(splice(valid, {data + 1, size - 1}), data[0] / 2 + 1);
    }
    return 0;
}
