% The record of one host in the store, which each incarnation of its agent writes.
%
% Calls stay in the state once made: the store applies them at any later moment,
% also repeatedly or never, and its answer may be lost.  A write that changes
% nothing keeps the revision.  One action happens in a step.
%
% A check adds these predicates:
%   incarnations(N)      starts of the agent
%   names_revision       a delete holds only for the revision that it names
%   names_incarnation    a record holds the incarnation of its agent

step(0..horizon-1).

{ does(A, S) : possible(A, S) } 1 :- step(S).

incarnation(1, 0).
possible(restart, S) :-
  step(S), incarnation(I, S), incarnations(N), I < N.
incarnation(I + 1, S + 1) :- does(restart, S), incarnation(I, S).
incarnation(I, S + 1) :- incarnation(I, S), step(S), not does(restart, S).

% The record: the incarnation that wrote it last, and its revision.
possible(send_write, S) :- step(S), incarnation(I, S), not wrote(I, S).
wrote(I, S + 1) :- does(send_write, S), incarnation(I, S).
wrote(I, S + 1) :- wrote(I, S), step(S).
possible(write(I), S) :- wrote(I, S), step(S).
revision(0, 0).
same(I, S) :- does(write(I), S), record(I, _, S).
same(I, S) :- does(write(I), S), record(_, _, S), not names_incarnation.
changes(S) :- does(write(I), S), not same(I, S).
changes(S) :- deletes(_, S).
revision(R + 1, S + 1) :- revision(R, S), changes(S).
revision(R, S + 1) :- revision(R, S), step(S), not changes(S).
record(I, R + 1, S + 1) :- does(write(I), S), revision(R, S), not same(I, S).
record(I, R, S + 1) :- does(write(I), S), same(I, S), record(_, R, S).
record(I, R, S + 1) :-
  record(I, R, S), step(S), not writes(S), not deletes(_, S).
writes(S) :- does(write(_), S).

% The running agent learns the revision from the answer, which may be lost.  A
% delete by another process is that of a reader of the record.
{ knows(I, R, S + 1) } :-
  does(write(I), S), incarnation(I, S), not same(I, S), revision(R - 1, S),
  R = 1..horizon.
{ knows(I, R, S + 1) } :-
  does(write(I), S), incarnation(I, S), same(I, S), record(_, R, S).
possible(read, S) :- step(S), record(_, _, S), not reader_knows(_, _, S).
reader_knows(I, R, S + 1) :- does(read, S), record(I, R, S).
reader_knows(I, R, S + 1) :- reader_knows(I, R, S), step(S).
knows(I, R, S + 1) :- knows(I, R, S), step(S).

% Only a revision that is known is deleted.
possible(send_delete, S) :- step(S), incarnation(I, S), knows(I, _, S).
sent(I, R, S + 1) :- does(send_delete, S), incarnation(I, S), knows(I, R, S).
sent(I, R, S) :- reader_knows(I, R, S).
sent(I, R, S + 1) :- sent(I, R, S), step(S).
possible(delete(I, R), S) :- sent(I, R, S), step(S).
deletes(I, S) :- does(delete(I, R), S), record(_, R, S).
deletes(I, S) :- does(delete(I, _), S), record(_, _, S), not names_revision.

violation(newer_record_deleted) :- deletes(I, S), record(J, _, S), J > I.
