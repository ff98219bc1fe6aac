#include <cassiahub/core/text.hpp>

#include <openssl/asn1.h>

namespace cassiahub
{

bool is_printable_utf8(std::string_view text) noexcept
{
    while (!text.empty())
    {
        auto const * const bytes = reinterpret_cast<unsigned char const *>(text.data());
        unsigned long character = 0;
        int const length = UTF8_getc(bytes, static_cast<int>(text.size()), &character);
        bool const is_control = character < 0x20 || character == 0x7f;
        if (length <= 0 || (is_control && character != '\t' && character != '\r'))
        {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(length));
    }
    return true;
}

} // namespace cassiahub
