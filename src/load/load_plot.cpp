#include <cassiahub/load/load_report.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cassiahub::load
{

namespace internal
{

namespace
{

// Sizes in SVG user units.
constexpr double plot_width = 900;
constexpr double panel_height = 220;
constexpr double left_margin = 70;
constexpr double top_margin = 30;
constexpr double panel_gap = 50;
constexpr double legend_line = 16;

constexpr std::string_view colours[] = {"#1b6ca8", "#c8553d", "#3d8f5f",
                                        "#8a5aa8", "#b58900", "#444444"};

/// Diagram with time on the horizontal axis. The vertical axis covers [m_low, m_high].
struct panel
{
    double m_top = 0; ///< in SVG user units
    double m_low = 0;
    double m_high = 1;
    bool m_logarithmic = false;
    double m_length = 1; ///< end of the horizontal axis, in seconds
};

double to_x(panel const & target, double seconds)
{
    return left_margin + plot_width * seconds / target.m_length;
}

double to_y(panel const & target, double value)
{
    double const bounded = std::clamp(value, target.m_low, target.m_high);
    double const share =
        target.m_logarithmic
            ? std::log(bounded / target.m_low) / std::log(target.m_high / target.m_low)
            : (bounded - target.m_low) / (target.m_high - target.m_low);
    return target.m_top + panel_height * (1 - share);
}

void draw_frame(std::string & svg, panel const & target, std::string_view title)
{
    fmt::format_to(std::back_inserter(svg),
                   "<text x='{}' y='{}'>{}</text>\n"
                   "<rect x='{}' y='{}' width='{}' height='{}' fill='none' "
                   "stroke='#999'/>\n",
                   left_margin, target.m_top - 8, title, left_margin, target.m_top,
                   plot_width, panel_height);
}

void draw_tick(std::string & svg, panel const & target, double value,
               std::string_view label)
{
    double const y = to_y(target, value);
    fmt::format_to(std::back_inserter(svg),
                   "<line x1='{0}' x2='{1}' y1='{2:.1f}' y2='{2:.1f}' stroke='#ddd'/>\n"
                   "<text x='{3}' y='{4:.1f}' text-anchor='end'>{5}</text>\n",
                   left_margin, left_margin + plot_width, y, left_margin - 6, y + 4,
                   label);
}

void draw_floods(std::string & svg, panel const & target, load_plan const & plan)
{
    for (flood const & item : plan.m_floods)
    {
        double const start = std::chrono::duration<double>(item.m_start).count();
        double const length = std::chrono::duration<double>(item.m_length).count();
        double const left = to_x(target, std::min(start, target.m_length));
        double const right = to_x(target, std::min(start + length, target.m_length));
        fmt::format_to(std::back_inserter(svg),
                       "<rect x='{:.1f}' y='{}' width='{:.1f}' height='{}' "
                       "fill='#f3e2b3' opacity='0.6'/>\n",
                       left, target.m_top, right - left, panel_height);
    }
}

/// Draws a line of \p measure over the intervals in which jobs were due.
template <typename Measure>
void draw_line(std::string & svg, panel const & target, load_report const & report,
               kind_totals const & totals, std::string_view colour,
               std::string_view dashes, Measure measure)
{
    double const interval = std::chrono::duration<double>(report.m_interval).count();
    std::string points;
    for (std::size_t index = 0; index < totals.m_intervals.size(); ++index)
    {
        interval_counts const & counts = totals.m_intervals[index];
        if (counts.m_offered > 0)
        {
            double const middle = (static_cast<double>(index) + 0.5) * interval;
            fmt::format_to(std::back_inserter(points), "{:.1f},{:.1f} ",
                           to_x(target, std::min(middle, target.m_length)),
                           to_y(target, measure(counts)));
        }
    }
    fmt::format_to(std::back_inserter(svg),
                   "<polyline points='{}' fill='none' stroke='{}' "
                   "stroke-dasharray='{}'/>\n",
                   points, colour, dashes);
}

void draw_legend(std::string & svg, load_plan const & plan, double top)
{
    for (std::size_t kind = 0; kind < plan.m_kinds.size(); ++kind)
    {
        fmt::format_to(std::back_inserter(svg),
                       "<text x='{}' y='{}' fill='{}'>{}</text>\n", left_margin,
                       top + legend_line * static_cast<double>(kind),
                       colours[kind % std::size(colours)], plan.m_kinds[kind].m_name);
    }
}

} // namespace

} // namespace internal

std::string format_plot(load_plan const & plan, load_report const & report)
{
    using namespace internal;
    double const length = std::chrono::duration<double>(plan.m_length).count();
    panel const latency{top_margin, 0.01, 100, true, length};
    panel const service{top_margin + panel_height + panel_gap, 0, 1, false, length};
    double const legend_top = service.m_top + panel_height + panel_gap;
    double const height =
        legend_top + legend_line * static_cast<double>(plan.m_kinds.size());
    std::string svg =
        fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{0}' height='{1}' "
                    "font-family='sans-serif' font-size='12'>\n"
                    "<rect width='{0}' height='{1}' fill='white'/>\n",
                    plot_width + left_margin + 20, height);
    for (panel const & target : {latency, service})
    {
        draw_floods(svg, target, plan);
    }
    draw_frame(svg, latency, "latency from the scheduled arrival: p99, and p50 dashed");
    draw_frame(svg, service,
               fmt::format("share of jobs answered in time, {:.0f} s run", length));
    for (double const tick : {0.01, 0.1, 1.0, 10.0, 100.0})
    {
        draw_tick(svg, latency, tick, fmt::format("{} s", tick));
    }
    for (double const tick : {0.0, 0.25, 0.5, 0.75, 1.0})
    {
        draw_tick(svg, service, tick, fmt::format("{}", tick));
    }
    for (std::size_t kind = 0; kind < report.m_kinds.size(); ++kind)
    {
        kind_totals const & totals = report.m_kinds[kind];
        std::string_view const colour = colours[kind % std::size(colours)];
        draw_line(svg, latency, report, totals, colour, "none",
                  [](interval_counts const & counts)
                  { return quantile(counts.m_latency, 0.99); });
        draw_line(svg, latency, report, totals, colour, "3,3",
                  [](interval_counts const & counts)
                  { return quantile(counts.m_latency, 0.5); });
        draw_line(svg, service, report, totals, colour, "none",
                  [](interval_counts const & counts)
                  {
                      return static_cast<double>(counts.m_in_time) /
                             static_cast<double>(counts.m_offered);
                  });
    }
    draw_legend(svg, plan, legend_top);
    return svg + "</svg>\n";
}

} // namespace cassiahub::load
