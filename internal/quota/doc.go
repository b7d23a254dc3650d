// Package quota allocates limits among proxies. Two pure cores take events and a time and return actions: the
// Allocator, run by the process that holds the lease "quota", and the Ledger, run by each proxy, which holds
// the tokens (ratelimit.Tokens) that requests are admitted with. The two cores exchange datagrams of at most
// 256 bytes, whose format wire.go and messages.go define.
//
// Invariant: in any window of true time of length W, all proxies together admit at most rate x W + burst of a
// limit. The invariant rests on three assumptions: clocks run within Drift of true time, a lease holder does
// not act past the end of its lease (LeaseHeld.Until, before which no other process gets the lease), and each
// proxy name has one process at a time. The invariant does not depend on membership: it holds whichever
// proxies are alive, and whichever process a proxy takes for the allocator. docs/quota-design.md derives it;
// in short:
//
//   - At any time the buckets of all proxies, the capacity for tokens in transit and the allocator's own
//     bucket (limitAllocation) together have a capacity of burst tokens and are refilled at rate units a
//     second. So there are at most burst tokens at the start of a window, and at most rate x W tokens are
//     added during it.
//   - The allocator counts for each proxy the largest share that it may have (Allocator.maxShare): all leases
//     that the proxy may still hold, and its fallback share, unless the fallback share stays suspended for
//     longer than any lease that is granted now can last.
//   - When a share grows, the proxy gets only tokens that the allocator took out of its own bucket. When a
//     share shrinks, the proxy loses the tokens that no longer fit into its bucket. Rates are granted reduced
//     by Drift, so that a proxy with a fast clock admits at most the limit's rate.
package quota
