/// \file Fuzzes the parsers of JSON bodies from callers, upstreams and the platform.

#include <cassiahub/codec.hpp>

#include <boost/assert.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

using namespace cassiahub;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const * data, std::size_t size)
{
    std::string_view const text(reinterpret_cast<char const *>(data), size);
    job_spec spec;
    if (!codec::parse_job_body(text, spec))
    {
        BOOST_ASSERT(!spec.m_tasks.empty() && spec.m_tasks.size() <= max_tasks_per_job);
        BOOST_ASSERT(spec.m_time_limit > duration::zero());
        // A parsed job must be accepted again after formatting.
        job_spec again;
        BOOST_ASSERT(!codec::parse_job_body(codec::format_job_body(spec), again));
    }
    job_answer answer;
    codec::parse_job_answer(text, answer);
    codec::problem problem;
    codec::parse_problem(text, problem);
    codec::table_rows rows;
    codec::parse_table_rows(text, rows);
    codec::table_batch batch;
    codec::parse_table_batch(text, batch);
    std::vector<decision::listed_instance> instances;
    codec::parse_instances(text, instances);
    return 0;
}
