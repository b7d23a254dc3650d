package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wrenspread/balancer"
)

const (
	handoverName = "handover.sock"         // in $TMPDIR
	stateTime    = 2500 * time.Millisecond // for the old process to say what it knows
	listTime     = 2 * time.Second         // for discovery to tell the new process the list
	yoursTime    = time.Second             // for the old process to let go: all this is under the 6 s that an upgrade has
)

// TakeOver prepares a node for upgrades: by a process that serves already, and
// later by one that comes after it. dir is where they meet. It is called once,
// before Run.
func (n *Node) TakeOver(dir string) { n.meeting = filepath.Join(dir, handoverName) }

// greet asks the process that serves, if there is one, for what it knows.
func (n *Node) greet(ctx context.Context) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTime) // for all of it
	defer cancel()
	end, _ := ctx.Deadline()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "unix", n.meeting)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // nobody serves
	}
	if err != nil {
		return nil, err
	}
	l := newLink(c.(*net.UnixConn))
	m := message{}
	if err = l.say(message{Version: handoverVersion, Kind: kindHello}, -1); err == nil {
		m, err = l.next(end)
	}
	if err == nil && (m.Kind != kindState || m.Version != handoverVersion) {
		err = fmt.Errorf("the old process says %q in version %d", m.Kind, m.Version)
	}
	if err != nil {
		l.close()
		l.drop()
		return nil, err
	}
	n.join(l, false) // before any call can be in force here that the old process has not heard of
	n.do(func() { n.restore(m) })
	return l, nil
}

// restore takes what the old process knew. Numbers of servers are a matter of
// each process.
func (n *Node) restore(m message) {
	for _, name := range m.Bans {
		n.setMaintenance(name, true)
	}
	n.succeedTenants(m.Tenants)
	if m.Learned == nil {
		return
	}
	names := map[balancer.EndpointID]string{}
	for name, id := range m.Names {
		names[id] = name
	}
	servers := m.Learned.Endpoints[:0]
	for _, s := range m.Learned.Endpoints {
		if name, ok := names[s.ID]; ok {
			s.ID = n.ids.of(name)
			servers = append(servers, s)
		}
	}
	m.Learned.Endpoints = servers
	n.handle(balancer.Restored{Learned: *m.Learned})
	n.log.Info("taken over", "servers", len(servers))
}

// succeed goes on where greet ended, with a link that has been joined: it waits for the list, has the old process
// let go, and stays linked with it until it ends. It returns when this process
// is to serve, and false if that has been told to end before: the old one serves on.
func (n *Node) succeed(ctx context.Context, l *link) bool {
	yours := make(chan struct{})
	let := sync.OnceFunc(func() { close(yours) })
	go func() {
		defer n.leave(l)
		defer let() // an old process that has ended has let go
		n.attend(l, func(m message) {
			if m.Kind == kindYours {
				n.takePeers(l, m.Fleet)
				let()
			}
		})
	}()
	end := time.Now().Add(n.listTime)
	n.await(ctx, n.listTime, n.told)
	n.await(ctx, time.Until(end), n.tenants.isReady())
	if ctx.Err() != nil {
		return false
	}
	if err := l.say(message{Kind: kindReady}, -1); err != nil {
		n.log.Warn("the old process is gone", "err", err)
		return true
	}
	if !n.await(ctx, yoursTime, yours) {
		n.log.Warn("the old process does not let go")
	}
	return true
}

// await waits for a channel to close, for some time at most.
func (n *Node) await(ctx context.Context, most time.Duration, c <-chan struct{}) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-c:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// takePeers goes on with the socket at which other nodes know this one, and with its life among them.
func (n *Node) takePeers(l *link, life json.RawMessage) {
	for i, fd := range l.fds {
		if i > 0 || !n.hears() {
			continue
		}
		l.fds[i] = -1
		syscall.CloseOnExec(fd)
		f := os.NewFile(uintptr(fd), "peers")
		c, err := net.FilePacketConn(f)
		f.Close()
		u, ok := c.(*net.UDPConn)
		if err != nil || !ok {
			n.log.Error("the socket of the old process can't be used", "err", err)
			continue
		}
		n.startPeers(newPeers(u, n.cfg.Peers, n.log), n.readHanded(life))
	}
	l.drop()
}
