package proxy

import (
	"context"
	"slices"
	"time"
)

// While two processes of a proxy serve, a request that must not run twice is claimed: its process asks the
// other one, and forwards it only if the other one neither serves it nor has served it. Before the handoff
// the new process serves nothing, and the old one only tells it.

// claimTimeout bounds the wait for the other process's answer to a claim.
const claimTimeout = 300 * time.Millisecond

// claimResult is the answer to a claim.
type claimResult int

const (
	claimGranted claimResult = iota
	claimDenied              // the request is open in the other process, or may have run there
	claimUnknown             // the other process has not answered
)

// acceptClaims notes that the other process answers claims. An old process tells a new one that asks for them
// which requests are open or may have run; it claims later ones over the link.
func (srv *Server) acceptClaims(l *handoffLink, m handoffMessage) error {
	l.takesClaims.Store(true)
	srv.executions.restore(m.Executions, time.Now())
	if l.peerServes.Load() {
		return nil // this is the new process
	}
	return l.send(handoffMessage{Kind: kindClaims, Executions: srv.executions.known()}, -1)
}

// claimEverywhere claims a request at all linked processes but the one that the claim came from.
func (srv *Server) claimEverywhere(ctx context.Context, from *handoffLink, key executionKey) claimResult {
	srv.handoffLinks.mu.Lock()
	links := slices.Clone(srv.handoffLinks.links)
	srv.handoffLinks.mu.Unlock()
	for _, l := range links {
		if l == from || !l.takesClaims.Load() {
			continue
		}
		if l.peerServes.Load() {
			if result := l.claim(ctx, key); result != claimGranted {
				return result
			}
			continue
		}
		_ = l.send(handoffMessage{Kind: kindClaim, Execution: key}, -1) // an error means that the process has ended
	}
	return claimGranted
}

// claim asks the other process for a request, and waits for its answer, at most claimTimeout. If the process
// has ended, it serves nothing any more.
func (l *handoffLink) claim(ctx context.Context, key executionKey) claimResult {
	answer := make(chan claimResult, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return claimGranted
	}
	l.lastCallNumber++
	number := l.lastCallNumber
	l.pendingClaims[number] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingClaims, number)
		l.mu.Unlock()
	}()
	if l.send(handoffMessage{Kind: kindClaim, Execution: key, Number: number}, -1) != nil {
		return claimUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	select {
	case result := <-answer:
		return result
	case <-ctx.Done():
		return claimUnknown
	}
}

// answerClaim decides the other process's claim, and answers it if it waits for an answer.
func (srv *Server) answerClaim(l *handoffLink, m handoffMessage) error {
	granted := srv.executions.claim(m.Execution, time.Now()) &&
		srv.claimEverywhere(srv.loopContext, l, m.Execution) == claimGranted
	if m.Number == 0 {
		return nil
	}
	return l.send(handoffMessage{Kind: kindClaimed, Number: m.Number, Denied: !granted}, -1)
}

// claimAnswered ends the wait for the answer to a claim.
func (l *handoffLink) claimAnswered(m handoffMessage) {
	result := claimGranted
	if m.Denied {
		result = claimDenied
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer := l.pendingClaims[m.Number]; answer != nil {
		delete(l.pendingClaims, m.Number)
		answer <- result
	}
}

// endClaimsLocked ends all waits for answers, as the other process has ended. The caller holds l.mu.
func (l *handoffLink) endClaimsLocked() {
	for number, answer := range l.pendingClaims {
		delete(l.pendingClaims, number)
		answer <- claimGranted
	}
}
