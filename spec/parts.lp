% Three independent properties of the protocol, each with its own state.
%
% A check adds the predicates checked, same and takes.

step(0..horizon-1).
number(0..horizon).

% Answers: a flow is placed again under a new incarnation; answers to an earlier
% placement may arrive at any time.
incarnation(0, 0).
{ placed_again(S) } :- step(S).
incarnation(I + 1, S + 1) :- incarnation(I, S), placed_again(S).
incarnation(I, S + 1) :- incarnation(I, S), step(S), not placed_again(S).
answer(I, S + 1) :- incarnation(I, S), step(S).
answer(I, S + 1) :- answer(I, S), step(S).
told(J, I) :- answer(J, S), incarnation(I, S), checked(J, I).
violation(earlier_answer) :- told(J, I), J != I.

% Services: another service reuses the address of a retired upstream while some
% balancers still have the old table.
serves(1, 0).
table(1, 0).
{ reuse(S); learn(S) } :- step(S).
serves(2, S + 1) :- reuse(S).
serves(X, S + 1) :- serves(X, S), step(S), not reuse(S).
table(2, S + 1) :- learn(S).
table(X, S + 1) :- table(X, S), step(S), not learn(S).
packet(X, S) :- table(X, S).
packet(X, S + 1) :- packet(X, S), step(S).
given(X, Y) :- packet(X, S), serves(Y, S), same(X, Y).
violation(other_service) :- given(X, Y), X != Y.

% Versions: peers and the platform offer versions to a process, in any order and
% repeatedly.
newest(0, 0).
version(0, 0).
{ write(S) } :- step(S).
newest(I + 1, S + 1) :- newest(I, S), write(S).
newest(I, S + 1) :- newest(I, S), step(S), not write(S).
offer(I, S) :- newest(I, S).
offer(I, S + 1) :- offer(I, S), step(S).
{ take(J, S) : offer(J, S), version(I, S), takes(I, J) } 1 :- step(S).
took(S) :- take(_, S).
version(J, S + 1) :- take(J, S).
version(I, S + 1) :- version(I, S), step(S), not took(S).
violation(version_reverts) :- take(J, S), version(I, S), J < I.
