// A dialect whose methods throw for headers of a given name, for tests of tasks that an exception
// ends.
#pragma once

#include "wire/OwnDialect.h"

#include <algorithm>
#include <stdexcept>

namespace Coltsfootwell::Testing {

/// \brief The own dialect, but for messages with the header ThrowingHeader.
class ThrowingDialect final : public HttpDialect
{
public:
    static constexpr std::string_view ThrowingHeader = "X-Throws";

    CallEnvelope decodeCall(std::span<const HeaderField> fields, HeaderFault &fault,
                            std::error_code &ec) const override
    {
        throwIfMarked(fields);
        return ownDialect().decodeCall(fields, fault, ec);
    }

    void encodeRun(const RunEnvelope &envelope, std::vector<HeaderField> &fields) const override
    {
        ownDialect().encodeRun(envelope, fields);
    }

    AnswerEnvelope decodeAnswer(unsigned status, std::span<const HeaderField> fields) const override
    {
        throwIfMarked(fields);
        return ownDialect().decodeAnswer(status, fields);
    }

    void encodeAnswer(std::string_view servedBy, std::vector<HeaderField> &fields) const override
    {
        ownDialect().encodeAnswer(servedBy, fields);
    }

    RefusalHead encodeRefusal(Outcome outcome, Reason reason, std::string_view requestId,
                              std::optional<Duration> retryAfter) const override
    {
        return ownDialect().encodeRefusal(outcome, reason, requestId, retryAfter);
    }

    ProbeReport decodeProbe(unsigned status, std::span<const HeaderField> fields,
                            std::string_view body) const override
    {
        return ownDialect().decodeProbe(status, fields, body);
    }

private:
    static void throwIfMarked(std::span<const HeaderField> fields)
    {
        if (headerValue(fields, ThrowingHeader)) {
            throw std::runtime_error("marked message");
        }
    }
};

} // namespace Coltsfootwell::Testing
