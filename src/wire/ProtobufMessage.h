// Decodes protobuf messages from views.
// Include only from .cpp files, since it includes protobuf.
#pragma once

#include <google/protobuf/message_lite.h>

#include <limits>
#include <string_view>

namespace Coltsfootwell::Internal {

/// \param bytes encoded message.
/// \param message set to the decoded message.
/// \return false if the bytes are malformed.
inline bool parseMessage(std::string_view bytes, google::protobuf::MessageLite &message)
{
    return bytes.size() <= static_cast<std::size_t>(std::numeric_limits<int>::max())
        && message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace Coltsfootwell::Internal
