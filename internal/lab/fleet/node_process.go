package fleet

// This file starts, ends and upgrades the processes of a node, and changes the address of its agent.

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
	n.fleet.net.RemoveShape("down-" + n.name)
	return p.WaitReady(ctx, "http://"+control+"/healthcheck")
}

// startProcess starts a process and returns it with its control address. The caller holds the lock.
func (n *node) startProcess() (*process.Proc, string, error) {
	control, releasePort, err := link.Reserve()
	if err != nil {
		return nil, "", err
	}
	n.fleet.onClose(releasePort)
	path, err := n.writeConfig(control)
	if err != nil {
		return nil, "", err
	}
	processSpec := process.Spec{
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
				"TMPDIR=" + n.tempDir,
				"PATH=" + os.Getenv("PATH"),
				"GOMAXPROCS=1", // the emulated machine of a node has one core
			},
			n.fleet.options.Env...),
	}
	if n.acceptSocket != nil {
		processSpec.Files, processSpec.Env = []*os.File{n.acceptSocket}, append(processSpec.Env, "GW_ACCEPT_FD=3")
	}
	p, err := n.fleet.group.Start(processSpec)
	return p, control, err
}

// currentProcess returns the process that was started last.
func (n *node) currentProcess() *process.Proc {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// kill ends the process by SIGKILL, and waits until it has ended. Then the node's address refuses connections
// like the address of a dead process.
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
	n.fleet.net.ApplyShape(
		"down-"+n.name,
		link.Shape{Refuse: true},
		func(e link.Ends) bool { return e.From == spec.Clients && e.To == n.name },
	)
}

// platformNoticeDelay is the time during which new connections still arrive at a node after its SIGTERM: the
// platform takes 0.2 to 0.4 s to notice that the node is ending.
const platformNoticeDelay = 300 * time.Millisecond

// stop ends the process by SIGTERM and waits for its end. The front sends no new connections to the node from
// platformNoticeDelay after the signal on.
func (n *node) stop() error {
	notice := time.AfterFunc(platformNoticeDelay, func() { n.fleet.front.Leave(n.name) })
	defer notice.Stop()
	err := n.currentProcess().Term(shutdownTimeout)
	n.refuseConnections()
	return err
}

// upgradeTimeout is the time that a new process has until its health check succeeds.
const upgradeTimeout = 6 * time.Second

// upgrade starts a new process while the old process serves, and ends the old process once the new one is
// ready.
func (n *node) upgrade(ctx context.Context) error {
	old := n.currentProcess()
	ctx, cancel := context.WithTimeout(ctx, upgradeTimeout)
	defer cancel()
	if err := n.start(ctx); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	return old.Term(shutdownTimeout)
}

// oldAgentLifetime is the time for which existing connections to the agent's old address last after a move.
const oldAgentLifetime = 1500 * time.Millisecond

// moveAgent changes the address of the proxy's agent, and notifies the proxy by SIGHUP. The old address
// refuses new connections at once, and its existing connections are reset after oldAgentLifetime.
func (n *node) moveAgent(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	oldEnd := spec.Discovery
	if n.agentMoves > 0 {
		oldEnd = fmt.Sprint(spec.Discovery, "-", n.agentMoves)
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
	oldLinks := func(e link.Ends) bool { return e.From == n.name && e.To == oldEnd }
	n.fleet.net.ApplyShape("moved-"+n.name+oldEnd, link.Shape{Refuse: true}, oldLinks)
	select {
	case <-time.After(oldAgentLifetime):
	case <-ctx.Done():
		return ctx.Err()
	}
	n.fleet.net.Reset(oldLinks)
	return nil
}
