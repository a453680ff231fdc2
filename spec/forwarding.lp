% One flow on the packet path: where balancers send its segments, and who may
% reset it.
%
% Packets and messages stay in the state once sent, so they can be delivered
% late, repeatedly, or never.  One action happens in a step.  The caller accepts
% the SYN+ACK of one upstream, which then holds the flow; its segments reach any
% balancer.
%
% A check adds these predicates:
%   balancer(B), agent(A)  the daemons; each agent stands for its upstream too
%   in_list(B, A)          balancer B knows agent A from the start
%   restart_budget(N)      restarts of agents whose upstreams keep running
%   compares_ack           agents compare a segment's ack with their upstream's
%                          SYN+ACK
%   admits_gaps            a restarted agent denies no flow by its own memory
%   aging                  a holder that was only assumed counts as confirmed
%                          after some time
%   reads_list             a flow is lost only by a list of agents that was read
%                          after the lookup began
%   marks_refusals         the reset of a refused opening has a sequence number
%                          that an open flow ignores

step(0..horizon-1).

{ does(A, S) : possible(A, S) } 1 :- step(S).

% Opening: a balancer offers the SYN to agents, one after the other; the upstream
% of one answers with a SYN+ACK, and the caller accepts the first that arrives.
possible(offer(B, A), S) :-
  step(S), in_list(B, A, S), not offered(B, A, S), not seen(B, S).
possible(take(A), S) :- syn(A, S), step(S), not answered(A, S).
% An upstream that is silent for a moment may still answer what was declined.
possible(decline(A, B), S) :- offered(B, A, S), step(S), not accepted(A, S).
possible(accept(A), S) :-
  answered(A, S), step(S), not any_accepted(S), not refused(S).
any_accepted(S) :- accepted(_, S).

syn(A, S + 1) :- does(offer(_, A), S).
answered(A, S + 1) :- does(take(A), S).
accepted(A, S + 1) :- does(accept(A), S).
syn(A, S + 1) :- syn(A, S), step(S).
answered(A, S + 1) :- answered(A, S), step(S).
accepted(A, S + 1) :- accepted(A, S), step(S).
offered(B, A, S + 1) :- does(offer(B, A), S).
offered(B, A, S + 1) :-
  offered(B, A, S), step(S), not does(decline(A, B), S).

% A balancer whose offers were all declined refuses the opening.
possible(refuse(B), S) :- declined(B, S), step(S), offers(B, 0, S), not seen(B, S).
declined(B, S + 1) :- does(decline(_, B), S).
declined(B, S + 1) :- declined(B, S), step(S).
refused(S + 1) :- does(refuse(_), S).
refused(S + 1) :- refused(S), step(S).

% What an agent remembers.  Its memory is complete until it restarts.
remembers(A, S + 1) :- does((take(A); accept(A)), S).
remembers(A, S + 1) :- does(receive(A, _, _), S), outcome(A, claim, S).
remembers(A, S + 1) :-
  remembers(A, S), step(S), not does(restart(A), S),
  not does(decline(A, _), S).
restarted(A, S + 1) :- does(restart(A), S).
restarted(A, S + 1) :- restarted(A, S), step(S).
possible(restart(A), S) :- agent(A), step(S), restart_budget(N), N > 0.
:- restart_budget(N), not { does(restart(A), S) } N.

% A caller's segment at a balancer: to the holder, or to the only agent that was
% offered the opening, which is then the assumed holder, or to all that were
% offered it, or into a lookup.
possible(segment(B), S) :- any_accepted(S), step(S), balancer(B).
no_holder(B, S) :- balancer(B), step(S), not has_holder(B, S).
has_holder(B, S) :- holder(B, _, S).
offers(B, N, S) :-
  balancer(B), step(S), N = #count { A : offered(B, A, S) }.
assumes(B, A, S) :-
  does(segment(B), S), no_holder(B, S), not lookup(B, S), offers(B, 1, S),
  offered(B, A, S).
begins(B, S) :-
  does(segment(B), S), no_holder(B, S), not lookup(B, S), offers(B, N, S),
  N != 1.
sent(B, A, direct, S + 1) :- does(segment(B), S), holder(B, A, S).
sent(B, A, probe, S + 1) :- assumes(B, A, S).
sent(B, A, probe, S + 1) :- begins(B, S), offered(B, A, S).
sent(B, A, query, S + 1) :- does(ask(B), S), in_list(B, A, S).
sent(B, A, probe, S + 1) :- does(probe(B, A), S).
sent(B, A, M, S + 1) :- sent(B, A, M, S), step(S).
possible(ask(B), S) :- lookup(B, S), step(S).
possible(probe(B, A), S) :-
  lookup(B, S), step(S), message(A, B, uncertain, S), not denied(B, A, S).
seen(B, S + 1) :- does(segment(B), S).
seen(B, S + 1) :- seen(B, S), step(S).

% An agent delivers, claims or denies.  An upstream without the flow returns a
% segment, which is a denial.
possible(receive(A, B, M), S) :- sent(B, A, M, S), step(S).
outcome(A, claim, S) :-
  agent(A), step(S), accepted(A, S), remembers(A, S).
outcome(A, claim, S) :-
  agent(A), step(S), accepted(A, S), does(receive(A, _, (direct; probe)), S),
  restarted(A, S), admits_gaps.
outcome(A, uncertain, S) :-
  does(receive(A, _, query), S), not remembers(A, S), restarted(A, S),
  admits_gaps.
outcome(A, deny, S) :-
  does(receive(A, _, _), S), not outcome(A, claim, S),
  not outcome(A, uncertain, S).
message(A, B, M, S + 1) :- does(receive(A, B, _), S), outcome(A, M, S).
message(A, B, M, S + 1) :- message(A, B, M, S), step(S).
% Data at an upstream that answered the SYN, but whose answer the caller did not
% accept.
stray(A, S + 1) :-
  does(receive(A, _, (direct; probe)), S), remembers(A, S),
  not accepted(A, S), not compares_ack.
stray(A, S + 1) :- stray(A, S), step(S).

% Replies at a balancer.
possible(hear(B, A, M), S) :- message(A, B, M, S), step(S), M != uncertain.
finds(B, A, S) :- does(hear(B, A, claim), S), seen(B, S).
drops(B, A, S) :-
  does(hear(B, A, deny), S), holder(B, A, S), not confirmed(B, S).
holder(B, A, S + 1) :- assumes(B, A, S).
holder(B, A, S + 1) :- finds(B, A, S).
holder(B, A, S + 1) :-
  holder(B, A, S), step(S), not drops(B, A, S), not finds(B, _, S).
confirmed(B, S + 1) :- finds(B, _, S).
confirmed(B, S + 1) :- does(age(B), S).
confirmed(B, S + 1) :- confirmed(B, S), step(S).
possible(age(B), S) :- aging, has_holder(B, S), step(S), not confirmed(B, S).
lookup(B, S + 1) :- begins(B, S).
lookup(B, S + 1) :- drops(B, _, S).
lookup(B, S + 1) :- lookup(B, S), step(S), not finds(B, _, S).
denied(B, A, S + 1) :- drops(B, A, S).
denied(B, A, S + 1) :- does(hear(B, A, deny), S), lookup(B, S).
denied(B, A, S + 1) :-
  denied(B, A, S), lookup(B, S), step(S), not does(end_search(B), S).
denied_by_all(B, S) :-
  lookup(B, S), step(S), denied(B, A, S) : in_list(B, A, S).
possible(end_search(B), S) :- denied_by_all(B, S), not searched(B, S).
searched(B, S + 1) :- does(end_search(B), S).
searched(B, S + 1) :- searched(B, S), lookup(B, S), step(S).

% The list of agents in the store, with all agents.
possible(list(B), S) :- balancer(B), step(S).
in_list(B, A, 0) :- in_list(B, A).
in_list(B, A, S + 1) :- does(list(B), S), agent(A).
in_list(B, A, S + 1) :- in_list(B, A, S), step(S).
fresh(B, S + 1) :- does(list(B), S), lookup(B, S).
fresh(B, S + 1) :- fresh(B, S), lookup(B, S), step(S).

% Resets, all of which are wrong, as the upstream holds the flow for good.
reset(S) :- does(hear(B, A, deny), S), holder(B, A, S), confirmed(B, S).
reset(S) :- denied_by_all(B, S), searched(B, S), fresh(B, S).
reset(S) :- denied_by_all(B, S), searched(B, S), not reads_list.
violation(live_flow_reset) :- reset(S), any_accepted(S).
violation(refused_and_held) :-
  does(refuse(_), S), any_accepted(S), not marks_refusals.
violation(data_at_another_upstream) :- stray(_, horizon).
