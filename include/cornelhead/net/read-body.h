// Reads the bodies of messages that evhttp holds.
#pragma once

#include <string>

#include <event2/buffer.h>

namespace cornelhead::detail {

/// Moves all bytes out of `buffer`.
inline std::string readBody(evbuffer *buffer)
{
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

} // namespace cornelhead::detail
