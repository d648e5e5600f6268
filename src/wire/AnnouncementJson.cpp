#include "wire/AnnouncementJson.h"

#include "wire/WireError.h"

#include <boost/json.hpp>

#include <limits>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

template <typename Number>
Number requiredNumber(const json::object &object, std::string_view key, JsonFault &fault)
{
    const json::value *value = object.if_contains(key);
    boost::system::error_code ec;
    const auto n = value ? value->to_number<Number>(ec) : Number {};
    if ((!value || ec || n == 0) && fault.rule.empty()) {
        fault
            = {'/' + std::string(key), value ? json::serialize(*value) : std::string(),
               "must be a number from 1 to " + std::to_string(std::numeric_limits<Number>::max())};
    }
    return n;
}

} // namespace

BackendAnnouncement decodeAnnouncement(std::string_view text, JsonFault &fault, std::error_code &ec)
{
    BackendAnnouncement announcement;
    fault = {};
    ec.clear();
    boost::system::error_code parseError;
    const json::value document
        = json::parse(json::string_view(text.data(), text.size()), parseError);
    if (parseError || !document.is_object()) {
        fault = {"", "", parseError ? parseError.message() : "must be an object"};
        ec = WireError::BadJson;
        return announcement;
    }
    const json::object &object = document.get_object();
    if (const json::value *state = object.if_contains("state")) {
        if (*state == "draining") {
            announcement.state = AnnouncedState::Draining;
        } else if (*state != "ready") {
            fault = {"/state", json::serialize(*state), "must be \"ready\" or \"draining\""};
        }
    }
    const json::value *service = object.if_contains("service");
    if (!service || !service->is_string() || service->get_string().empty()) {
        fault = {"/service", service ? json::serialize(*service) : std::string(),
                 "must be the name of a service"};
    } else {
        announcement.service = std::string_view(service->get_string());
    }
    announcement.port = requiredNumber<std::uint16_t>(object, "port", fault);
    announcement.slots = requiredNumber<std::uint32_t>(object, "slots", fault);
    if (object.contains("connections")) {
        announcement.connections = requiredNumber<std::uint32_t>(object, "connections", fault);
    }
    if (!fault.rule.empty()) {
        ec = WireError::BadField;
    }
    return announcement;
}

std::string encodeAnnouncement(const BackendAnnouncement &announcement)
{
    return json::serialize(json::object {
        {"service", announcement.service},
        {"port", announcement.port},
        {"slots", announcement.slots},
        {"connections", announcement.connections},
        {"state", announcement.state == AnnouncedState::Ready ? "ready" : "draining"}});
}

std::string encodeFault(const JsonFault &fault)
{
    return json::serialize(
        json::object {{"path", fault.path}, {"value", fault.value}, {"rule", fault.rule}});
}

} // namespace Coltsfootwell
