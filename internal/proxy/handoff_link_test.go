package proxy

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// handoffDir returns a temporary directory whose path is short enough for a Unix socket.
func handoffDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "up")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Cleanup(os.RemoveAll(dir)) })
	return dir
}

// handoffPeer is the other process of a handoff link, played by a test.
type handoffPeer struct {
	*net.UnixConn
	read *bufio.Reader
}

// send writes a message as a line.
func (o handoffPeer) send(t *testing.T, line string) {
	t.Helper()
	if _, err := io.WriteString(o, line+"\n"); err != nil {
		t.Error(err)
	}
}

// receive reads a message and reports an error if it is not of the kind.
func (o handoffPeer) receive(t *testing.T, kind string) (m handoffMessage) {
	t.Helper()
	besteffort.SocketOption(o.SetDeadline(time.Now().Add(enough)))
	line, err := o.read.ReadBytes('\n')
	if err != nil {
		t.Errorf("waited for %q: %v", kind, err)
		return m
	}
	if err := json.Unmarshal(line, &m); err != nil || m.Kind != kind {
		t.Errorf("received %s, want kind %q", line, kind)
	}
	return m
}

// dialHandoff connects to the handoff socket of a process that serves, as a new process does.
func dialHandoff(t *testing.T, dir string) handoffPeer {
	t.Helper()
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("unix", filepath.Join(dir, handoffSocket))
		if err == nil {
			t.Cleanup(func() { besteffort.Close(c) })
			return handoffPeer{c.(*net.UnixConn), bufio.NewReader(c)}
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

// maxBackendConns returns the present limit of the proxy's connections to backends.
func (n *running) maxBackendConns() int {
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	return n.pool.limit()
}

const helloLine = `{"v":1,"kind":"hello"}`
