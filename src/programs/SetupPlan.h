// Output of coltsfoot-setup: configuration, explanation and settings for a trial.
#pragma once

#include "decisions/Configuration.h"
#include "programs/SetupAnswers.h"

namespace Coltsfootwell {

/// \param answers valid answers.
/// \return version 1 of the configuration.
Configuration planConfiguration(const SetupAnswers &answers);

/// \param answers valid answers.
/// \param configuration result of planConfiguration().
/// \return Markdown page with the reason for each value.
std::string explainConfiguration(const SetupAnswers &answers, const Configuration &configuration);

/// \brief One file of a trial on a single host.
struct TrialFile
{
    std::string name;
    std::string content;
};

/// \brief Generates the settings of one daemon for each backend server, all on 127.0.0.1, and a
/// list of the backend servers.
/// \param answers valid answers.
/// \param configurationFile path of the configuration for the daemons.
/// \param firstPort port of the first daemon; the other daemons get the following ports.
std::vector<TrialFile> planTrial(const SetupAnswers &answers, const std::string &configurationFile,
                                 std::uint16_t firstPort);

} // namespace Coltsfootwell
