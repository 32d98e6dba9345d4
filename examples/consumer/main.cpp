// SPDX-License-Identifier: MIT
// The smallest proxy: one cache, one origin, one request.
#include <dahliahall/choice.h>

#include <iostream>

int main() {
  using namespace std::chrono_literals;
  dahliahall::Settings settings;
  settings.routers_by_zone = {1};
  settings.origin_kind = 1;
  settings.max_attempts = 4;
  settings.stream_kb_per_s = 5000;
  dahliahall::RequestClass pages;
  pages.aim = 300ms;
  pages.deadline = 2s;
  settings.classes = {pages};
  dahliahall::Router router(settings, 1);

  dahliahall::Member cache, origin;
  cache.id = "cache:80";
  origin.id = "origin:80";
  origin.kind = 1;
  router.handle(1s, dahliahall::MemberList{dahliahall::ListKind::whole, {cache, origin}});

  dahliahall::Request request;
  request.id = "first";
  request.object = 42;
  request.kb = 100;
  request.expires = 3s;
  for (const dahliahall::Action& action : router.handle(1s, request)) {
    if (const auto* attempt = std::get_if<dahliahall::Attempt>(&action)) {
      std::cout << "ask " << attempt->member << ", fill from " << attempt->source << '\n';
      return 0;
    }
  }
  return 1;
}
