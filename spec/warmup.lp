% Openings at one upstream that is cold throughout, from several balancers.
%
% A step is a span of time; a window is "window" steps.  In each step any flows
% may arrive at the agent, for the first time or again, and balancers subscribe,
% get newer configurations, and the agent restarts or gets a heartbeat, in any
% order between steps.  An agent without a heartbeat declines all openings.  It may
% decline any other one as well.
%
% A check adds these predicates:
%   balancer(B), flow(F)
%   window(W)              length of a window, in steps
%   limit(V, L)            openings in a window under version V
%   restart_budget(N)      restarts of the agent
%   agent_limits           the agent limits the openings of all balancers together
%   balancers_limit        each balancer limits its own openings
%   passes_retransmissions an opening that was declined counts as admitted once it
%                          is retransmitted
%   assumes_full           a restarted agent admits nothing for one window after
%                          its first heartbeat
%   needs_rate             an agent without a subscription admits nothing

step(0..horizon-1).

% Configurations: version 1 is in force everywhere at first.  Versions skip none,
% as only the newest one counts.
version(B, 1, 0) :- balancer(B).
{ update(B, S) : balancer(B) } :- step(S).
version(B, V + 1, S + 1) :- update(B, S), version(B, V, S), limit(V + 1, _).
version(B, V, S + 1) :- version(B, V, S), step(S), not limit(V + 1, _).
version(B, V, S + 1) :- version(B, V, S), step(S), not update(B, S).

% The agent's memory.  A restart is over at the next step.
{ restart(S) : step(S) } N :- restart_budget(N).
restarted(S + 1) :- restart(S).
restarted(S + 1) :- restarted(S), step(S).
{ heartbeat(S) : step(S) }.
heard(S + 1) :- heartbeat(S), not restart(S).
heard(S + 1) :- heard(S), step(S), not restart(S).
closed(S + 1..S + W - 1) :-
  heartbeat(S), not heard(S), restarted(S), window(W), assumes_full.
{ subscribe(B, S) : balancer(B) } :- step(S).
learnt(V, S + 1) :- subscribe(B, S), version(B, V, S), not restart(S).
learnt(V, S + 1) :- learnt(V, S), step(S), not restart(S).
newest(V, S) :- V = #max { X : learnt(X, S) }, learnt(V, S).
has_rate(S) :- newest(_, S).
known(F, T, S + 1) :- admit(F, _, S), not restart(S), T = S.
known(F, T, S + 1) :- known(F, T, S), step(S), not restart(S).
known(F, S) :- known(F, _, S).

% Openings.
{ arrives(F, B, S) : flow(F), balancer(B) } :- step(S).
{ admit(F, B, S) : balancer(B) } 1 :- arrives(F, _, S), heard(S), not known(F, S).
:- admit(F, B, S), not arrives(F, B, S).
again(F, S + 1) :- arrives(F, _, S), passes_retransmissions.
again(F, S + 1) :- again(F, S), step(S).
:- admit(F, _, S), closed(S), not again(F, S).
:- admit(F, _, S), not has_rate(S), needs_rate, not again(F, S).
in_window(F, T, S) :- known(F, T, S), window(W), T > S - W.
in_window(F, S, S) :- admit(F, _, S).
:- agent_limits, newest(V, S), limit(V, L), admit(F, _, S), not again(F, S),
   #count { G, T : in_window(G, T, S) } > L.
:- balancers_limit, balancer(B), step(S), version(B, V, S), limit(V, L),
   admit(_, B, S), window(W),
   #count { G, T : admit(G, B, T), T > S - W, T <= S } > L.

% The limit in force is the largest that any balancer or the agent had within the
% window, as a new version takes some time to reach all.
in_use(V, S) :- version(_, V, S), step(S).
in_use(V, S) :- newest(V, S), step(S).
in_force(L, S) :-
  step(S), window(W),
  L = #max { X : limit(V, X), in_use(V, T), T > S - W, T <= S }.
violation(too_many_openings) :-
  in_force(L, S), window(W),
  #count { F, T : admit(F, _, T), T > S - W, T <= S } > L.
