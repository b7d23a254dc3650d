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

// meetingPlace is a folder whose name is short enough for a socket.
func meetingPlace(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "up")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Cleanup(os.RemoveAll(dir)) })
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

func (o other) hear(t *testing.T, kind string) (m handoffMessage) {
	t.Helper()
	besteffort.SocketOption(o.SetDeadline(time.Now().Add(enough)))
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
		c, err := net.Dial("unix", filepath.Join(dir, handoffSocket))
		if err == nil {
			t.Cleanup(func() { besteffort.Close(c) })
			return other{c.(*net.UnixConn), bufio.NewReader(c)}
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

// mayOpen is how many connections to servers the proxy may have now.
func (n *running) mayOpen() int {
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	return n.pool.limit()
}

const hello = `{"v":1,"kind":"hello"}`
