% Ownership of one hash slot and the outcome of one at-most-once flow.
%
% A message stays in the state once sent, so it can be delivered late,
% repeatedly, or never; this models loss, duplicates, delays and pauses.
% Term 1 belongs to the first owner, term 2 to a takeover in the same epoch,
% and term 3 to the owner after the next membership change.  The entry of the
% flow is the term under which it was placed; 0 means no entry.
%
% In one step each host acts at most once.  An action reads the state of its own
% host and messages of earlier steps, so the order of hosts within a step does
% not matter.
%
% A check adds these predicates:
%   initial_owner(H)       host H owns term 1 and has all reports
%   may_claim(H, T)        host H may claim the slot under term T
%   initial_member(H)      host H is a member
%   young(H)               host H joined too recently to have copies
%   crash_budget(N)        number of crashes
%   member(T, H)           members known to the owner of a term
%   able(T, H)             members that may acknowledge a copy
%   needed(T, N)           acknowledgements before a run
%   refusal_needed(T, N)   acknowledgements before a refusal is told
%   missing(E, N)          reports that may be missing if E of the members that
%                          answered are established
%   counts(Q)              recovering = Q: the member counts as an answer
%   fenced(F, T)           a member with fence F refuses term T
%   known(T, N)            the owner of term T knows incarnation N of a member

step(0..horizon-1).
host(H) :- initial_member(H).
term(1..3).
flag(0..1).

% value(H, F, V, S): field F of host H has value V before step S.  The fence is
% the highest term seen; a recovering member has restarted.
value(H, (incarnation; fence; entry; refused; recovering), 0, 0) :- host(H).
value(H, up, 1, 0) :- host(H).
% owns(H, T, S): H has claimed T and not crashed since; has(H, G, S): H has the
% report of G.
owns(H, 1, 0) :- initial_owner(H).
complete(H, 0) :- initial_owner(H).

% Actions that are possible in a step.
up(H, S) :- value(H, up, 1, S), step(S).
accepts(H, T, S) :-
  up(H, S), term(T), value(H, fence, F, S), not fenced(F, T).
possible(H, claim(T), S) :-
  may_claim(H, T), up(H, S), value(H, fence, F, S), F < T, not query(T, S).
possible(H, answer(T), S) :-
  query(T, S), up(H, S), member(T, H), value(H, fence, F, S), F <= T,
  state(H, X, B, Q, S), not report(T, H, X, B, Q, S).
possible(H, collect(T, G, X, B, Q), S) :-
  report(T, G, X, B, Q, S), up(H, S), owns(H, T, S), not complete(H, S),
  not has(H, G, S).
possible(H, complete, S) :-
  up(H, S), owns(H, T, S), not complete(H, S), quorum(H, T, S).
possible(H, (place(T); refuse(T)), S) :-
  complete(H, S), owns(H, T, S), accepts(H, T, S),
  value(H, entry, 0, S), value(H, refused, 0, S).
possible(H, keep(T, B), S) :-
  witness(T, B, S), accepts(H, T, S), able(T, H),
  value(H, incarnation, N, S), known(T, N),
  value(H, entry, X, S), not owns(H, X, S), not ack(T, H, B, S).
possible(H, run(T), S) :-
  complete(H, S), owns(H, T, S), up(H, S), value(H, entry, T, S),
  needed(T, N), N { ack(T, G, 0, S) : host(G), G != H }, not ran(T, S).
possible(H, tell(T), S) :-
  complete(H, S), owns(H, T, S), up(H, S),
  value(H, entry, 0, S), value(H, refused, 1, S),
  refusal_needed(T, N), N { ack(T, G, 1, S) : host(G), G != H },
  not told(T, S).
possible(H, crash, S) :- up(H, S), crash_budget(N), N > 0.
possible(H, restart, S) :- value(H, up, 0, S), step(S).

state(H, X, B, Q, S) :-
  up(H, S), value(H, entry, X, S), value(H, refused, B, S),
  value(H, recovering, Q, S).
quorum(H, T, S) :-
  owns(H, T, S), step(S), missing(E, M), members(T, A),
  E = #count { G : established(H, G, S) }, A - M { counted(H, G, S) : host(G) }.
members(T, A) :- term(T), A = #count { H : member(T, H) }.

{ does(H, A, S) : possible(H, A, S) } 1 :- host(H), step(S).
:- crash_budget(N), not { does(H, crash, S) } N.

% Effects on the acting host.
sets(H, fence, T, S) :- does(H, (claim(T); answer(T)), S).
sets(H, entry, X, S) :-
  does(H, collect(_, _, X, _, _), S), value(H, entry, Y, S), X > Y.
sets(H, refused, 1, S) :- does(H, collect(_, _, _, 1, _), S).
sets(H, entry, T, S) :- does(H, place(T), S).
sets(H, refused, 1, S) :- does(H, refuse(T), S).
sets(H, entry, T, S) :- does(H, keep(T, 0), S).
sets(H, entry, 0, S) :- does(H, keep(T, 1), S).
sets(H, refused, B, S) :- does(H, keep(T, B), S).
sets(H, up, 0, S) :- does(H, crash, S).
% A crash loses all state; a restart is a new incarnation.
sets(H, up, 1, S) :- does(H, restart, S).
sets(H, (fence; entry; refused), 0, S) :- does(H, restart, S).
sets(H, recovering, 1, S) :- does(H, restart, S).
sets(H, incarnation, N + 1, S) :-
  does(H, restart, S), value(H, incarnation, N, S).
value(H, F, V, S + 1) :- sets(H, F, V, S).
value(H, F, V, S + 1) :- value(H, F, V, S), step(S), not sets(H, F, _, S).

owns(H, T, S + 1) :- does(H, claim(T), S).
owns(H, T, S + 1) :- owns(H, T, S), step(S), not does(H, crash, S).
complete(H, S + 1) :- does(H, complete, S).
complete(H, S + 1) :- complete(H, S), step(S), not does(H, crash, S).
has(H, H, S + 1) :- does(H, claim(_), S).
has(H, G, S + 1) :- does(H, collect(_, G, _, _, _), S).
counted(H, H, S + 1) :-
  does(H, claim(_), S), value(H, recovering, Q, S), counts(Q).
counted(H, G, S + 1) :- does(H, collect(_, G, _, _, Q), S), counts(Q).
established(H, H, S + 1) :-
  does(H, claim(_), S), value(H, recovering, 0, S), not young(H).
established(H, G, S + 1) :- does(H, collect(_, G, _, _, 0), S), not young(G).
has(H, G, S + 1) :- has(H, G, S), step(S), not does(H, crash, S).
counted(H, G, S + 1) :- counted(H, G, S), step(S), not does(H, crash, S).
established(H, G, S + 1) :-
  established(H, G, S), step(S), not does(H, crash, S).

% Messages, and effects visible to callers and upstreams, with their term.
query(T, S + 1) :- does(_, claim(T), S).
report(T, H, X, B, Q, S + 1) :- does(H, answer(T), S), state(H, X, B, Q, S).
witness(T, 0, S + 1) :- does(_, place(T), S).
witness(T, 1, S + 1) :- does(_, refuse(T), S).
ack(T, H, B, S + 1) :- does(H, keep(T, B), S).
ran(T, S + 1) :- does(_, run(T), S).
told(T, S + 1) :- does(_, tell(T), S).
query(T, S + 1) :- query(T, S), step(S).
report(T, H, X, B, Q, S + 1) :- report(T, H, X, B, Q, S), step(S).
witness(T, B, S + 1) :- witness(T, B, S), step(S).
ack(T, H, B, S + 1) :- ack(T, H, B, S), step(S).
ran(T, S + 1) :- ran(T, S), step(S).
told(T, S + 1) :- told(T, S), step(S).

violation(ran_twice) :- ran(T, horizon), ran(R, horizon), T < R.
violation(refused_and_ran) :- told(_, horizon), ran(_, horizon).
