// Checks names.  None of the allowed characters needs escaping in JSON.
#pragma once

#include <algorithm>
#include <string_view>

#include "cornelhead/config/validation.h"

namespace cornelhead::detail {

inline bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.';
}

inline bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= DeclarationLimits::nameBytes
            && std::all_of(text.begin(), text.end(), isNameCharacter);
}

} // namespace cornelhead::detail
