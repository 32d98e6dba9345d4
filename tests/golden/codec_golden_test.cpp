// SPDX-License-Identifier: MIT
