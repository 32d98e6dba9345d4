// SPDX-License-Identifier: MIT
#include "event_loop/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

#include "proxy/resource_limits.h"

namespace edge_proxy::event_loop {

void LogWriter::write_line(const std::string& text) {
  if (buffer_.size() + text.size() > proxy::kMaxBufferedLogBytes) {
    ++dropped_lines_;
  } else {
    if (const std::size_t dropped = std::exchange(dropped_lines_, 0); dropped > 0)
      buffer_ += "log dropped=" + std::to_string(dropped) + "\n";
    buffer_ += text + "\n";
  }
  flush();
}

void LogWriter::flush() {
  std::size_t written = 0;
  while (written < buffer_.size()) {
    // A write of at most PIPE_BUF bytes to a writable pipe doesn't block.
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) break;
    const std::size_t chunk = std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
    const ssize_t size = ::write(STDOUT_FILENO, buffer_.data() + written, chunk);
    if (size <= 0) break;
    written += static_cast<std::size_t>(size);
  }
  buffer_.erase(0, written);
}

}  // namespace edge_proxy::event_loop
