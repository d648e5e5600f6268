#include "wire/AnswerHead.h"

namespace Coltsfootwell {

bool hasFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos
        || head.find("\r\n\t") != std::string_view::npos;
}

} // namespace Coltsfootwell
