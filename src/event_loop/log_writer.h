// SPDX-License-Identifier: MIT
/// @file
/// The log on standard output.
#pragma once

#include <cstddef>
#include <string>

namespace edge_proxy::event_loop {

/// Writes log lines to standard output without ever waiting. Guards the program against a reader that stalls:
/// up to kMaxBufferedLogBytes are buffered meanwhile, later lines are dropped and their number is logged.
class LogWriter {
 public:
  /// Writes `text` and a newline, or buffers or drops them.
  void write_line(const std::string& text);

 private:
  void flush();

  std::string buffer_;
  std::size_t dropped_lines_ = 0;
};

}  // namespace edge_proxy::event_loop
