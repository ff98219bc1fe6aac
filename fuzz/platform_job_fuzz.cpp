/// \file Fuzzes the id and the document of a job: a job that is accepted can be sent to
/// an upstream. The first byte selects which of the two is changed.

#include "platform/wire_format.hpp"
#include "spliced_input.hpp"

#include <boost/assert.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

using namespace cassiahub;

namespace
{

constexpr std::size_t max_spec_bytes = 4'000;
constexpr std::string_view valid_path = "/queue/5c0e7a21d94b36f8";
constexpr std::string_view valid_body =
    R"({"spec":"text","best-effort":true,"steps":[{"count":4,"cpu":500,"mem-mb":256,)"
    R"("estimate-ms":900}]})";

void submit(std::string path, std::string body)
{
    gateway::wire_format const wire = platform::make_wire_format();
    decision::routed_request request;
    if (wire.m_decode_request(
            {"POST", std::move(path), "", {{"Host", "h"}}, std::move(body)}, request))
    {
        return;
    }
    BOOST_ASSERT(!request.m_spec.m_tasks.empty() &&
                 request.m_spec.m_tasks.size() <= max_tasks_per_job);
    task_spec const & task = request.m_spec.m_tasks.front();
    BOOST_ASSERT(task.m_payload.size() <= max_spec_bytes);
    std::string const id = request.m_path.substr(request.m_path.rfind('/') + 1);
    wire.m_encode_call({1, "i", "127.0.0.1:1", 1, duration::zero(),
                        lease::start_call{{{id, 0, 0, 0}, 1}, task.m_payload, 1}});
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const * data, std::size_t size)
{
    if (size > 0)
    {
        std::string const changed =
            splice(data[0] % 4 == 0 ? valid_path : valid_body, {data + 1, size - 1});
        data[0] % 4 == 0 ? submit(changed, std::string(valid_body))
                         : submit(std::string(valid_path), changed);
    }
    return 0;
}
