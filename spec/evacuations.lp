% The evacuation of one failure domain, as balancers learn of it.
%
% Domains are independent of each other, so one is enough.  Each change of its
% object in the store is a revision; in the odd ones it is evacuated.  One action
% happens in a step.  Time is not modelled: the bound of an evacuation passes at
% any moment after each connected balancer that has a list has the change, and no
% older answer of the store is under way, as calls time out sooner.  A connected
% balancer that starts gets its list at any later moment; only one that is cut off
% from the store gives up waiting for it.
%
% A check adds these predicates:
%   balancer(B)            the balancers
%   may_lose_store(B)      B may be cut off from the store for good
%   revisions(N)           changes of the object
%   restart_budget(N)      restarts of all balancers
%   serves_without_list    a starting balancer places flows at once
%   trusts_peers           a starting balancer places flows once a peer has told
%                          it the evacuated domains
%   stale_lists            a list after a failed watch may be older than what the
%                          watch delivered

step(0..horizon-1).

{ does(A, S) : possible(A, S) } 1 :- step(S).

% The store.  Every write is acknowledged at once.
revision(0, 0).
possible(write, S) :- step(S), revision(R, S), revisions(N), R < N.
revision(R + 1, S + 1) :- does(write, S), revision(R, S).
revision(R, S + 1) :- revision(R, S), step(S), not does(write, S).
evacuated(R) :- revisions(N), R = 0..N, R \ 2 = 1.
passed(S + 1) :- does(pass, S).
passed(S + 1) :- passed(S), step(S), not does(write, S).
possible(pass, S) :-
  step(S), revision(R, S), evacuated(R), not passed(S), not earlier_reply(R, S),
  knows(B, R, S) : connected(B, S), listed(B, S).
earlier_reply(R, S) :-
  reply(B, N, S), connected(B, S), revision(R, S), N < R.

connected(B, S) :- balancer(B), step(S), not cut_off(B, S).
cut_off(B, S + 1) :- does(cut(B), S).
cut_off(B, S + 1) :- cut_off(B, S), step(S).
possible(cut(B), S) :- step(S), may_lose_store(B), connected(B, S).

% A follower makes one call at a time.  Without a revision it lists the objects;
% from a revision it watches, and a check beside the watch may be answered with
% only some of the changes.
follows(B, S) :- knows(B, _, S).
reads(B, R, S) :-
  connected(B, S), revision(R, S), not follows(B, S).
reads(B, R, S) :-
  connected(B, S), revision(N, S), R = 0..N, not follows(B, S), listed(B, S),
  stale_lists.
reads(B, R, S) :-
  connected(B, S), revision(N, S), knows(B, K, S), R = K + 1..N.
possible(answer(B, R), S) :- reads(B, R, S), not answered(B, S).
answered(B, S) :- reply(B, _, S).
reply(B, R, S + 1) :- does(answer(B, R), S).
reply(B, R, S + 1) :- reply(B, R, S), step(S), not ends_call(B, S).
possible(deliver(B), S) :- reply(B, _, S), step(S).
% A failed watch is followed by a list.
possible(fail(B), S) :- follows(B, S), step(S).
ends_call(B, S) :- does((deliver(B); fail(B); restart(B)), S).
knows(B, R, S + 1) :- does(deliver(B), S), reply(B, R, S).
knows(B, R, S + 1) :- knows(B, R, S), step(S), not ends_call(B, S).
listed(B, S + 1) :- does(deliver(B), S).
listed(B, S + 1) :- listed(B, S), step(S), not does(restart(B), S).

% A starting balancer fetches the state of peers.  A peer that has neither a list
% nor given up waiting for it does not answer.
possible(ask(B, P), S) :-
  balancer(B), balancer(P), B != P, serves(P, S), step(S), not listed(B, S).
told(B, yes, S + 1) :- does(ask(B, P), S), excludes(P, S).
told(B, no, S + 1) :- does(ask(B, P), S), not excludes(P, S).
told(B, V, S + 1) :- told(B, V, S), step(S), not does(restart(B), S).
possible(hear(B, V), S) :- told(B, V, S), step(S), not listed(B, S).
heard(B, S + 1) :- does(hear(B, _), S).
heard(B, S + 1) :- heard(B, S), step(S), not does(restart(B), S).

possible(give_up(B), S) :- cut_off(B, S), step(S), not listed(B, S).
gave_up(B, S + 1) :- does(give_up(B), S).
gave_up(B, S + 1) :- gave_up(B, S), step(S), not does(restart(B), S).

possible(restart(B), S) :- balancer(B), step(S).
:- restart_budget(N), not { does(restart(B), S) } N.

% The set of evacuated domains.  A list or a watch replaces what is known of the
% domain; a peer only adds it.
excludes(B, S + 1) :- does(deliver(B), S), reply(B, R, S), evacuated(R).
excludes(B, S + 1) :- does(hear(B, yes), S).
excludes(B, S + 1) :-
  excludes(B, S), step(S), not does(deliver(B), S), not does(restart(B), S).

serves(B, S) :- listed(B, S).
serves(B, S) :- gave_up(B, S).
serves(B, S) :- heard(B, S), cut_off(B, S).
serves(B, S) :- heard(B, S), trusts_peers.
serves(B, S) :- balancer(B), step(S), serves_without_list.

violation(opening_after_bound) :-
  passed(S), connected(B, S), serves(B, S), not excludes(B, S).
