#include <cassiahub/runtime/error.hpp>

#include <string>

namespace cassiahub::runtime
{

namespace internal
{

class runtime_error_category final : public std::error_category
{
public:
    char const * name() const noexcept override
    {
        return "cassiahub.runtime";
    }

    std::string message(int value) const override
    {
        switch (static_cast<runtime_errc>(value))
        {
        case runtime_errc::duty_threw:
            return "duty_threw";
        case runtime_errc::duty_returned_early:
            return "duty_returned_early";
        case runtime_errc::restart_intensity_exceeded:
            return "restart_intensity_exceeded";
        }
        return "unknown_error";
    }
};

} // namespace internal

std::error_category const & runtime_category() noexcept
{
    static internal::runtime_error_category const category;
    return category;
}

std::error_code make_error_code(runtime_errc value) noexcept
{
    return {static_cast<int>(value), runtime_category()};
}

} // namespace cassiahub::runtime
