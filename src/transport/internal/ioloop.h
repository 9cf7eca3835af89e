#pragma once

#include "transport/iothread.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <thread>

namespace lycheebay {

struct IoThread::Loop
{
    // One thread runs the context, so Asio needs no locks between handlers.
    static constexpr int kThreads = 1;

    asio::io_context context{ kThreads };
    asio::executor_work_guard<asio::io_context::executor_type> work{ context.get_executor() };
    std::thread thread;
};

} // namespace lycheebay
