// Notices changes of the settings file, with and without a signal, and applies what can change
// while the daemon runs.
#pragma once

#include "kernel/Kernel.h"
#include "programs/DaemonSettings.h"

#include <string>

namespace Coltsfootwell {

/// \brief Watches one file.
class SettingsWatch
{
public:
    static constexpr std::chrono::milliseconds CheckPeriod {1000};

    /// \param kernel gives the executor and the directory.
    /// \param file settings file.
    /// \param settings in force; outlives the object.
    SettingsWatch(Kernel &kernel, std::string file, DaemonSettings &settings);

    /// \brief Begins to look at the file from time to time.
    void start();

    /// \brief Reads the file now.
    /// \param cause why, for the log.
    void reload(std::string_view cause);

private:
    void check();
    void apply(const DaemonSettings &next, std::string_view cause);

    Kernel &m_kernel;
    std::string m_file;
    DaemonSettings &m_settings;
    std::string m_text;
};

} // namespace Coltsfootwell
