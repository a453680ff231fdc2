% Openings at one upstream, from several balancers.  It is cold throughout, or from
% the end of an evacuation of its domain on, before which it gets none.
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
%   may_end(S)             an evacuation ends in one of these steps; without them
%                          the upstream is cold throughout
%   tells_evacuations      subscriptions tell of the evacuation and of its end; an
%                          agent limits openings from then on, until a heartbeat
%                          of later than the step in which it learnt of the end
%   takes_any_heartbeat    any heartbeat after the end was told lifts that limit
%
% A heartbeat takes up to one step.  Some subscription that tells of the evacuation
% or of its end reaches the agent, also after a restart, before the first opening
% after the end.  A balancer that starts after the end need not tell of it.

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

% The end of an evacuation.
evacuated :- may_end(_).
1 { end(S) : may_end(S) } 1 :- evacuated.
cold(S) :- step(S), not evacuated.
cold(S) :- step(S), end(E), S >= E.
{ learns_end(B, S) : balancer(B) } :- step(S), cold(S), evacuated.
{ starts(B, S) : balancer(B) } :- step(S), cold(S), evacuated.
uses(B, S) :- balancer(B), step(S), not evacuated.
uses(B, S) :- learns_end(B, S).
uses(B, S) :- starts(B, S).
uses(B, S + 1) :- uses(B, S), step(S).
% A balancer that has started after the end knows of no evacuation.
forgot(B, S) :- starts(B, S).
forgot(B, S + 1) :- forgot(B, S), step(S).
news(evacuation, S) :- subscribe(B, S), evacuated, not uses(B, S).
news(end, S) :- subscribe(B, S), evacuated, uses(B, S), not forgot(B, S).
told(S + 1) :- news(_, S), not restart(S).
told(S + 1) :- told(S), step(S), not restart(S).
{ late(S) } :- heartbeat(S), evacuated, S > 0.
says_cold(S) :- heartbeat(S), cold(S), not late(S).
says_cold(S) :- heartbeat(S), late(S), cold(S - 1).
known_cold(S + 1) :- says_cold(S), not restart(S).
known_cold(S + 1) :- known_cold(S), step(S), not restart(S).
% The end is known from a balancer that knows it, or that has forgotten all.
learnt_end(S + 1) :- news(end, S), not restart(S).
learnt_end(S + 1) :- subscribe(B, S), forgot(B, S), told(S), not restart(S).
learnt_end(S + 1) :- learnt_end(S), step(S), not restart(S).
lifted(S + 1) :- heartbeat(S), learnt_end(S), not restart(S).
lifted(S + 1) :-
  heartbeat(S), news(end, S), takes_any_heartbeat, not restart(S).
lifted(S + 1) :- lifted(S), step(S), not restart(S).
limited(S) :- known_cold(S).
limited(S) :- tells_evacuations, told(S), not lifted(S).

known(F, T, S + 1) :- admit(F, _, S), not restart(S), T = S.
known(F, T, S + 1) :- known(F, T, S), step(S), not restart(S).
known(F, S) :- known(F, _, S).

% Openings.
{ arrives(F, B, S) : flow(F), uses(B, S) } :- step(S).
:- arrives(_, _, S), evacuated, not told(S).
{ admit(F, B, S) : balancer(B) } 1 :- arrives(F, _, S), heard(S), not known(F, S).
:- admit(F, B, S), not arrives(F, B, S).
again(F, S + 1) :- arrives(F, _, S), passes_retransmissions.
again(F, S + 1) :- again(F, S), step(S).
:- admit(F, _, S), limited(S), closed(S), not again(F, S).
:- admit(F, _, S), limited(S), not has_rate(S), needs_rate, not again(F, S).
in_window(F, T, S) :- known(F, T, S), window(W), T > S - W.
in_window(F, S, S) :- admit(F, _, S).
:- agent_limits, limited(S), newest(V, S), limit(V, L), admit(F, _, S),
   not again(F, S),
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
