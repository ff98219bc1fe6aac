#include <cassiahub/peer/error.hpp>

#include <string>

namespace cassiahub::peer
{

namespace internal
{

class peer_error_category final : public std::error_category
{
public:
    char const * name() const noexcept override
    {
        return "cassiahub.peer";
    }

    std::string message(int value) const override
    {
        switch (static_cast<peer_errc>(value))
        {
        case peer_errc::bind_failed:
            return "bind_failed";
        case peer_errc::event_loop_failed:
            return "event_loop_failed";
        }
        return "unknown_error";
    }
};

} // namespace internal

std::error_category const & peer_category() noexcept
{
    static internal::peer_error_category const category;
    return category;
}

std::error_code make_error_code(peer_errc value) noexcept
{
    return {static_cast<int>(value), peer_category()};
}

} // namespace cassiahub::peer
