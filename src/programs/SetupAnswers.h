// Answers to the questionnaire of coltsfoot-setup.
#pragma once

#include "programs/SetupQuestions.h"

#include <map>

namespace Coltsfootwell {

/// \brief Answers about one service.
struct ServiceAnswers
{
    std::string name;
    /// Number of backend servers.
    unsigned backendServers = 0;
    /// Slots of one backend server.
    unsigned slots = 0;
    /// Typical time of one call.
    double answerMs = 0;
    /// Deadline of calls without one of their own.
    unsigned deadlineMs = 0;
    /// Maximum number of concurrent calls of a cold backend server.
    unsigned coldCalls = 0;
    /// Prefix of the paths of the service.
    std::string prefix;
    std::vector<std::string> idempotentMethods;
    std::vector<std::string> homeRegions;
};

/// \brief All answers.
struct SetupAnswers
{
    std::string company;
    std::vector<std::string> regions;
    /// Data centres of each region.
    std::map<std::string, std::vector<std::string>> dataCentres;
    /// One-way network latencies.
    double betweenDataCentresMs = 0;
    double betweenRegionsMs = 0;
    double toClientsMs = 0;
    std::vector<ServiceAnswers> services;
    /// Home regions of each customer.
    std::map<std::string, std::vector<std::string>> customers;
};

/// \brief Asks all questions of the questionnaire.
/// \param source source of the answers.
/// \param fault set to the first invalid answer, or reset.
/// \return the answers; unspecified if fault is set.
SetupAnswers askSetup(AnswerSource &source, std::optional<AnswerFault> &fault);

} // namespace Coltsfootwell
