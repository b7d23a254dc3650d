package proxy

import "time"

// A new process whose configuration has an initial list is ready within maxReadyTime, whatever discovery
// does. It waits only for:
//
//   - MaxBindTime, while the previous process is still bound to the clients' address. A process that inherits
//     the shared socket does not bind it.
//   - agentAnswerTimeout, where lists are pushed, as the agent's list applies from the start of the process.
//     Where lists are polled there is no such wait.
//   - With a shared socket: handoffStateTimeout, handoffListTimeout and handoffReleaseTimeout, while the
//     previous process serves. agentAnswerTimeout passes during handoffListTimeout.
//
// So the time to readiness does not depend on how many processes start together, nor on a discovery that
// serves them in turn, slowly, or not at all. If silent clients take all slots, the listener closes one of
// them for the connection that checks readiness. A proxy without an initial list first has to receive an
// endpoint. That takes up to 6 s from when discovery can be reached: the bound for a silent discovery
// (internal/registry/client/platform_times.go). A proxy that follows a policy or distinguishes tenants waits
// for the registry without a limit.
const (
	// MaxBindTime is the longest wait for the clients' address.
	MaxBindTime  = 5 * time.Second
	maxReadyTime = max(
		MaxBindTime+agentAnswerTimeout,
		handoffStateTimeout+handoffListTimeout+handoffReleaseTimeout,
	) // 5.5 s
)

// updateReady updates whether the proxy accepts clients. It needs endpoints, and the agent's first answer or
// the end of the wait for it. If it follows a policy, it needs the policy, because without the policy it
// would admit requests that no limit bounds. If tenants are distinguished, it also needs the catalogue and
// its entry in the member record.
func (srv *Server) updateReady() {
	srv.frontend.ready.Store(
		len(srv.listedEndpoints) > 0 && !srv.awaitingAgent && (srv.policy == nil || srv.policy.policyKnown) &&
			(srv.tenants == nil || srv.tenants.catalogue.Ready()),
	)
}

// logMissing logs what the proxy lacks if it is not ready when maxReadyTime has passed.
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
