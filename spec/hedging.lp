% One flow whose opening has been offered to several upstreams, and its request.
%
% Packets and messages stay in the state once sent, so they can be delivered late,
% repeatedly, or never.  One action happens in a step.  The caller accepts the first
% SYN+ACK that it gets, and repeats its request.  An upstream that has answered the
% SYN runs any request of the flow that reaches it; one without the flow returns
% it.  Agents do not restart here: their upstreams may get one packet of a flow that
% they do not hold (docs/platform.md).
%
% A check adds these predicates:
%   agent(A)             the agents; each has one upstream
%   max_offers(N)        upstreams to which the opening may be offered at a time
%   death_budget(N)      upstreams that die
%   probes               the first request goes to all offered upstreams as a probe,
%                        which agents pass on only if it acknowledges the SYN+ACK of
%                        their upstream
%   denies_silent        an agent denies a flow that it declined because its upstream
%                        was silent, also to a balancer that takes it as the holder
%   declines_late_syn    an agent that probes its upstream for an unknown flow declines
%                        its SYN, which is a late copy

step(0..horizon-1).

{ does(A, S) : possible(A, S) } 1 :- step(S).

% Offers: the first one, hedges, and those after a decline or a retransmission.
offers(N, S) :- step(S), N = #count { A : offered(A, S) }.
possible(offer(A), S) :-
  agent(A), not offered(A, S), not seen(S), offers(N, S), max_offers(M), N < M.
offered(A, S + 1) :- does(offer(A), S).
offered(A, S + 1) :- offered(A, S), step(S), not does(hear(A, decline), S).
syn(A, S + 1) :- does(offer(A), S).
syn(A, S + 1) :- syn(A, S), step(S).

% The opening at an agent, and the answer of its upstream.
possible(take(A), S) :-
  syn(A, S), step(S), not dead(A, S), not late_syn(A, S).
late_syn(A, S) :- state(A, probed, S), declines_late_syn.
possible(decline(A), S) :- syn(A, S), step(S), not knows(A, S).
half_open(A, S + 1) :- does(take(A), S).
half_open(A, S + 1) :- half_open(A, S), step(S), not does(die(A), S).
possible(answer(A), S) :- half_open(A, S), step(S).
syn_ack(A, S + 1) :- does(answer(A), S).
syn_ack(A, S + 1) :- syn_ack(A, S), step(S).
possible(accept(A), S) :- syn_ack(A, S), step(S), not any_chosen(S).
chosen(A, S + 1) :- does(accept(A), S).
chosen(A, S + 1) :- chosen(A, S), step(S).
any_chosen(S) :- chosen(_, S).
possible(die(A), S) :-
  agent(A), step(S), not dead(A, S), any_chosen(S), death_budget(N), N > 0.
:- death_budget(N), not { does(die(A), S) } N.
dead(A, S + 1) :- does(die(A), S).
dead(A, S + 1) :- dead(A, S), step(S).

% What an agent knows: the flow is opening, probed or open; and whether its upstream
% has answered the SYN.
knows(A, S) :- state(A, _, S).
to(A, opening, S) :- does(take(A), S), not knows(A, S).
to(A, opening, S) :- does(answer(A), S), not knows(A, S).
to(A, open, S) :- does(answer(A), S), state(A, probed, S).
to(A, open, S) :- delivers(A, S), state(A, opening, S).
to(A, open, S) :- delivers(A, S), state(A, probed, S), matches(A, S).
to(A, probed, S) :- delivers(A, S), not knows(A, S).
to(A, open, S) :- does(reply(A), S), state(A, probed, S).
changes(A, S) :- to(A, _, S).
forgets(A, S) :- does(return(A), S).
forgets(A, S) :- does(silent(A), S).
state(A, X, S + 1) :- to(A, X, S).
state(A, X, S + 1) :-
  state(A, X, S), step(S), not changes(A, S), not forgets(A, S).
answered(A, S + 1) :- does(answer(A), S).
answered(A, S + 1) :- answered(A, S), step(S), not forgets(A, S).
matches(A, S) :- answered(A, S), chosen(A, S).
% An upstream without an answer for some time counts as silent; its agent declines.
possible(silent(A), S) :- state(A, opening, S), step(S), not answered(A, S).
message(A, decline, S + 1) :- does((decline(A); silent(A)), S).
absent(A, S + 1) :- does(silent(A), S), denies_silent.
absent(A, S + 1) :- does(return(A), S).
absent(A, S + 1) :- absent(A, S), step(S), not does(take(A), S).

% The request at the balancer: to the holder, which may only be assumed, or to all
% that were offered the opening, or into a lookup.
possible(request, S) :- any_chosen(S), step(S).
seen(S + 1) :- does(request, S).
seen(S + 1) :- seen(S), step(S).
has_holder(S) :- holder(_, S).
begins(S) :- does(request, S), not has_holder(S), not lookup(S).
assumes(A, S) :- begins(S), offers(1, S), offered(A, S).
sent(A, probe, S + 1) :- assumes(A, S).
sent(A, (probe; direct), S + 1) :- does(request, S), holder(A, S).
sent(A, probe, S + 1) :- begins(S), offers(N, S), N > 1, offered(A, S), probes.
sent(A, unprobed, S + 1) :-
  begins(S), offers(N, S), N > 1, offered(A, S), not probes.
sent(A, direct, S + 1) :- finds(A, S).
sent(A, query, S + 1) :- does(ask, S), agent(A).
sent(A, M, S + 1) :- sent(A, M, S), step(S).
possible(ask, S) :- lookup(S), step(S).
lookup(S + 1) :- begins(S), offers(N, S), N != 1.
lookup(S + 1) :- drops(_, S).
lookup(S + 1) :- lookup(S), step(S), not finds(_, S).

% A segment at an agent: it is delivered, or the flow is denied.
possible(receive(A, M), S) :- sent(A, M, S), step(S).
delivers(A, S) :- does(receive(A, unprobed), S), knows(A, S).
delivers(A, S) :- does(receive(A, (probe; direct)), S), state(A, open, S).
delivers(A, S) :- does(receive(A, (probe; direct)), S), matches(A, S), knows(A, S).
delivers(A, S) :-
  does(receive(A, (probe; direct)), S), state(A, probed, S),
  not answered(A, S).
delivers(A, S) :-
  does(receive(A, direct), S), not knows(A, S), not absent(A, S).
claims(A, S) :-
  does(receive(A, probe), S), delivers(A, S), not state(A, probed, S).
claims(A, S) :- does(receive(A, query), S), state(A, open, S).
claims(A, S) :- does(receive(A, query), S), state(A, opening, S), matches(A, S).
claims(A, S) :- to(A, open, S), state(A, probed, S).
uncertain(A, S) :- does(receive(A, query), S), state(A, probed, S).
denies(A, S) :-
  does(receive(A, _), S), not delivers(A, S), not claims(A, S),
  not uncertain(A, S).
denies(A, S) :- does(return(A), S).
message(A, claim, S + 1) :- claims(A, S).
message(A, deny, S + 1) :- denies(A, S).
message(A, M, S + 1) :- message(A, M, S), step(S).
possible(hear(A, M), S) :- message(A, M, S), step(S).

% A claim makes the holder known; a denial by an assumed holder begins a lookup.
finds(A, S) :- does(hear(A, claim), S), seen(S), not holder(A, S).
drops(A, S) :- does(hear(A, deny), S), holder(A, S), not confirmed(S).
holder(A, S + 1) :- assumes(A, S).
holder(A, S + 1) :- finds(A, S).
holder(A, S + 1) :- holder(A, S), step(S), not drops(A, S), not finds(_, S).
confirmed(S + 1) :- does(hear(A, claim), S), seen(S).
confirmed(S + 1) :- confirmed(S), step(S).

% The request at an upstream: one that has answered the SYN runs it, and one without
% the flow returns it.
ran(A, S + 1) :- delivers(A, S), half_open(A, S).
ran(A, S + 1) :- ran(A, S), step(S).
possible(reply(A), S) :- ran(A, S), step(S), not dead(A, S), knows(A, S).
unheld(A, S + 1) :- delivers(A, S), not half_open(A, S), not dead(A, S).
unheld(A, S + 1) :- unheld(A, S), step(S).
possible(return(A), S) :- unheld(A, S), step(S), knows(A, S).

% Only the upstream whose SYN+ACK the caller accepted may run the request, so at most
% one does.
violation(ran_at_other_upstream) :- ran(A, horizon), not chosen(A, horizon).
