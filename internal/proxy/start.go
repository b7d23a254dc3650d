package proxy

import "time"

// A process that has just been started is ready within maxReadyTime, whatever discovery does, with the cached
// list that its configuration names. These are all the waits before that:
//
//   - MaxBindTime, while the previous process still has the clients' address. One that shares its socket
//     does not bind it.
//   - agentAnswerTimeout, where lists are pushed, as what the agent holds counts from the first moment. Where
//     lists are polled there is none.
//   - with a shared socket, stateTimeout, handoffListTimeout and releaseTimeout, while the previous process
//     serves. agentAnswerTimeout passes during the second.
//
// So nothing depends on how many processes start together, nor on a discovery that serves them in turn,
// slowly, or not at all; and clients that use up the descriptors give way to the one that asks for readiness.
// A proxy without a cached list has to hear of an endpoint first: that takes 6 s from when discovery can be
// reached, by the bound for silence (internal/registry/client/silence.go), and then it is ready at once. One
// that follows a policy or distinguishes tenants waits for the registry as long as it takes.
const (
	MaxBindTime  = 5 * time.Second
	maxReadyTime = max(MaxBindTime+agentAnswerTimeout, stateTimeout+handoffListTimeout+releaseTimeout) // 5.5 s
)

// updateReady accepts clients once there are endpoints and, where a policy is followed, it is known: before
// that the proxy would admit requests that no limit bounds. Where tenants are distinguished, the proxy also
// has the catalogue, and is on the member record.
func (srv *Server) updateReady() {
	srv.frontend.ready.Store(
		len(srv.listedEndpoints) > 0 && !srv.awaitingAgent && (srv.policy == nil || srv.policy.policyKnown) &&
			(srv.tenants == nil || srv.tenants.catalogue.Ready()),
	)
}

// logMissing logs what a proxy lacks that is not ready in its time.
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
