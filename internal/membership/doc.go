// Package membership is the pure core of a gossip-based membership protocol: it maintains one node's view of
// all nodes of a fleet, with their health, generation, incarnation and metadata. Views are eventually
// consistent and may be wrong for a while. Whatever must hold in every case may not depend on a view; it
// needs the registry's leases and fencing tokens.
//
// Core.Handle takes events and a time and returns actions. The core has no clock, socket or goroutine, and
// the same events with the same seed give the same actions. The core's owner (package gossip) sends a Tick
// when the last Wake has expired, passes each datagram to the core as Received, and carries out the actions.
// A Core must not be used by two goroutines at once.
//
// The protocol follows the published descriptions of SWIM (probes in shuffled rounds, indirect probes,
// suspicion, broadcasts piggybacked on probes) and of Lifeguard (local health awareness, a suspicion timeout
// that shrinks with the number of accusers, notifying the suspect). This package adds:
//
//   - A generation distinguishes successive processes of one name. It takes precedence over SWIM's
//     incarnation, which a process raises to refute a suspicion of itself.
//   - Digests of ranges of the view are compared for anti-entropy (digest.go, sync.go).
//   - Of two processes with one name, the one with the lower generation yields (self.go).
package membership
