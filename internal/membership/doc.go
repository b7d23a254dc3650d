// Package fleet keeps one node's view of all nodes: who is there, in which life, with which facts. It is what
// nodes believe of each other, quick and sometimes wrong; nothing that must hold in every case may rest on it
// alone.
//
// The package is pure: events and a time go in, actions come out. It has no clock, socket or goroutine, and
// the same events with the same seed give the same actions. The shell gives it a Tick when the last Wake has
// run out, each datagram as Received, and carries out what is returned.
//
// It is written from the published descriptions of SWIM (probes in shuffled rounds, indirect probes,
// suspicion, news riding on probes) and Lifeguard (local health, fewer accusers means more time, telling the
// suspect). Its own are the order of lives, the digests of ranges, and the rules for two processes of one
// name.
package membership
