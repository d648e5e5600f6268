// What the set-up tool makes of the answers: configuration, explanation and trial settings.
#pragma once

#include "decisions/Configuration.h"
#include "programs/SetupAnswers.h"

namespace Coltsfootwell {

/// \param answers checked answers.
/// \return version 1 of the configuration.
Configuration planConfiguration(const SetupAnswers &answers);

/// \param answers checked answers.
/// \param configuration result of planConfiguration().
/// \return a Markdown page with the reason for each value.
std::string explainConfiguration(const SetupAnswers &answers, const Configuration &configuration);

/// \brief One file of a trial on a single machine.
struct TrialFile
{
    std::string name;
    std::string content;
};

/// \brief Settings of one daemon for each worker, all on 127.0.0.1, and a list of the workers.
/// \param answers checked answers.
/// \param configurationFile path of the configuration for the daemons.
/// \param firstPort port of the first daemon; the others follow.
std::vector<TrialFile> planTrial(const SetupAnswers &answers, const std::string &configurationFile,
                                 std::uint16_t firstPort);

} // namespace Coltsfootwell
