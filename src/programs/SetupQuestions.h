// Questionnaire of coltsfoot-setup and the sources of its answers.
#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief An invalid answer, in human-readable form.
struct AnswerFault
{
    /// Path of the question in the answers file, such as "/service/pedidos/slots".
    std::string question;
    std::string value;
    /// Rule that the value violates; empty for no violation.
    std::string rule;
};

/// \return one line with question, value and rule.
std::string formatFault(const AnswerFault &fault);

/// \brief One question of the questionnaire.
struct Question
{
    /// JSON pointer to the answer in the answers file.
    std::string id;
    /// Prompt for the terminal.
    std::string text;
    /// Default answer; std::nullopt if an answer is required.
    std::optional<std::string> fallback;
};

/// \brief Source of answers.
class AnswerSource
{
public:
    virtual ~AnswerSource() = default;

    /// \return the answer as text, with lists separated by commas; std::nullopt if there is none.
    virtual std::optional<std::string> answer(const Question &question) = 0;

    /// \brief Reports an invalid answer.
    /// \return true if the question can be repeated.
    virtual bool reject(const AnswerFault &fault) = 0;

    /// \return the first answer that belongs to no question, if there is one.
    virtual std::optional<AnswerFault> findUnusedAnswer() const = 0;
};

/// \brief Creates a source that asks the questions at a terminal.
std::unique_ptr<AnswerSource> makeTerminalSource(std::istream &in, std::ostream &out);

/// \brief Creates a source that takes the answers from a JSON document.
/// \param text content of the answers file.
/// \param fault set if the text is not a JSON object; its rule is empty otherwise.
std::unique_ptr<AnswerSource> makeFileSource(std::string_view text, AnswerFault &fault);

/// \brief Returns the rule that an answer violates, or an empty text.
using AnswerRule = std::function<std::string(const std::string &)>;

/// \brief Asks questions until their answers are valid. After an invalid answer whose question
/// cannot be repeated, all further answers are empty.
class Questioner
{
public:
    explicit Questioner(AnswerSource &source) : m_source(source) { }

    /// \param rule rule for the whole answer.
    std::string text(Question question, const AnswerRule &rule);

    /// \param from minimum of the number.
    /// \param to maximum of the number.
    double number(Question question, double from, double to);

    /// \brief Asks for a comma-separated list without duplicates.
    /// \param rule rule for each item.
    std::vector<std::string> list(Question question, const AnswerRule &rule);

    /// \return the first invalid answer, or else the first one that belongs to no question.
    std::optional<AnswerFault> fault() const;

private:
    AnswerSource &m_source;
    std::optional<AnswerFault> m_fault;
};

} // namespace Coltsfootwell
