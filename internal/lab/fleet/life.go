package fleet

// The processes of a node: start, end, upgrade, and a new address of its agent.

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/spec"
)

// start starts a process of the node and waits until its health check succeeds.
func (n *node) start(ctx context.Context) error {
	n.mu.Lock()
	p, control, err := n.startProcess()
	if err == nil {
		n.proc, n.controlAddress = p, control
	}
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.fleet.net.Lift("down-" + n.name)
	return p.WaitReady(ctx, "http://"+control+"/healthcheck")
}

// startProcess starts a process and returns it with its control address. The caller holds the lock.
func (n *node) startProcess() (*process.Proc, string, error) {
	control, free, err := link.Reserve()
	if err != nil {
		return nil, "", err
	}
	n.fleet.onClose(free)
	path, err := n.writeConfig(control)
	if err != nil {
		return nil, "", err
	}
	s := process.Spec{
		Name:    n.name,
		Command: n.fleet.options.NodeCommand,
		Dir:     n.dir,
		FDs:     uint64(n.fleet.experiment.Fleet.Sockets),
		Env: append(
			[]string{
				"GW_NAME=" + n.name,
				"GW_LISTEN=" + n.listen,
				"GW_DISCOVERY=" + n.discoveryAddress,
				"GW_CONFIG=" + path,
				"TMPDIR=" + n.tmp,
				"PATH=" + os.Getenv("PATH"),
				"GOMAXPROCS=1", // the emulated machine of a node has one core
			},
			n.fleet.options.Env...),
	}
	if n.acceptSocket != nil {
		s.Files, s.Env = []*os.File{n.acceptSocket}, append(s.Env, "GW_ACCEPT_FD=3")
	}
	p, err := n.fleet.group.Start(s)
	return p, control, err
}

func (n *node) currentProcess() *process.Proc {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// kill ends the process at once. From then on the node's address refuses connections, as that of a dead
// process does.
func (n *node) kill() error {
	p := n.currentProcess()
	if err := p.Kill(); err != nil {
		return err
	}
	<-p.Exited()
	n.refuseConnections()
	return nil
}

// refuseConnections makes the clients' link to the node refuse connections.
func (n *node) refuseConnections() {
	n.fleet.net.Lay(
		"down-"+n.name,
		link.Shape{Refuse: true},
		func(e link.Ends) bool { return e.From == spec.Clients && e.To == n.name },
	)
}

// platformNoticeDelay is how long new connections still arrive at a node after its SIGTERM; the platform
// takes 0.2 to 0.4 s.
const platformNoticeDelay = 300 * time.Millisecond

// stop ends the process by SIGTERM. The front learns of this planned end after platformNoticeDelay.
func (n *node) stop() error {
	notice := time.AfterFunc(platformNoticeDelay, func() { n.fleet.front.Leave(n.name) })
	defer notice.Stop()
	err := n.currentProcess().Term(shutdownTimeout)
	n.refuseConnections()
	return err
}

// upgradeTimeout is the time that a new process has until its health check succeeds.
const upgradeTimeout = 6 * time.Second

// upgrade starts a new process while the present one serves, and then ends the previous one.
func (n *node) upgrade(ctx context.Context) error {
	old := n.currentProcess()
	ctx, cancel := context.WithTimeout(ctx, upgradeTimeout)
	defer cancel()
	if err := n.start(ctx); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	return old.Term(shutdownTimeout)
}

// oldAgentLifetime is how long existing connections to the agent's old address last after a move.
const oldAgentLifetime = 1500 * time.Millisecond

// moveAgent changes the address of the proxy's agent, and notifies the proxy by SIGHUP. The old address
// refuses new connections at once, and its existing connections are reset after oldAgentLifetime.
func (n *node) moveAgent(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := spec.Discovery
	if n.agentMoves > 0 {
		old = fmt.Sprint(spec.Discovery, "-", n.agentMoves)
	}
	n.agentMoves++
	address, err := n.fleet.net.Connect(
		link.Ends{From: n.name, To: fmt.Sprint(spec.Discovery, "-", n.agentMoves)},
		n.agentAddress,
	)
	if err != nil {
		return err
	}
	n.discoveryAddress = address
	if _, err := n.writeConfig(n.controlAddress); err != nil {
		return err
	}
	if err := n.proc.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	oldLinks := func(e link.Ends) bool { return e.From == n.name && e.To == old }
	n.fleet.net.Lay("moved-"+n.name+old, link.Shape{Refuse: true}, oldLinks)
	select {
	case <-time.After(oldAgentLifetime):
	case <-ctx.Done():
		return ctx.Err()
	}
	n.fleet.net.Reset(oldLinks)
	return nil
}
