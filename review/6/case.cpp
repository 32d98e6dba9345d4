// SPDX-License-Identifier: MIT
#include "../slow-reader-2.h"

int main(int argc, char** argv) { return review::play({.memory_mb = 32, .bytes_per_s = 1e6}, argc, argv); }
