#include "programs/PrettyJson.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

void write(std::string &out, const json::value &value, std::size_t depth);

void newLine(std::string &out, std::size_t depth)
{
    out += '\n';
    out.append(2 * depth, ' ');
}

void writeObject(std::string &out, const json::object &object, std::size_t depth)
{
    out += '{';
    bool first = true;
    for (const auto &entry : object) {
        out += first ? "" : ",";
        first = false;
        newLine(out, depth + 1);
        out += json::serialize(json::string(entry.key())) + ": ";
        write(out, entry.value(), depth + 1);
    }
    if (!first) {
        newLine(out, depth);
    }
    out += '}';
}

void writeArray(std::string &out, const json::array &array, std::size_t depth)
{
    const bool oneLine = std::ranges::none_of(array, &json::value::is_structured);
    out += '[';
    for (std::size_t i = 0; i < array.size(); ++i) {
        out += i == 0 ? "" : oneLine ? ", " : ",";
        if (!oneLine) {
            newLine(out, depth + 1);
        }
        write(out, array[i], depth + 1);
    }
    if (!oneLine) {
        newLine(out, depth);
    }
    out += ']';
}

void write(std::string &out, const json::value &value, std::size_t depth)
{
    if (const auto *object = value.if_object()) {
        writeObject(out, *object, depth);
    } else if (const auto *array = value.if_array()) {
        writeArray(out, *array, depth);
    } else if (const auto *number = value.if_double()) {
        // Boost.JSON would write 0.1 as 1E-1.
        char buf[32];
        out.append(buf, std::to_chars(buf, buf + sizeof buf, *number).ptr);
    } else {
        out += json::serialize(value);
    }
}

} // namespace

std::string prettyJson(std::string_view text)
{
    std::string out;
    write(out, json::parse(json::string_view(text.data(), text.size())), 0);
    return out + '\n';
}

} // namespace Coltsfootwell
