// SPDX-License-Identifier: MIT
/// @file
/// The log on standard output.
#pragma once

#include <cstddef>
#include <string>

namespace edge_proxy::event_loop {

/// Writes log lines to standard output without blocking, so that a stalled reader doesn't stall the program.
/// Up to kMaxBufferedLogBytes are buffered; further lines are dropped, and their number is logged.
class LogWriter {
 public:
  /// Writes, buffers or drops `text` and a newline.
  void write_line(const std::string& text);

 private:
  void flush();

  std::string buffer_;
  std::size_t dropped_lines_ = 0;
};

}  // namespace edge_proxy::event_loop
