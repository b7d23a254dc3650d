package proxy

import "time"

// A process that has just been started is ready within readyMost, whatever
// discovery does, with the list of before that its configuration names. These are
// all the waits ahead of that:
//
//   - BindMost, while the previous process still has the clients' address. One that
//     shares their socket does not bind it.
//   - firstWord, where lists are pushed, as what the agent holds counts from the
//     first moment. Where they are asked for there is none.
//   - with a shared socket, stateTime, listTime and yoursTime, while the process
//     before serves. firstWord passes during the second.
//
// So nothing depends on how many start together, nor on a discovery that serves them
// in turn, slowly, or not at all; and clients that fill the descriptors give way
// to the one that asks for readiness. A proxy that knows no server from before has to
// hear of one first: that takes 6 s from when discovery can be reached, by the bound
// for silence (internal/registry/client/silence.go), and then it is ready at once. One that
// follows a policy or tells tenants apart waits for the registry as long as it takes.
const (
	MaxBindTime  = 5 * time.Second
	maxReadyTime = max(MaxBindTime+agentAnswerTimeout, stateTimeout+handoffListTimeout+releaseTimeout) // 5.5 s
)

// updateReady lets clients in once there are servers and, where a policy is followed, it has been heard of:
// before that the proxy would admit what no limit bounds. Where tenants are known, it has the catalogue, too,
// and is on the member record.
func (srv *Server) updateReady() {
	srv.frontend.ready.Store(
		len(srv.listedEndpoints) > 0 && !srv.awaitingAgent && (srv.policy == nil || srv.policy.policyKnown) &&
			(srv.tenants == nil || srv.tenants.catalogue.Ready()),
	)
}

// logMissing is for whoever looks for the reason of a proxy that is not ready in its time.
func (srv *Server) logMissing() {
	if !srv.frontend.ready.Load() {
		srv.log.Warn(
			"not ready yet",
			"after",
			maxReadyTime,
			"servers",
			len(srv.listedEndpoints),
			"agent",
			!srv.awaitingAgent,
			"policy",
			srv.policy == nil || srv.policy.policyKnown,
			"tenants",
			srv.tenants == nil || srv.tenants.catalogue.Ready(),
		)
	}
}
