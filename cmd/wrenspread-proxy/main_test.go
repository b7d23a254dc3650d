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

// TestMain runs the proxy instead of the tests in a process that a test has started for it.
func TestMain(m *testing.M) {
	if os.Getenv("WRENSPREAD_PROXY_AS_PROGRAM") == "1" {
		if n, err := strconv.ParseUint(os.Getenv("WRENSPREAD_PROXY_DESCRIPTORS"), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
				panic(err)
			}
		}
		main()
		if os.Getenv("WRENSPREAD_PROXY_HELD") == "1" { // keep the process alive after main has returned
			fmt.Fprintln(os.Stderr, "the program has run")
			_, _ = io.ReadAll(os.Stdin)
		}
		return
	}
	os.Exit(m.Run())
}

// programCommand returns the command that runs a proxy with a configuration, and the path of the
// configuration's file.
func programCommand(t *testing.T, config string) (cmd *exec.Cmd, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "WRENSPREAD_PROXY_AS_PROGRAM=1", "GW_CONFIG="+path)
	return cmd, path
}

// TestBadConfigPrintsOneLineAndFails: with an unusable configuration the program prints one line and exits
// with an error.
func TestBadConfigPrintsOneLineAndFails(t *testing.T) {
	cmd, _ := programCommand(t, `{"settings":{}}`)
	out, err := cmd.CombinedOutput()
	var exitError *exec.ExitError
	if !errors.As(err, &exitError) || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "listen") {
		t.Errorf("program ended with %v and printed %q, want a non-zero status and one line on listen", err, out)
	}
}

// TestServesOverSIGHUPUntilSIGTERM: SIGHUP does not end the program. If the file is invalid then, the program
// keeps its configuration, and if the file names another discovery, the program uses it. After SIGTERM the
// program exits with status 0.
func TestServesOverSIGHUPUntilSIGTERM(t *testing.T) {
	var addresses [2]string
	for i := range addresses {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(ln)
		addresses[i] = ln.Addr().String()
		if i == 0 {
			besteffort.Close(ln)
		}
	}
	config := `{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","settings":{},
		"known":{"index":1,"endpoints":[{"name":"s","address":%q,"status":"ready"}]}}`
	cmd, path := programCommand(t, fmt.Sprintf(config, addresses[0], addresses[1], addresses[1]))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { besteffort.Signal(cmd.Process.Kill()) }()
	logLines := make(chan string, 100)
	go func() {
		defer close(logLines)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			logLines <- lines.Text()
		}
	}()
	ready := func() bool {
		resp, err := http.Get("http://" + addresses[0] + "/health/ready")
		if err != nil {
			return false
		}
		besteffort.Close(resp.Body)
		return resp.StatusCode == http.StatusOK
	}
	for until := time.Now().Add(30 * time.Second); !ready(); time.Sleep(5 * time.Millisecond) {
		select {
		case line := <-logLines:
			t.Fatalf("the program logs %q before it is ready", line)
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
		line, ok := <-logLines
		if !ok {
			t.Fatal("the program ends on SIGHUP")
		}
		if strings.Contains(line, "keeping the present one") {
			break
		}
	}
	called := make(chan struct{})
	signalCall := sync.OnceFunc(func() { close(called) })
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		signalCall()
		<-r.Context().Done()
	}))
	hup(fmt.Sprintf(config, addresses[0], next.Listener.Addr(), addresses[1]))
	select {
	case <-called:
	case <-time.After(30 * time.Second):
		t.Fatal("the new discovery is not called")
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for range logLines { // read to its end before Wait closes the pipe
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the program ends with %v, want status 0", err)
	}
	next.Close()
}

// TestWaitsForAddressOfPreviousProcess: while the previous process has the clients' address, the next one
// retries. It is ready once the previous process has ended.
func TestWaitsForAddressOfPreviousProcess(t *testing.T) {
	previous, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(previous)
	p := newPlatform(t)
	p.address = previous.Addr().String()
	c := p.start(t, "GW_ACCEPT_FD=")
	c.waitLogged(t, "address in use, retrying")
	besteffort.Close(previous)
	c.waitReady(t)
	p.wantServed(t, "on the address")
	besteffort.Signal(c.Process.Signal(syscall.SIGTERM))
	c.waitEnd(t)
}

// TestGCPercentBoundsHeapGrowth: the growth of a 4 MB heap between collections is at most a quarter of the
// memory limit.
func TestGCPercentBoundsHeapGrowth(t *testing.T) {
	for mb, want := range map[int]int{16: 100, 32: 160, 48: 240, 64: 300, 192: 300} {
		if got := gcPercent(mb); got != want || 4*got/100 > mb/4 {
			t.Errorf("%d MB: %d, want %d", mb, got, want)
		}
	}
}
