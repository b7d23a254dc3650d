package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"indigotack/decide"
)

// meetingPlace is a folder whose name is short enough for a socket.
func meetingPlace(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "up")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// other is the far end of a link, played by a test.
type other struct {
	*net.UnixConn
	read *bufio.Reader
}

func (o other) say(t *testing.T, line string) {
	t.Helper()
	if _, err := io.WriteString(o, line+"\n"); err != nil {
		t.Error(err)
	}
}

func (o other) hear(t *testing.T, kind string) (m message) {
	t.Helper()
	o.SetDeadline(time.Now().Add(enough))
	line, err := o.read.ReadBytes('\n')
	if err != nil {
		t.Errorf("waited for %q: %v", kind, err)
		return m
	}
	if err := json.Unmarshal(line, &m); err != nil || m.Kind != kind {
		t.Errorf("it says %s, want %q", line, kind)
	}
	return m
}

// meet connects to a process that serves.
func meet(t *testing.T, dir string) other {
	t.Helper()
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("unix", filepath.Join(dir, handoverName))
		if err == nil {
			t.Cleanup(func() { c.Close() })
			return other{c.(*net.UnixConn), bufio.NewReader(c)}
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

func serving(t *testing.T) string {
	return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okAnswer)
		}
	})
}

// mayOpen is how many connections to servers the node may have now.
func (n *running) mayOpen() int {
	n.backends.mu.Lock()
	defer n.backends.mu.Unlock()
	return n.backends.limit()
}

const hello = `{"v":1,"kind":"hello"}`

// TestNewProcessEndsBeforeItIsReady: the old one serves on, with all it may use, and the next one is welcome.
func TestNewProcessEndsBeforeItIsReady(t *testing.T) {
	dir := meetingPlace(t)
	n := startNodeWith(t, func(n *Node) { n.TakeOver(dir) }, serving(t))
	full := n.mayOpen()
	for range 2 {
		o := meet(t, dir)
		o.say(t, hello)
		if m := o.hear(t, kindState); len(m.Learned.Servers) != 1 || m.Names["s-0"] != m.Learned.Servers[0].ID {
			t.Errorf("state %+v", m)
		}
		if half := n.mayOpen(); half > full/2 {
			t.Errorf("it uses %d connections of %d", half, full)
		}
		late := meet(t, dir)
		late.say(t, hello)
		late.hear(t, kindRefused) // one at a time
		o.Close()
		for until := time.Now().Add(enough); n.mayOpen() != full; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("it does not take its connections back")
			}
		}
		if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 || a.header.Get("Connection") == "close" {
			t.Errorf("answer %+v", a)
		}
	}
}

// TestNoiseAtTheMeetingPlace: whoever calls there with something else does no harm.
func TestNoiseAtTheMeetingPlace(t *testing.T) {
	dir := meetingPlace(t)
	n := startNodeWith(t, func(n *Node) { n.TakeOver(dir) }, serving(t))
	for _, noise := range []string{"", "\n", "{}", `{"v":2,"kind":"hello"}`, `{"v":1,"kind":"ready"}`, "GET / HTTP/1.1\r\n\r\n",
		`[1]`, "\x00\xff"} {
		o := meet(t, dir)
		o.say(t, noise)
		o.SetDeadline(time.Now().Add(enough))
		if b, err := io.ReadAll(o); err != nil && !strings.Contains(err.Error(), "reset") || len(b) > 0 {
			t.Errorf("%q is told %q, %v", noise, b, err)
		}
	}
	o := meet(t, dir)
	o.say(t, hello)
	o.hear(t, kindState)
	o.say(t, `{"kind":"odd"}`)
	o.say(t, `{"kind":"done","number":77}`)
	o.say(t, `{"kind":"yours"}`)
	o.say(t, `{"kind":"call","backend":"nobody","on":true,"number":5}`)
	if m := o.hear(t, kindDone); m.Number != 5 {
		t.Errorf("answer %+v", m)
	}
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("answer %+v", a)
	}
}

// TestStopBeforeTheNewProcessIsReady is a stop like any other, and the new process hears of it by the link's end.
func TestStopBeforeTheNewProcessIsReady(t *testing.T) {
	dir := meetingPlace(t)
	n := startNodeWith(t, func(n *Node) { n.TakeOver(dir) }, serving(t))
	o := meet(t, dir)
	o.say(t, hello)
	o.hear(t, kindState)
	n.stop()
	n.linger()
	if err := wait(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
	if _, err := io.ReadAll(o); err != nil {
		t.Errorf("the link ends with %v", err)
	}
}

// oldProcess plays a process that serves: it hears hello, and goes on with script.
func oldProcess(t *testing.T, dir string, script func(other)) {
	t.Helper()
	ln, err := net.Listen("unix", filepath.Join(dir, handoverName))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := ln.Accept()
		ln.Close()
		if err != nil {
			return
		}
		defer c.Close()
		script(other{c.(*net.UnixConn), bufio.NewReader(c)})
	}()
	t.Cleanup(func() { ln.Close(); <-ended })
}

// TestOldProcessFails: whatever it says or leaves out, the new one serves.
func TestOldProcessFails(t *testing.T) {
	const state = `{"v":1,"kind":"state","names":{"s-0":7},"learned":{"Servers":[{"ID":7},{"ID":8}]}}`
	for _, c := range []struct {
		name   string
		script func(other)
	}{
		{"gone", func(other) {}},
		{"noise", func(o other) { o.say(t, "noise") }},
		{"another version", func(o other) { o.say(t, `{"v":2,"kind":"state"}`) }},
		{"refuses", func(o other) { o.say(t, `{"kind":"refused"}`) }},
		{"endless line", func(o other) {
			for o.SetDeadline(time.Now().Add(enough)); ; {
				if _, err := o.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}},
		{"odd state", func(o other) {
			o.say(t, `{"v":1,"kind":"state","learned":{"Mean":-1},"bans":[""]}`)
			o.hear(t, kindReady)
		}},
		{"gone before it lets go", func(o other) { o.say(t, state); o.hear(t, kindReady) }},
		{"lets go without the peers' socket", func(o other) {
			o.say(t, state)
			o.hear(t, kindReady)
			o.say(t, `{"kind":"yours"}`)
			io.Copy(io.Discard, o)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := meetingPlace(t)
			over := make(chan struct{})
			oldProcess(t, dir, func(o other) {
				defer close(over)
				if line, err := o.read.ReadString('\n'); err != nil || line != hello+"\n" {
					t.Errorf("hello is %q, %v", line, err)
				}
				c.script(o)
			})
			n := startNodeWith(t, func(n *Node) { n.TakeOver(dir) }, serving(t))
			if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
				t.Errorf("answer %+v", a)
			}
			n.stopNow(t)
			wait(t, over, "the old process")
		})
	}
}

// TestBansAreTakenOver before any list, and calls go to whoever else serves.
func TestBansAreTakenOver(t *testing.T) {
	dir := meetingPlace(t)
	calls := make(chan message, 1)
	oldProcess(t, dir, func(o other) {
		o.read.ReadString('\n')
		o.say(t, `{"v":1,"kind":"state","bans":["s-0"]}`)
		o.hear(t, kindReady)
		o.say(t, `{"kind":"yours"}`)
		m := o.hear(t, kindCall)
		o.say(t, fmt.Sprintf(`{"kind":"done","number":%d}`, m.Number))
		calls <- m
		io.Copy(io.Discard, o)
	})
	n := startNodeWith(t, func(n *Node) { n.TakeOver(dir) }, serving(t))
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 503 {
		t.Errorf("answer %+v, want a refusal", a)
	}
	if err := n.maintain(context.Background(), "s-0", false); err != nil {
		t.Error(err)
	}
	if m := wait(t, calls, "the call at the old process"); m.Backend != "s-0" || m.On {
		t.Errorf("it hears %+v", m)
	}
	if held := n.backends.isHeld(decide.ServerID(newIDs().of("s-0"))); held {
		t.Error("the ban is still in force")
	}
	n.stopNow(t)
}

// TestPeersSocketIsHandedOver: the new process reads what other nodes send, and both send from the one address.
func TestPeersSocketIsHandedOver(t *testing.T) {
	dir := meetingPlace(t)
	conn, own := udpSocket(t)
	far, to := udpSocket(t)
	old := startNodeWith(t, func(n *Node) { n.TakeOver(dir) }, serving(t))
	heard := make(chan string, 10)
	p := newPeers(conn, []netip.AddrPort{own, to}, quiet)
	old.peers.Store(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.run(ctx, func(_ int, data []byte) { heard <- "old " + string(data) })
	far.WriteToUDPAddrPort([]byte("1"), own)
	if got := wait(t, heard, "a message"); got != "old 1" {
		t.Errorf("heard %q", got)
	}
	o := meet(t, dir)
	o.say(t, hello)
	o.hear(t, kindState)
	l := newLink(o.UnixConn)
	o.say(t, `{"kind":"ready"}`)
	if m, err := l.next(time.Now().Add(enough)); err != nil || m.Kind != kindYours || len(l.fds) != 1 {
		t.Fatalf("%+v, %v, descriptors %v", m, err, l.fds)
	}
	next := &Node{log: quiet, cfg: Config{PeerListen: own.String(), Peers: []netip.AddrPort{own, to}}, inbox: make(chan func(), 10),
		ended: make(chan struct{}), ctx: ctx}
	next.takePeers(l)
	far.WriteToUDPAddrPort([]byte("2"), own)
	wait(t, next.inbox, "the message at the new process")
	buf := make([]byte, 10)
	for i, n := range []*peers{old.peers.Load(), next.peers.Load()} {
		n.send(1, []byte("x"))
		far.SetReadDeadline(time.Now().Add(enough))
		if _, from, err := far.ReadFromUDPAddrPort(buf); err != nil || from != own {
			t.Errorf("process %d sends from %v, %v", i, from, err)
		}
	}
	select {
	case got := <-heard:
		t.Errorf("the old process heard %q", got)
	default:
	}
	if _, err := net.Dial("tcp", old.address); err == nil {
		t.Error("the old process accepts")
	}
}
