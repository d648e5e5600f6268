#include "wire/ControlFormat.h"

#include "wire/ConfigurationJson.h"

namespace Coltsfootwell {

namespace {

class OwnControlFormat final : public ControlFormat
{
public:
    std::string_view topic() const override { return OwnControlTopic; }

    ControlRecord decode(std::string_view key,
                         const std::optional<std::string> &value) const override
    {
        if (key != OwnConfigurationKey || !value) {
            return UnrelatedRecord {};
        }
        JsonFault fault;
        std::error_code ec;
        Configuration configuration = decodeConfiguration(*value, fault, ec);
        if (ec) {
            return MalformedRecord {std::move(fault)};
        }
        return ConfigurationPublished {
            std::make_shared<const Configuration>(std::move(configuration))};
    }
};

} // namespace

const ControlFormat &ownControlFormat()
{
    static const OwnControlFormat format;
    return format;
}

} // namespace Coltsfootwell
