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

// handoffPeer is a test's end of a handoff link. The test acts as the process at that end.
type handoffPeer struct {
	*net.UnixConn
	reader *bufio.Reader
}

// sendLine writes a message, with a line end after it.
func (o handoffPeer) sendLine(t *testing.T, line string) {
	t.Helper()
	if _, err := io.WriteString(o, line+"\n"); err != nil {
		t.Error(err)
	}
}

// receive reads a message. The test fails if its kind differs.
func (o handoffPeer) receive(t *testing.T, kind string) (m handoffMessage) {
	t.Helper()
	besteffort.SocketOption(o.SetDeadline(time.Now().Add(testTimeout)))
	line, err := o.reader.ReadBytes('\n')
	if err != nil {
		t.Errorf("receiving a message of kind %q: %v", kind, err)
		return m
	}
	if json.Unmarshal(line, &m) == nil && m.Kind == kindClaims && kind != kindClaims {
		return o.receive(t, kind) // may come at any time after the state
	}
	if err := json.Unmarshal(line, &m); err != nil || m.Kind != kind {
		t.Errorf("received %s, want kind %q", line, kind)
	}
	return m
}

// dialHandoff connects to the handoff socket of the running process, as a new process does.
func dialHandoff(t *testing.T, dir string) handoffPeer {
	t.Helper()
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
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

// maxBackendConns returns the current limit of the proxy's connections to backends.
func (srv *runningProxy) maxBackendConns() int {
	srv.pool.mu.Lock()
	defer srv.pool.mu.Unlock()
	return srv.pool.limit()
}

const helloLine = `{"v":1,"kind":"hello"}`
