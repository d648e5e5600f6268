// Reloads the settings file when it changes or on a signal, and applies the settings that can
// change while the daemon runs.
#pragma once

#include "kernel/Kernel.h"
#include "programs/DaemonSettings.h"

#include <string>

namespace Coltsfootwell {

/// \brief Watches the settings file of a daemon.
class SettingsWatch
{
public:
    /// Interval at which the file is checked for changes.
    static constexpr std::chrono::milliseconds CheckInterval {1000};

    /// \param kernel provides the executor and the directory.
    /// \param file path of the settings file.
    /// \param text content of the file from which the settings were read.
    /// \param settings current settings, updated on a reload; must outlive this object.
    SettingsWatch(Kernel &kernel, std::string file, std::string text, DaemonSettings &settings);

    /// \brief Starts periodic checks of the file.
    void start();

    /// \brief Reloads the file now.
    /// \param cause reason of the reload, for the log.
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
