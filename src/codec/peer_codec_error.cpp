#include <cassiahub/codec/peer_codec.hpp>
#include <cassiahub/core/error_category.hpp>

#include <string>
#include <string_view>

namespace cassiahub::codec
{

namespace internal
{

std::string_view name_of(peer_codec_errc value) noexcept
{
    switch (value)
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

} // namespace internal

std::error_category const & peer_codec_category() noexcept
{
    static named_error_category<peer_codec_errc, internal::name_of> const category(
        "cassiahub.codec.peer");
    return category;
}

std::error_code make_error_code(peer_codec_errc value) noexcept
{
    return {static_cast<int>(value), peer_codec_category()};
}

} // namespace cassiahub::codec
