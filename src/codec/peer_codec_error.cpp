#include <cassiahub/codec/peer_codec.hpp>

#include <string>

namespace cassiahub::codec
{

namespace internal
{

class peer_codec_error_category final : public std::error_category
{
public:
    char const * name() const noexcept override
    {
        return "cassiahub.codec.peer";
    }

    std::string message(int value) const override
    {
        switch (static_cast<peer_codec_errc>(value))
        {
        case peer_codec_errc::malformed_structure:
            return "malformed_structure";
        case peer_codec_errc::unknown_message:
            return "unknown_message";
        case peer_codec_errc::bad_enumerator:
            return "bad_enumerator";
        case peer_codec_errc::bad_name:
            return "bad_name";
        case peer_codec_errc::out_of_range:
            return "out_of_range";
        case peer_codec_errc::too_many_items:
            return "too_many_items";
        }
        return "unknown_error";
    }
};

} // namespace internal

std::error_category const & peer_codec_category() noexcept
{
    static internal::peer_codec_error_category const category;
    return category;
}

std::error_code make_error_code(peer_codec_errc value) noexcept
{
    return {static_cast<int>(value), peer_codec_category()};
}

} // namespace cassiahub::codec
