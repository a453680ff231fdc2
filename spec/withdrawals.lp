% The message of an agent that exits permanently, and what a balancer concludes.
%
% The message stays in flight once sent: it arrives at any later moment, also
% repeatedly or never.  Reports arrive in order, as a restart takes longer than a
% datagram.  Late writes of the record are in records.lp.  The flow is one that
% another balancer has opened, so this one resets it unless an agent may hold it.
% One action happens in a step.
%
% A check adds these predicates:
%   incarnations(N)      starts of an agent on the host
%   sends_at_restart     also an agent that restarts as planned sends the message
%   ignores_incarnation  the message counts whichever incarnation sent it
%   keeps_withdrawn      a record of another incarnation changes nothing

step(0..horizon-1).

{ does(A, S) : possible(A, S) } 1 :- step(S).

% The upstream, and the agent beside it, which restarts while the upstream lives.
alive(0).
possible(leave, S) :- step(S), alive(S).
alive(S + 1) :- alive(S), step(S), not does(leave, S).
alive(S + 1) :- does(replace, S).
incarnation(1, 0).
may_start(S) :- step(S), incarnation(I, S), incarnations(N), I < N.
possible(restart, S) :- may_start(S), running(S), alive(S).
possible(replace, S) :- may_start(S), not running(S), not alive(S).
starts(S) :- does((restart; replace), S).
incarnation(I + 1, S + 1) :- starts(S), incarnation(I, S).
incarnation(I, S + 1) :- incarnation(I, S), step(S), not starts(S).
running(0).
running(S + 1) :- running(S), step(S), not does(withdraw, S).
running(S + 1) :- does(replace, S).
possible(withdraw, S) :- step(S), running(S), not alive(S).
sent(I, S + 1) :- does(withdraw, S), incarnation(I, S).
sent(I, S + 1) :- does(restart, S), incarnation(I, S), sends_at_restart.
sent(I, S + 1) :- sent(I, S), step(S).

% The record in the store; its deletion may fail.
record(1, 0).
possible(write, S) :- step(S), running(S), incarnation(I, S), not record(I, S).
record(I, S + 1) :- does(write, S), incarnation(I, S).
record(I, S + 1) :- record(I, S), step(S), not does(write, S).

% What the balancer knows of the record, and from reports.
view(1, 0).
possible(read, S) :- step(S).
view(I, S + 1) :- does(read, S), record(I, S).
view(I, S + 1) :- view(I, S), step(S), not does(read, S).
possible(report, S) :- step(S), running(S).
reporting(I, S + 1) :- does(report, S), incarnation(I, S).
reporting(I, S + 1) :- reporting(I, S), step(S), not does(report, S).
record_newer(0).
record_newer(S + 1) :- does(read, S), record(I, S), not view(I, S).
record_newer(S + 1) :- record_newer(S), step(S), not does(report, S).

% The message.  An agent whose record is newer than its reports may be silent.
newest(I, S) :- reporting(I, S), view(I, S).
newest(I, S) :- reporting(I, S), not record_newer(S).
newest(I, S) :- view(I, S), record_newer(S).
possible(deliver(I), S) :- step(S), sent(I, S).
applies(I, S) :- does(deliver(I), S), newest(I, S).
applies(I, S) :- does(deliver(I), S), ignores_incarnation.
lost(I, S + 1) :- applies(I, S).
lost(I, S + 1) :- lost(I, S), step(S), not cancels(I, S).
cancels(I, S) :- lost(I, S), does(report, S), not incarnation(I, S).
cancels(I, S) :-
  lost(I, S), does(read, S), not record(I, S), not keeps_withdrawn.

% The flow.  No balancer opens one at an agent whose record it does not know, and
% none is reset before the list of agents has been read.
possible(open, S) :-
  step(S), running(S), alive(S), incarnation(I, S), record(I, S).
flow(S + 1) :- does(open, S).
flow(S + 1) :- flow(S), step(S), not does(leave, S).
listed(S + 1) :- flow(S), does(read, S).
listed(S + 1) :- listed(S), step(S), not does(leave, S).

violation(live_flow_reset) :- flow(S), listed(S), lost(_, S).
