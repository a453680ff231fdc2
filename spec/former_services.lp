% An open flow whose route has led to other services since it was opened.
%
% In version V of the configuration the route leads to service V alone.  An agent
% of the service under which the flow was opened holds it for good, and agents
% answer truthfully (forwarding.lp has the queries).  One action happens in a
% step.  With steady(B) somebody knows the former services.
%
% A check adds these predicates:
%   balancer(B)         the balancers
%   steady(B)           B neither restarts nor skips a version
%   versions(N)         changes of the configuration
%   restart_budget(N)   restarts of all balancers
%   asks_present_only   only agents of the route's present service are asked
%   resets_early        a flow counts as lost although the balancer waits for the
%                       former services
%   ignores_skips       a balancer that skips a version asks no peer
%   trusts_new_peer     a peer that does not know the former services ends the
%                       wait for them
%   trusts_stale_peer   a peer whose version is too old does so
%   gives_up            a balancer that knows them from no peer counts flows as lost
%                       nevertheless
%   asks_all            such a balancer asks the agents of all services first
%   reads_no_config     a flow counts as lost by a configuration that was read
%                       before the lookup began

step(0..horizon-1).

{ does(A, S) : possible(A, S) } 1 :- step(S).

version(0, 0).
possible(write, S) :- step(S), version(V, S), versions(N), V < N.
version(V + 1, S + 1) :- does(write, S), version(V, S).
version(V, S + 1) :- version(V, S), step(S), not does(write, S).

% A balancer opens the flow under its configuration.
possible(open(B), S) :- config(B, _, S), step(S), not any_open(S).
open(V, S + 1) :- does(open(B), S), config(B, V, S).
open(V, S + 1) :- open(V, S), step(S).
any_open(S) :- open(_, S).

% Configurations come from the store, by a watch or a list, and from peers.
possible(apply(B, V), S) :-
  version(N, S), config(B, K, S), V = K + 1..N, not steady(B).
possible(apply(B, V), S) :-
  version(N, S), config(B, K, S), V = K + 1, V <= N.
possible(apply(B, V), S) :- version(V, S), starting(B, S).
possible(list(B), S) :- config(B, _, S), step(S), not steady(B).
takes(B, V, S) :- does(apply(B, V), S).
takes(B, V, S) :- does(list(B), S), version(V, S), config(B, K, S), K < V.
takes(B, V, S) :-
  does(hear(B, V), S), config(B, K, S), K < V.
takes(B, V, S) :- does(hear(B, V), S), starting(B, S).
changes(B, S) :- takes(B, _, S).
config(B, 0, 0) :- balancer(B).
config(B, V, S + 1) :- takes(B, V, S).
config(B, V, S + 1) :-
  config(B, V, S), step(S), not changes(B, S), not does(restart(B), S).
has_config(B, S) :- config(B, _, S).
starting(B, S) :- balancer(B), step(S), not has_config(B, S).
skips(B, S) :- takes(B, V, S), config(B, K, S), V > K + 1, not ignores_skips.

% Services that a balancer asks, and whether it knows all former ones.
asks(B, V, S) :- config(B, V, S).
asks(B, V, S) :- knows(B, V, S), not asks_present_only.
asks(B, V, S) :-
  config(B, _, S), version(N, S), V = 0..N, asks_all, not complete(B, S).
knows(B, V, S + 1) :- config(B, V, S), changes(B, S).
knows(B, V, S + 1) :- does(hear(B, _), S), told(B, V, S).
knows(B, V, S + 1) :- knows(B, V, S), step(S), not does(restart(B), S).
complete(B, 0) :- balancer(B).
complete(B, S + 1) :- does(hear(B, _), S), vouched(B, S).
complete(B, S + 1) :-
  complete(B, S), step(S), not skips(B, S), not does(restart(B), S).

% A balancer that has started or skipped a version fetches the state of a peer.
% The reply may arrive late.
possible(ask(B, P), S) :-
  balancer(B), config(P, _, S), step(S), B != P, not complete(B, S),
  not has_reply(B, S).
told(B, V, S + 1) :- does(ask(B, P), S), config(P, V, S).
told(B, V, S + 1) :- does(ask(B, P), S), knows(P, V, S).
reply(B, V, 1, S + 1) :- does(ask(B, P), S), config(P, V, S), complete(P, S).
reply(B, V, 0, S + 1) :-
  does(ask(B, P), S), config(P, V, S), not complete(P, S).
told(B, V, S + 1) :- told(B, V, S), step(S), not ends_fetch(B, S).
reply(B, V, Q, S + 1) :- reply(B, V, Q, S), step(S), not ends_fetch(B, S).
has_reply(B, S) :- reply(B, _, _, S).
possible(hear(B, V), S) :- reply(B, V, _, S), step(S).
ends_fetch(B, S) :- does(hear(B, _), S).
ends_fetch(B, S) :- does(restart(B), S).
% A peer with the version before knows the services of all earlier ones.
vouched(B, S) :- reply(B, V, 1, S), config(B, K, S), V >= K - 1.
vouched(B, S) :- reply(B, _, 1, S), starting(B, S).
vouched(B, S) :- reply(B, V, 0, S), config(B, K, S), V >= K - 1, trusts_new_peer.
vouched(B, S) :- reply(B, _, 1, S), trusts_stale_peer.

possible(restart(B), S) :- balancer(B), step(S), not steady(B).
:- restart_budget(N), not { does(restart(B), S) } N.

% A lookup, in which the agents of all services that the balancer asks deny the
% flow.  It begins with a segment of the flow.
possible(segment(B), S) :- any_open(S), config(B, _, S), not lookup(B, S).
lookup(B, S + 1) :- does(segment(B), S).
lookup(B, S + 1) :- lookup(B, S), step(S), not does(restart(B), S).
fresh(B, S + 1) :- does(list(B), S), lookup(B, S).
fresh(B, S + 1) :- fresh(B, S), step(S), not does(restart(B), S).
fresh(B, S) :- lookup(B, S), reads_no_config.
may_reset(B, S) :- lookup(B, S), fresh(B, S), complete(B, S).
may_reset(B, S) :- lookup(B, S), fresh(B, S), resets_early.
may_reset(B, S) :- lookup(B, S), fresh(B, S), gives_up.

violation(live_flow_reset) :-
  may_reset(B, S), open(V, S), config(B, _, S), not asks(B, V, S).
