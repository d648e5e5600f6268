#include "wire/AnswerHead.h"

#include "wire/HttpDialect.h"

namespace Coltsfootwell {

bool hasFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos
        || head.find("\r\n\t") != std::string_view::npos;
}

bool isReadableTransferCoding(std::string_view coding)
{
    return equalHeaderNames(coding, "chunked");
}

} // namespace Coltsfootwell
