#include <cassiahub/core/error_category.hpp>
#include <cassiahub/peer/error.hpp>

#include <string>
#include <string_view>

namespace cassiahub::peer
{

namespace internal
{

std::string_view name_of(peer_errc value) noexcept
{
    switch (value)
    {
    case peer_errc::bind_failed:
        return "bind_failed";
    case peer_errc::event_loop_failed:
        return "event_loop_failed";
    case peer_errc::frame_rejected:
        return "frame_rejected";
    case peer_errc::batch_rejected:
        return "batch_rejected";
    case peer_errc::open_rejected:
        return "open_rejected";
    case peer_errc::too_many_connections:
        return "too_many_connections";
    }
    return "unknown_error";
}

} // namespace internal

std::error_category const & peer_category() noexcept
{
    static named_error_category<peer_errc, internal::name_of> const category(
        "cassiahub.peer");
    return category;
}

std::error_code make_error_code(peer_errc value) noexcept
{
    return {static_cast<int>(value), peer_category()};
}

} // namespace cassiahub::peer
