// Questions of the set-up tool and where their answers come from.
#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief An answer that breaks a rule, for people to read.
struct AnswerFault
{
    /// Path of the question in the answers file, such as "/service/pedidos/slots".
    std::string question;
    std::string value;
    std::string rule;
};

/// \param fault any fault.
/// \return one line that names question, value and rule.
std::string faultLine(const AnswerFault &fault);

/// \brief One question.
struct Question
{
    std::string id;
    std::string text;
    /// Answer when nothing is given; nothing when an answer is required.
    std::optional<std::string> fallback;
};

/// \brief Where answers come from.
class AnswerSource
{
public:
    virtual ~AnswerSource() = default;

    /// \return the answer as text, lists separated by commas; nothing when there is none.
    virtual std::optional<std::string> answer(const Question &question) = 0;

    /// \brief An answer broke a rule.
    /// \return true when the question can be asked again.
    virtual bool rejected(const AnswerFault &fault) = 0;

    /// \return fault for answers that no question asked for.
    virtual std::optional<AnswerFault> unused() const = 0;
};

/// \brief Asks at a terminal.
std::unique_ptr<AnswerSource> makeTerminalSource(std::istream &in, std::ostream &out);

/// \brief Takes the answers from a JSON document.
/// \param text content of the answers file.
/// \param fault set when it is not a JSON object; its rule is empty otherwise.
std::unique_ptr<AnswerSource> makeFileSource(std::string_view text, AnswerFault &fault);

/// \brief Returns the rule that an answer breaks, or an empty text.
using AnswerRule = std::function<std::string(const std::string &)>;

/// \brief Asks questions until their answers keep the rules. After a fault that cannot be asked
/// again, all further answers are empty.
class Questioner
{
public:
    explicit Questioner(AnswerSource &source) : m_source(source) { }

    std::string text(Question question, const AnswerRule &rule);
    double number(Question question, double from, double to);
    std::vector<std::string> list(Question question, const AnswerRule &rule);

    /// \return the first fault, or one for answers that nobody asked for.
    std::optional<AnswerFault> fault() const;

private:
    AnswerSource &m_source;
    std::optional<AnswerFault> m_fault;
};

} // namespace Coltsfootwell
