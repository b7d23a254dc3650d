package fleet

// The processes of a node: begun, ended, replaced, moved.

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

// begin starts a process of the node and waits until it says yes.
func (n *node) begin(ctx context.Context) error {
	n.mu.Lock()
	p, control, err := n.launch()
	if err == nil {
		n.proc, n.control = p, control
	}
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.f.net.Lift("down-" + n.name)
	return p.WaitReady(ctx, "http://"+control+"/healthcheck")
}

// launch starts a process. The caller holds the lock.
func (n *node) launch() (*process.Proc, string, error) {
	control, free, err := link.Reserve()
	if err != nil {
		return nil, "", err
	}
	n.f.atEnd(free)
	path, err := n.write(control)
	if err != nil {
		return nil, "", err
	}
	s := process.Spec{
		Name:    n.name,
		Command: n.f.o.Node,
		Dir:     n.dir,
		FDs:     uint64(n.f.e.Fleet.Sockets),
		Env: append(
			[]string{"GW_NAME=" + n.name, "GW_LISTEN=" + n.listen, "GW_DISCOVERY=" + n.discovery, "GW_CONFIG=" + path,
				"TMPDIR=" + n.tmp, "PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1"},
			n.f.o.Env...),
	} // its machine has one core
	if n.accept != nil {
		s.Files, s.Env = []*os.File{n.accept}, append(s.Env, "GW_ACCEPT_FD=3")
	}
	p, err := n.f.group.Start(s)
	return p, control, err
}

func (n *node) current() *process.Proc {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// kill ends the process at once. From then on its address refuses, as that of a dead process does.
func (n *node) kill() error {
	p := n.current()
	if err := p.Kill(); err != nil {
		return err
	}
	<-p.Exited()
	n.refuse()
	return nil
}

func (n *node) refuse() {
	n.f.net.Lay(
		"down-"+n.name,
		link.Shape{Refuse: true},
		func(e link.Ends) bool { return e.From == spec.Clients && e.To == n.name },
	)
}

// arriving is how long new connections go on to come to a node that was told to
// end, by the platform's 0.2 to 0.4 s.
const arriving = 300 * time.Millisecond

// stop is a planned end, of which the front knows.
func (n *node) stop() error {
	told := time.AfterFunc(arriving, func() { n.f.front.Leave(n.name) })
	defer told.Stop()
	err := n.current().Term(endTime)
	n.refuse()
	return err
}

// upgradeTime is what a new process has to say yes.
const upgradeTime = 6 * time.Second

// upgrade puts a new process in place of the present one while it serves.
func (n *node) upgrade(ctx context.Context) error {
	old := n.current()
	ctx, cancel := context.WithTimeout(ctx, upgradeTime)
	defer cancel()
	if err := n.begin(ctx); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	return old.Term(endTime)
}

// discoveryEnds is how long the old address of discovery serves on after a move.
const discoveryEnds = 1500 * time.Millisecond

// move changes the address of the proxy's agent, and notifies the proxy by SIGHUP.
func (n *node) move(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := spec.Discovery
	if n.moves > 0 {
		old = fmt.Sprint(spec.Discovery, "-", n.moves)
	}
	n.moves++
	address, err := n.f.net.Connect(
		link.Ends{From: n.name, To: fmt.Sprint(spec.Discovery, "-", n.moves)},
		n.agentAt,
	)
	if err != nil {
		return err
	}
	n.discovery = address
	if _, err := n.write(n.control); err != nil {
		return err
	}
	if err := n.proc.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	before := func(e link.Ends) bool { return e.From == n.name && e.To == old }
	n.f.net.Lay("moved-"+n.name+old, link.Shape{Refuse: true}, before)
	select {
	case <-time.After(discoveryEnds):
	case <-ctx.Done():
		return ctx.Err()
	}
	n.f.net.Reset(before)
	return nil
}
