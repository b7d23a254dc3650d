package proxy

import "time"

// A process that has just been started is ready within readyMost, whatever
// discovery does, with the list of before that its configuration names. These are
// all the waits ahead of that:
//
//   - BindMost, while the process before still has the clients' address. One that
//     shares their socket does not bind it.
//   - firstWord, where lists are pushed, as what the agent holds counts from the
//     first moment. Where they are asked for there is none.
//   - with a shared socket, stateTime, listTime and yoursTime, while the process
//     before serves. firstWord passes during the second.
//
// So nothing depends on how many start together, nor on a discovery that serves them
// in turn, slowly, or not at all; and clients that fill the descriptors give way
// to the one that asks for readiness. A node that knows no server from before has to
// hear of one first: that takes 6 s from when discovery can be reached, by the bound
// for silence (internal/registry/client/silence.go), and then it is ready at once. One that
// follows a policy or tells tenants apart waits for the list service as long as it takes.
const (
	BindMost  = 5 * time.Second
	readyMost = max(BindMost+firstWord, stateTime+listTime+yoursTime) // 5.5 s
)

// settleReady lets clients in once there are servers and, where a policy is followed, it has been heard of: before that
// the node would admit what no limit bounds. Where tenants are known, it has the catalogue, too, and is on the book.
func (n *Node) settleReady() {
	n.front.ready.Store(len(n.listed) > 0 && !n.unheard && (n.governed == nil || n.governed.told) && (n.tenants == nil || n.tenants.now.Ready()))
}

// sayWhatLacks is for whoever looks for the reason of a node that is not ready in its time.
func (n *Node) sayWhatLacks() {
	if !n.front.ready.Load() {
		n.log.Warn("not ready yet", "after", readyMost, "servers", len(n.listed), "agent", !n.unheard,
			"policy", n.governed == nil || n.governed.told, "tenants", n.tenants == nil || n.tenants.now.Ready())
	}
}
