// Package quota allocates limits among proxies. Two pure cores take events and a time and return actions: the
// Allocator, run by the process that holds the lease "quota", and the Ledger, run by each proxy, which holds
// the tokens (ratelimit.Tokens) that requests are admitted with. The cores exchange datagrams of at most 256
// bytes; wire.go and messages.go define their format for both ends.
//
// Invariant: what all proxies together admit of a limit in any window W of true time is at most rate x W +
// burst. The invariant rests on three assumptions: clocks run within Drift of true time, a lease holder does
// not act past the end of its lease (LeaseHeld.Until, before which no other process gets the lease), and a
// name has one process at a time. It does not depend on membership: neither on which proxies are alive, nor
// on which process a proxy takes for the allocator. docs/quota-design.md derives it; in short:
//
//   - At any time the buckets of all proxies, the capacity for tokens in transit and the allocator's own
//     bucket (limitAllocation) have a capacity of burst tokens together, and are filled at rate units a
//     second together. So at a window's start there are at most burst tokens, and at most rate x W are added.
//   - The allocator counts for each proxy the largest share that it may have (Allocator.maxShare): all leases
//     that the proxy may still hold, and its fallback share, unless the fallback share stays suspended for
//     longer than any lease that is granted now can last.
//   - A share that grows brings only tokens that the allocator took out of its own bucket; a share that
//     shrinks loses the tokens that no longer fit. Rates are granted reduced by Drift, so that a proxy with a
//     fast clock admits at most the limit's rate.
package quota
