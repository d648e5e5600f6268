// Reads the fields of JSON objects that other programs have written, and remembers the first fault.
#pragma once

#include "wire/JsonFault.h"

#include <boost/json.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \param text JSON text.
/// \param fault set when the text is no object.
/// \return the object.
boost::json::value parseObject(std::string_view text, JsonFault &fault);

/// \brief Fields of one object.
class JsonFields
{
public:
    /// \param object outlives this reader.
    /// \param path JSON pointer to the object.
    /// \param fault gets the first fault.
    JsonFields(const boost::json::object &object, std::string path, JsonFault &fault);

    /// \return the text; the fallback when the field is missing.
    std::string text(std::string_view key, std::string fallback = {}) const;

    /// \return the text; a fault when it is missing or empty.
    std::string requiredText(std::string_view key) const;

    /// \return the truth value; the fallback when the field is missing.
    bool boolean(std::string_view key, bool fallback) const;

    /// \return the number; the fallback when the field is missing. A fault when it is negative.
    double number(std::string_view key, double fallback) const;

    /// \return the whole number; the fallback when the field is missing. A fault when the type
    /// cannot hold it.
    template <typename Number>
    Number integer(std::string_view key, Number fallback) const
    {
        const boost::json::value *value = find(key);
        if (!value) {
            return fallback;
        }
        boost::system::error_code ec;
        const auto n = value->to_number<Number>(ec);
        if (ec) {
            fail(key, "must be a number in range");
            return fallback;
        }
        return n;
    }

    /// \return a time that is given in milliseconds; the fallback when the field is missing.
    std::chrono::milliseconds milliseconds(std::string_view key,
                                           std::chrono::milliseconds fallback) const
    {
        return std::chrono::milliseconds(integer(key, fallback.count()));
    }

    /// \return a time that is given in seconds; the fallback when the field is missing.
    std::chrono::milliseconds seconds(std::string_view key,
                                      std::chrono::milliseconds fallback
                                      = std::chrono::milliseconds(0)) const;

    /// \return the texts of an array; empty when the field is missing.
    std::vector<std::string> texts(std::string_view key) const;

    /// \brief Visits an object; nothing when the field is missing.
    void object(std::string_view key, const std::function<void(const JsonFields &)> &visit) const;

    /// \brief Visits the objects of an array; nothing when the field is missing.
    void objects(std::string_view key, const std::function<void(const JsonFields &)> &visit) const;

    /// \brief Visits the objects that are the members of an object, with their names.
    void members(std::string_view key,
                 const std::function<void(std::string, const JsonFields &)> &visit) const;

    /// \return the names of all fields.
    std::vector<std::string> names() const;

    /// \brief Remembers a fault.
    /// \param value the offending part; the whole field when nothing is given.
    void fail(std::string_view key, std::string rule,
              std::optional<std::string_view> value = std::nullopt) const;

private:
    const boost::json::value *find(std::string_view key) const;
    std::string pathOf(std::string_view key) const { return m_path + '/' + std::string(key); }

    const boost::json::object &m_object;
    std::string m_path;
    JsonFault &m_fault;
};

} // namespace Coltsfootwell
