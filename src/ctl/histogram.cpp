#include <cassiahub/ctl/histogram.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <utility>

namespace cassiahub::ctl
{

namespace internal
{

/// One sample line of a metrics response.
struct sample
{
    std::string_view m_name;
    std::string_view m_labels; ///< between the braces
    double m_value = 0;
};

std::string_view trim(std::string_view text) noexcept
{
    std::size_t const first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

/// \returns the position of the brace that ends the labels, or npos. Braces inside
/// quoted label values do not count.
std::size_t find_label_end(std::string_view line, std::size_t start) noexcept
{
    bool quoted = false;
    for (std::size_t index = start; index < line.size(); ++index)
    {
        if (quoted && line[index] == '\\')
        {
            ++index;
        }
        else if (line[index] == '"')
        {
            quoted = !quoted;
        }
        else if (!quoted && line[index] == '}')
        {
            return index;
        }
    }
    return std::string_view::npos;
}

/// \returns false when \p text is not exactly one number or is NaN.
bool parse_number(std::string_view text, double & value)
{
    std::string const copy(text);
    char * end = nullptr;
    value = std::strtod(copy.c_str(), &end);
    return !copy.empty() && end == copy.c_str() + copy.size() && !std::isnan(value);
}

/// \returns false for a comment, an empty line and a malformed line.
bool parse_sample(std::string_view line, sample & parsed)
{
    line = trim(line);
    if (line.empty() || line.front() == '#')
    {
        return false;
    }
    std::size_t const name_end = line.find_first_of("{ \t");
    if (name_end == std::string_view::npos)
    {
        return false;
    }
    parsed.m_name = line.substr(0, name_end);
    std::size_t value_start = name_end;
    if (line[name_end] == '{')
    {
        std::size_t const end = find_label_end(line, name_end + 1);
        if (end == std::string_view::npos)
        {
            return false;
        }
        parsed.m_labels = line.substr(name_end + 1, end - name_end - 1);
        value_start = end + 1;
    }
    std::string_view const rest = trim(line.substr(value_start));
    // Ignores a timestamp after the value.
    return parse_number(rest.substr(0, rest.find_first_of(" \t")), parsed.m_value);
}

/// Separates the label "le" from the other labels.
/// \param other_labels other labels, separated by commas.
/// \param bound value of "le".
/// \returns false when "le" is absent or a label is malformed.
bool extract_bound(std::string_view labels, std::string & other_labels, double & bound)
{
    bool found = false;
    while (!labels.empty())
    {
        std::size_t const quote = labels.find('"');
        if (quote == std::string_view::npos)
        {
            return false;
        }
        std::size_t end = quote + 1;
        while (end < labels.size() && labels[end] != '"')
        {
            end += labels[end] == '\\' ? 2 : 1;
        }
        if (end >= labels.size())
        {
            return false;
        }
        std::string_view const label = trim(labels.substr(0, end + 1));
        if (label.starts_with("le=\""))
        {
            found = parse_number(label.substr(4, label.size() - 5), bound);
        }
        else
        {
            other_labels += other_labels.empty() ? "" : ",";
            other_labels += label;
        }
        labels.remove_prefix(end + 1);
        std::size_t const next = labels.find_first_not_of(", \t");
        labels.remove_prefix(next == std::string_view::npos ? labels.size() : next);
    }
    return found;
}

constexpr std::string_view bucket_suffix = "_bucket";
constexpr std::string_view sum_suffix = "_sum";
constexpr std::string_view count_suffix = "_count";

/// Histograms by name and labels.
using histogram_map = std::map<std::pair<std::string, std::string>, histogram>;

/// Adds the bucket of a "_bucket" sample to its histogram, which is created if necessary.
void add_bucket(sample const & metric, histogram_map & found)
{
    std::string labels;
    double bound = 0;
    if (!extract_bound(metric.m_labels, labels, bound))
    {
        return;
    }
    std::string const name(
        metric.m_name.substr(0, metric.m_name.size() - bucket_suffix.size()));
    histogram & target = found[{name, labels}];
    target.m_name = name;
    target.m_labels = labels;
    target.m_buckets.push_back({bound, metric.m_value});
}

/// Stores a sum or a count in the histogram with the same name and labels. Ignores it
/// when there is no such histogram.
void add_total(sample const & metric, std::string_view suffix, double histogram::*member,
               histogram_map & found)
{
    std::string const name(metric.m_name.substr(0, metric.m_name.size() - suffix.size()));
    auto const target = found.find({name, std::string(metric.m_labels)});
    if (target != found.end())
    {
        target->second.*member = metric.m_value;
    }
}

} // namespace internal

std::vector<histogram> parse_histograms(std::string_view page)
{
    internal::histogram_map found;
    while (!page.empty())
    {
        std::size_t const newline = page.find('\n');
        internal::sample metric;
        if (internal::parse_sample(page.substr(0, newline), metric))
        {
            if (metric.m_name.ends_with(internal::bucket_suffix))
            {
                internal::add_bucket(metric, found);
            }
            else if (metric.m_name.ends_with(internal::sum_suffix))
            {
                internal::add_total(metric, internal::sum_suffix, &histogram::m_sum,
                                    found);
            }
            else if (metric.m_name.ends_with(internal::count_suffix))
            {
                internal::add_total(metric, internal::count_suffix, &histogram::m_count,
                                    found);
            }
        }
        page.remove_prefix(newline == std::string_view::npos ? page.size() : newline + 1);
    }
    std::vector<histogram> histograms;
    for (auto & [key, value] : found)
    {
        std::sort(value.m_buckets.begin(), value.m_buckets.end(),
                  [](histogram_bucket const & left, histogram_bucket const & right)
                  { return left.m_upper_bound < right.m_upper_bound; });
        histograms.push_back(std::move(value));
    }
    return histograms;
}

double estimate_quantile(std::span<histogram_bucket const> buckets, double quantile)
{
    double const total = buckets.empty() ? 0 : buckets.back().m_cumulative;
    double const rank = quantile * total;
    double lower_bound = 0;
    double previous_cumulative = 0;
    for (histogram_bucket const & bucket : buckets)
    {
        if (bucket.m_cumulative > 0 && bucket.m_cumulative >= rank)
        {
            double const bucket_count = bucket.m_cumulative - previous_cumulative;
            if (std::isinf(bucket.m_upper_bound) || bucket_count <= 0)
            {
                return lower_bound;
            }
            return lower_bound + (bucket.m_upper_bound - lower_bound) *
                                     (rank - previous_cumulative) / bucket_count;
        }
        lower_bound = bucket.m_upper_bound;
        previous_cumulative = bucket.m_cumulative;
    }
    return 0;
}

std::string draw_histogram(histogram const & source, std::size_t width)
{
    std::string text =
        fmt::format("{}{}{}{}\n  count {:.0f}, mean {:.6g}, p50 {:.6g}, p99 {:.6g}\n",
                    source.m_name, source.m_labels.empty() ? "" : "{", source.m_labels,
                    source.m_labels.empty() ? "" : "}", source.m_count,
                    source.m_count > 0 ? source.m_sum / source.m_count : 0.0,
                    estimate_quantile(source.m_buckets, 0.5),
                    estimate_quantile(source.m_buckets, 0.99));
    std::vector<double> counts;
    double previous_cumulative = 0;
    for (histogram_bucket const & bucket : source.m_buckets)
    {
        counts.push_back(std::max(0.0, bucket.m_cumulative - previous_cumulative));
        previous_cumulative = bucket.m_cumulative;
    }
    auto const is_nonzero = [](double count)
    {
        return count > 0;
    };
    auto const first = std::find_if(counts.begin(), counts.end(), is_nonzero);
    auto const last = std::find_if(counts.rbegin(), counts.rend(), is_nonzero).base();
    double const largest_count =
        counts.empty() ? 0 : *std::max_element(counts.begin(), counts.end());
    for (auto count = first; count < last; ++count)
    {
        auto const index = static_cast<std::size_t>(count - counts.begin());
        auto const length = static_cast<std::size_t>(
            std::ceil(*count / largest_count * static_cast<double>(width)));
        text += fmt::format("  <= {:>10.6g} {:>10.0f} {}\n",
                            source.m_buckets[index].m_upper_bound, *count,
                            std::string(length, '#'));
    }
    return text;
}

} // namespace cassiahub::ctl
