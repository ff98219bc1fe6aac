#ifndef CASSIAHUB_LOAD_LOAD_VALUES_HPP
#define CASSIAHUB_LOAD_LOAD_VALUES_HPP

#include <cassiahub/load/load_plan.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cassiahub::load::internal
{

/// Reads a decimal number in [\p low, \p high].
bool read_number(std::string_view text, double low, double high, double & value);

/// Reads a number followed by ms, s or min, up to a day.
bool read_duration(std::string_view text, duration & value);

/// Reads space-separated words, at least one.
bool read_words(std::string_view text, std::vector<std::string> & words);

bool read_word(std::string_view text, std::string & word);
bool read_task_count(std::string_view text, std::uint32_t & count);

/// Reads "50ms-1s" or "50ms".
bool read_run_time_range(std::string_view text, run_time_range & range);

/// Reads space-separated VALUE:WEIGHT, each value with \p read.
template <typename Value>
bool read_weights(std::string_view text, bool (*read)(std::string_view, Value &),
                  std::vector<weighted<Value>> & choices)
{
    std::vector<std::string> words;
    choices.clear();
    if (!read_words(text, words))
    {
        return false;
    }
    for (std::string_view const word : words)
    {
        constexpr double max_weight = 1e6;
        std::size_t const colon = word.rfind(':');
        weighted<Value> & choice = choices.emplace_back();
        if (colon == std::string_view::npos ||
            !read(word.substr(0, colon), choice.m_value) ||
            !read_number(word.substr(colon + 1), 1e-6, max_weight, choice.m_weight))
        {
            return false;
        }
    }
    return true;
}

} // namespace cassiahub::load::internal

#endif
