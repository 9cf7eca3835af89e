#include "standins/process/childprocess.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace lycheebay::standins {

namespace {

/// Returns pointers to the texts, followed by null, as execve() takes them.
std::vector<char *> pointersTo(const std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (const std::string &it : texts)
        pointers.push_back(const_cast<char *>(it.c_str()));
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

ChildProcess::ChildProcess(Settings settings)
    : m_settings(std::move(settings))
{}

ChildProcess::~ChildProcess()
{
    if (!isRunning())
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void ChildProcess::start()
{
    m_exitExpected = false;
    std::vector<std::string> arguments{ m_settings.program };
    arguments.insert(arguments.end(), m_settings.arguments.begin(), m_settings.arguments.end());
    const std::vector<char *> argv = pointersTo(arguments);
    const std::vector<char *> environment = pointersTo(m_settings.environment);
    m_pid = ::fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot fork " + m_settings.program);
    if (m_pid > 0)
        return;
    // The kernel kills the process when its parent exits, however that exits.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(m_settings.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    // Close the descriptors inherited from the parent, so that its sockets do not stay open here.
    constexpr int kMaxDescriptors = 4096;
    for (int fd = STDERR_FILENO + 1; fd < kMaxDescriptors; ++fd)
        ::close(fd);
    ::execve(argv.front(), argv.data(), environment.data());
    std::_Exit(127);
}

void ChildProcess::sendSignal(int number)
{
    if (!isRunning())
        return;
    m_exitExpected = m_exitExpected || number == SIGKILL || number == SIGTERM;
    ::kill(m_pid, number);
}

bool ChildProcess::isRunning()
{
    if (m_pid == 0)
        return false;
    if (::waitpid(m_pid, nullptr, WNOHANG) == 0)
        return true;
    m_pid = 0;
    m_exitedUnexpectedly = m_exitedUnexpectedly || !m_exitExpected;
    return false;
}

std::size_t ChildProcess::peakMemory() const
{
    constexpr std::string_view kName = "VmHWM:";
    std::ifstream file(fmt::format("/proc/{}/status", m_pid));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(kName))
            return std::stoul(line.substr(kName.size())) << 10U;
    }
    throw std::runtime_error("the process has ended");
}

std::size_t ChildProcess::descriptorCount() const
{
    const std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", m_pid));
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace lycheebay::standins
