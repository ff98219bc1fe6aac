#ifndef CASSIAHUB_LOAD_LOAD_VALUES_HPP
#define CASSIAHUB_LOAD_LOAD_VALUES_HPP

#include <cassiahub/load/load_plan.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::load::internal
{

// Each parser returns false when the text is malformed or out of range.

/// Parses a decimal number in [\p low, \p high].
bool parse_number(std::string_view text, double low, double high, double & value);

/// Parses a number followed by ms, s or min, at most one day.
bool parse_duration(std::string_view text, duration & value);

/// Parses space-separated words, at least one.
bool parse_words(std::string_view text, std::vector<std::string> & words);

/// Parses a single word without spaces.
bool parse_word(std::string_view text, std::string & word);

/// Parses a number of tasks from 1 to max_tasks_per_job.
bool parse_task_count(std::string_view text, std::uint32_t & count);

/// Parses a range such as "50ms-1s" or a single run time such as "50ms".
bool parse_run_time_range(std::string_view text, run_time_range & range);

/// Parses space-separated VALUE:WEIGHT items, each value with \p parse.
template <typename Value>
bool parse_weights(std::string_view text, bool (*parse)(std::string_view, Value &),
                   std::vector<weighted<Value>> & choices)
{
    std::vector<std::string> words;
    choices.clear();
    if (!parse_words(text, words))
    {
        return false;
    }
    for (std::string_view const word : words)
    {
        constexpr double max_weight = 1e6;
        std::size_t const colon = word.rfind(':');
        weighted<Value> & choice = choices.emplace_back();
        if (colon == std::string_view::npos ||
            !parse(word.substr(0, colon), choice.m_value) ||
            !parse_number(word.substr(colon + 1), 1e-6, max_weight, choice.m_weight))
        {
            return false;
        }
    }
    return true;
}

} // namespace cassiahub::load::internal

#endif
