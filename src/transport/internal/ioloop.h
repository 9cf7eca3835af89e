#pragma once

#include "transport/iothread.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <thread>

namespace lycheebay {

struct IoThread::Loop
{
    // Concurrency hint: with a single thread, Asio can avoid locking.
    static constexpr int kThreads = 1;

    asio::io_context context{ kThreads };
    asio::executor_work_guard<asio::io_context::executor_type> work{ context.get_executor() };
    std::thread thread;
};

} // namespace lycheebay
