#include "programs/SetupQuestions.h"

#include "wire/HttpDialect.h"

#include <boost/json.hpp>

#include <charconv>
#include <istream>
#include <ostream>
#include <set>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

std::string trim(std::string_view text)
{
    const std::size_t from = text.find_first_not_of(" \t\r");
    const std::size_t to = text.find_last_not_of(" \t\r");
    return from == std::string_view::npos ? std::string()
                                          : std::string(text.substr(from, to - from + 1));
}

class TerminalSource final : public AnswerSource
{
public:
    TerminalSource(std::istream &in, std::ostream &out) : m_in(in), m_out(out) { }

    std::optional<std::string> answer(const Question &question) override
    {
        m_out << question.text;
        if (question.fallback) {
            m_out << " [" << *question.fallback << ']';
        }
        m_out << ": " << std::flush;
        std::string line;
        if (!std::getline(m_in, line)) {
            return std::nullopt;
        }
        line = trim(line);
        return line.empty() ? question.fallback.value_or("") : line;
    }

    bool reject(const AnswerFault &fault) override
    {
        m_out << formatFault(fault) << '\n';
        return m_in.good();
    }

    std::optional<AnswerFault> findUnusedAnswer() const override { return std::nullopt; }

private:
    std::istream &m_in;
    std::ostream &m_out;
};

std::string formatNumber(double number)
{
    char buf[32];
    return {buf, std::to_chars(buf, buf + sizeof buf, number).ptr};
}

std::string toAnswerText(const json::value &value)
{
    if (const auto *array = value.if_array()) {
        std::string list;
        for (const json::value &item : *array) {
            list += (list.empty() ? "" : ",") + toAnswerText(item);
        }
        return list;
    }
    if (const auto *string = value.if_string()) {
        return std::string(std::string_view(*string));
    }
    return value.is_double() ? formatNumber(value.get_double()) : json::serialize(value);
}

class FileSource final : public AnswerSource
{
public:
    explicit FileSource(json::value document) : m_document(std::move(document)) { }

    std::optional<std::string> answer(const Question &question) override
    {
        m_askedQuestions.insert(question.id);
        boost::system::error_code ec;
        const json::value *value = m_document.find_pointer(question.id, ec);
        return value && !ec ? std::optional(toAnswerText(*value)) : question.fallback;
    }

    bool reject(const AnswerFault &) override { return false; }

    std::optional<AnswerFault> findUnusedAnswer() const override
    {
        return findUnusedAnswerIn(m_document, "");
    }

private:
    std::optional<AnswerFault> findUnusedAnswerIn(const json::value &value,
                                                  const std::string &path) const
    {
        if (m_askedQuestions.contains(path)) {
            return std::nullopt;
        }
        if (!value.is_object()) {
            return AnswerFault {path, json::serialize(value), "does not belong to any question"};
        }
        for (const auto &entry : value.get_object()) {
            if (auto fault
                = findUnusedAnswerIn(entry.value(), path + '/' + std::string(entry.key()))) {
                return fault;
            }
        }
        return std::nullopt;
    }

    json::value m_document;
    std::set<std::string> m_askedQuestions;
};

} // namespace

std::string formatFault(const AnswerFault &fault)
{
    return "question " + fault.question + ": value \"" + fault.value + "\" " + fault.rule;
}

std::unique_ptr<AnswerSource> makeTerminalSource(std::istream &in, std::ostream &out)
{
    return std::make_unique<TerminalSource>(in, out);
}

std::unique_ptr<AnswerSource> makeFileSource(std::string_view text, AnswerFault &fault)
{
    fault = {};
    boost::system::error_code ec;
    json::value document = json::parse(json::string_view(text.data(), text.size()), ec);
    if (ec || !document.is_object()) {
        fault = {"/", "", ec ? "is not valid JSON: " + ec.message() : "must be a JSON object"};
        document = json::object();
    }
    return std::make_unique<FileSource>(std::move(document));
}

std::string Questioner::text(Question question, const AnswerRule &rule)
{
    while (!m_fault) {
        const std::optional<std::string> answer = m_source.answer(question);
        AnswerFault fault {question.id, answer.value_or(""),
                           answer ? rule(*answer) : "is required"};
        if (fault.rule.empty()) {
            return *answer;
        }
        if (!m_source.reject(fault) || !answer) {
            m_fault = std::move(fault);
        }
    }
    return {};
}

double Questioner::number(Question question, double from, double to)
{
    double result = from;
    text(std::move(question), [&](const std::string &answer) -> std::string {
        const auto [end, error]
            = std::from_chars(answer.data(), answer.data() + answer.size(), result);
        const bool consumed = error == std::errc() && end == answer.data() + answer.size();
        return consumed && result >= from && result <= to
            ? ""
            : "must be a number from " + formatNumber(from) + " to " + formatNumber(to);
    });
    return result;
}

std::vector<std::string> Questioner::list(Question question, const AnswerRule &rule)
{
    return splitList(text(std::move(question), [&](const std::string &answer) -> std::string {
        std::set<std::string> uniqueParts;
        for (const std::string &part : splitList(answer)) {
            if (!uniqueParts.insert(part).second) {
                return "must not name " + part + " twice";
            }
            if (std::string violatedRule = rule(part); !violatedRule.empty()) {
                return violatedRule;
            }
        }
        return {};
    }));
}

std::optional<AnswerFault> Questioner::fault() const
{
    return m_fault ? m_fault : m_source.findUnusedAnswer();
}

} // namespace Coltsfootwell
