// Typed access to the fields of untrusted JSON objects; records the first violation.
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
/// \param fault set if the text is not a JSON object.
/// \return the object; empty if the text is not a JSON object.
boost::json::value parseObject(std::string_view text, JsonFault &fault);

/// \brief Reads the fields of one object. A field whose value is null counts as missing.
class JsonFields
{
public:
    /// Longest duration, which can still be added to a time without overflow.
    static constexpr std::chrono::seconds MaxDuration {1'000'000'000};

    /// \param object must outlive this reader.
    /// \param path JSON pointer to the object.
    /// \param fault set to the first violation; must outlive this reader.
    JsonFields(const boost::json::object &object, std::string path, JsonFault &fault);

    /// \brief Records a violation if the field is missing.
    void require(std::string_view key) const;

    /// \return the string; the fallback if the field is missing.
    std::string text(std::string_view key, std::string fallback = {}) const;

    /// \brief Records a violation if the field is missing or empty.
    /// \return the string.
    std::string requiredText(std::string_view key) const;

    /// \return the Boolean value; the fallback if the field is missing.
    bool boolean(std::string_view key, bool fallback) const;

    /// \brief Records a violation if the number is negative.
    /// \return the number; the fallback if the field is missing.
    double number(std::string_view key, double fallback) const;

    /// \brief Records a violation if the type cannot represent the number.
    /// \return the integer; the fallback if the field is missing.
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

    /// \brief Records a violation if the duration is negative or longer than MaxDuration.
    /// \return the duration of a field in milliseconds; the fallback if the field is missing.
    std::chrono::milliseconds milliseconds(std::string_view key,
                                           std::chrono::milliseconds fallback) const;

    /// \brief Records a violation if the duration is negative or longer than MaxDuration.
    /// \return the duration of a field in seconds; the fallback if the field is missing.
    std::chrono::milliseconds seconds(std::string_view key,
                                      std::chrono::milliseconds fallback
                                      = std::chrono::milliseconds(0)) const;

    /// \return the strings of an array; empty if the field is missing.
    std::vector<std::string> texts(std::string_view key) const;

    /// \brief Visits an object; does nothing if the field is missing.
    void object(std::string_view key, const std::function<void(const JsonFields &)> &visit) const;

    /// \brief Visits each object of an array; does nothing if the field is missing.
    void objects(std::string_view key, const std::function<void(const JsonFields &)> &visit) const;

    /// \brief Visits each member of an object, which must itself be an object, with its name.
    void members(std::string_view key,
                 const std::function<void(std::string, const JsonFields &)> &visit) const;

    /// \return the names of all fields.
    std::vector<std::string> names() const;

    /// \brief Records a violation unless one is recorded already.
    /// \param key name of the field.
    /// \param rule rule that the field violates.
    /// \param value invalid part of the value; the whole value by default.
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
