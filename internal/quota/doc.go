// Package quota shares limits out among proxies. Two pure cores take events and a time and return actions:
// the allocator, run by the process that holds the lease "quota", and the Ledger, run by each proxy, which is
// the hand (decide.Hand) that requests are judged with. They speak by datagrams of at most 256 bytes; wire.go
// is the one definition of them for both ends.
//
// What all proxies together admit of a limit in any window W of true time is at most rate x W + burst. It
// needs that clocks run within Drift of true time, that a holder does not act past the end of its lease
// (Held.Until, before which no other process gets it), and that a name has one process at a time. It needs
// nothing of the view: neither of who is alive, nor of whom a proxy takes for the holder.
// docs/quota-design.md derives it; in short:
//
//   - At any time the buckets of all proxies, the room for tokens on the way, and the holder's own bucket (allocation) have
//     room for burst tokens together, and are filled at rate units a second together. So at a window's start there are
//     at most burst tokens, and at most rate x W come to them.
//   - The holder counts for each proxy the most that it may have (allocator.count): all leases that it may still
//     live by, and its fallback share unless that is at rest for longer than any lease can live that is granted now.
//   - A share that grows brings no tokens but those that the holder took out of its own bucket; one that shrinks loses
//     what no longer fits. A rate is granted lower by Drift, so that a fast clock makes it the limit's at most.
package quota
