// The answered questionnaire of the set-up tool.
#pragma once

#include "programs/SetupQuestions.h"

#include <map>

namespace Coltsfootwell {

/// \brief Answers about one service.
struct ServiceAnswers
{
    std::string name;
    unsigned workers = 0;
    unsigned slots = 0;
    double answerMs = 0;
    unsigned deadlineMs = 0;
    unsigned coldCalls = 0;
    std::string prefix;
    std::vector<std::string> idempotentMethods;
    std::vector<std::string> homeRegions;
};

/// \brief All answers.
struct SetupAnswers
{
    std::string company;
    std::vector<std::string> regions;
    std::map<std::string, std::vector<std::string>> dataCentres;
    double dataCentresMs = 0;
    double regionsMs = 0;
    double clientsMs = 0;
    std::vector<ServiceAnswers> services;
    std::map<std::string, std::vector<std::string>> customers;
};

/// \brief Asks all questions.
/// \param source where the answers come from.
/// \param fault the first answer that breaks a rule, or nothing.
/// \return the answers; of no use when fault is set.
SetupAnswers askSetup(AnswerSource &source, std::optional<AnswerFault> &fault);

} // namespace Coltsfootwell
