#include "load/load_values.hpp"

#include <cassiahub/core/job.hpp>

#include <charconv>
#include <utility>

namespace cassiahub::load::internal
{

bool parse_number(std::string_view text, double low, double high, double & value)
{
    char const * const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end && value >= low && value <= high;
}

bool parse_duration(std::string_view text, duration & value)
{
    constexpr double max_milliseconds = 86'400'000;
    constexpr std::pair<std::string_view, double> units[] = {
        {"ms", 1}, {"min", 60'000}, {"s", 1000}};
    for (auto const & [unit, factor] : units)
    {
        double count = 0;
        if (text.ends_with(unit) &&
            parse_number(text.substr(0, text.size() - unit.size()), 0,
                         max_milliseconds / factor, count))
        {
            value = std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>(count * factor));
            return true;
        }
    }
    return false;
}

bool parse_words(std::string_view text, std::vector<std::string> & words)
{
    words.clear();
    while (!text.empty())
    {
        std::size_t const space = text.find(' ');
        if (space != 0)
        {
            words.emplace_back(text.substr(0, space));
        }
        text.remove_prefix(space == std::string_view::npos ? text.size() : space + 1);
    }
    return !words.empty();
}

bool parse_word(std::string_view text, std::string & word)
{
    word = text;
    return !text.empty() && text.find(' ') == std::string_view::npos;
}

bool parse_task_count(std::string_view text, std::uint32_t & count)
{
    double value = 0;
    bool const is_valid =
        parse_number(text, 1, static_cast<double>(max_tasks_per_job), value);
    count = static_cast<std::uint32_t>(value);
    return is_valid;
}

bool parse_run_time_range(std::string_view text, run_time_range & range)
{
    std::size_t const dash = text.find('-');
    if (!parse_duration(text.substr(0, dash), range.m_low))
    {
        return false;
    }
    range.m_high = range.m_low;
    return dash == std::string_view::npos ||
           (parse_duration(text.substr(dash + 1), range.m_high) &&
            range.m_high >= range.m_low);
}

} // namespace cassiahub::load::internal
