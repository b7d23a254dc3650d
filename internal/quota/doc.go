// Package quota allocates limits among proxies. Two pure cores take events and a time and return actions: the
// Allocator, run by the process that holds the lease "quota", and the Ledger, run by each proxy, which holds
// the tokens (ratelimit.Tokens) that requests are admitted with. They exchange datagrams of at most 256
// bytes; wire.go is the one definition of these for both ends.
//
// Invariant: what all proxies together admit of a limit in any window W of true time is at most rate x W +
// burst. It rests on three assumptions: clocks run within Drift of true time, a lease holder does not act
// past the end of its lease (LeaseHeld.Until, before which no other process gets it), and a name has one
// process at a time. It rests on nothing of membership: neither on who is alive, nor on whom a proxy takes
// for the allocator. docs/quota-design.md derives it; in short:
//
//   - At any time the buckets of all proxies, the capacity for tokens in transit and the allocator's own
//     bucket (allocation) have a capacity of burst tokens together, and are filled at rate units a second
//     together. So at a window's start there are at most burst tokens, and at most rate x W are added.
//   - The allocator counts for each proxy the most that it may have (Allocator.count): all leases that it may
//     still hold, and its fallback share, unless that has been unused for longer than any lease that is
//     granted now can last.
//   - A share that grows brings no tokens but those that the allocator took out of its own bucket; one that
//     shrinks loses what no longer fits. A rate is granted lower by Drift, so that a fast clock makes it the
//     limit's at most.
package quota
