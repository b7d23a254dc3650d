package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestMain runs the program itself where a test has started it anew.
func TestMain(m *testing.M) {
	if os.Getenv("WRENSPREAD_PROXY_AS_PROGRAM") == "1" {
		if n, err := strconv.ParseUint(os.Getenv("WRENSPREAD_PROXY_DESCRIPTORS"), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
				panic(err)
			}
		}
		main()
		if os.Getenv("WRENSPREAD_PROXY_HELD") == "1" { // at its last line
			fmt.Fprintln(os.Stderr, "the program has run")
			_, _ = io.ReadAll(os.Stdin)
		}
		return
	}
	os.Exit(m.Run())
}

func program(t *testing.T, config string) (cmd *exec.Cmd, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "WRENSPREAD_PROXY_AS_PROGRAM=1", "GW_CONFIG="+path)
	return cmd, path
}

func TestBadConfigIsOneLineAndNonZero(t *testing.T) {
	cmd, _ := program(t, `{"settings":{}}`)
	out, err := cmd.CombinedOutput()
	var exitError *exec.ExitError
	if !errors.As(err, &exitError) || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "listen") {
		t.Errorf("ends with %v and says %q, want a non-zero status and one line on listen", err, out)
	}
}

// TestServesUntilSIGTERM: SIGHUP, with a file that can't be read and with one
// that names another discovery, does not end it.
func TestServesUntilSIGTERM(t *testing.T) {
	var free [2]string
	for i := range free {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(ln)
		free[i] = ln.Addr().String()
		if i == 0 {
			besteffort.Close(ln)
		}
	}
	config := `{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","settings":{},
		"known":{"index":1,"endpoints":[{"name":"s","address":%q,"status":"ready"}]}}`
	cmd, path := program(t, fmt.Sprintf(config, free[0], free[1], free[1]))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { besteffort.Signal(cmd.Process.Kill()) }()
	said := make(chan string, 100)
	go func() {
		defer close(said)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			said <- lines.Text()
		}
	}()
	ready := func() bool {
		resp, err := http.Get("http://" + free[0] + "/health/ready")
		if err != nil {
			return false
		}
		besteffort.Close(resp.Body)
		return resp.StatusCode == http.StatusOK
	}
	for until := time.Now().Add(30 * time.Second); !ready(); time.Sleep(5 * time.Millisecond) {
		select {
		case line := <-said:
			t.Fatalf("the program says %q", line)
		default:
		}
		if time.Now().After(until) {
			t.Fatal("the program does not get ready")
		}
	}
	hup := func(config string) {
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hup("{")
	for {
		line, ok := <-said
		if !ok {
			t.Fatal("it ends on SIGHUP")
		}
		if strings.Contains(line, "keeping the present one") {
			break
		}
	}
	called := make(chan struct{})
	once := sync.OnceFunc(func() { close(called) })
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		once()
		<-r.Context().Done()
	}))
	hup(fmt.Sprintf(config, free[0], next.Listener.Addr(), free[1]))
	select {
	case <-called:
	case <-time.After(30 * time.Second):
		t.Fatal("the new discovery is not called")
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for range said { // to its end, before Wait closes the pipe
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM it ends with %v, want status 0", err)
	}
	next.Close()
}

// TestAddressStillHeld by the previous process: the next one waits for it, and is ready once that has ended.
func TestAddressStillHeld(t *testing.T) {
	former, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(former)
	p := newPlatform(t)
	p.address = former.Addr().String()
	c := p.start(t, "GW_ACCEPT_FD=")
	c.waitSaid(t, "address in use, retrying")
	besteffort.Close(former)
	c.waitReady(t)
	p.wantServed(t, "on the address")
	besteffort.Signal(c.Process.Signal(syscall.SIGTERM))
	c.waitEnd(t)
}

// TestGCPercent: the heap may grow to a part of the memory that the settings state, never to much of it.
func TestGCPercent(t *testing.T) {
	for mb, want := range map[int]int{16: 100, 32: 160, 48: 240, 64: 300, 192: 300} {
		if got := gcPercent(mb); got != want || 4*got/100 > mb/4 {
			t.Errorf("%d MB: %d, want %d", mb, got, want)
		}
	}
}
