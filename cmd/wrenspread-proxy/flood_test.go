package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

const (
	floodCores = 0.2 // of one core
	floodTime  = 4 * time.Second
	// quotaPeriod is the period in which a process that has used its share of a core stands still, as with the
	// processor quotas of the operators' machines.
	quotaPeriod = 100 * time.Millisecond
	// promptTime is the latency objective of the site's most urgent class, and promptShare the share of requests
	// that has to meet it.
	promptTime  = 200 * time.Millisecond
	promptShare = 0.95
)

// floods are what one client sends at full speed on one connection: a beginning, and what it repeats. An
// %s stands for a name that is new each time.
var floods = map[string]struct{ begin, repeated string }{
	"small requests":    {"", floodHead("read", "%s") + "\r\n"},
	"unknown classes":   {"", floodHead("%[1]s", "%[1]s") + "\r\n"},
	"new tenants":       {"", floodHead("read", "%[1]s") + "X-Tenant: %[1]s\r\n\r\n"},
	"new paths":         {"", strings.Replace(floodHead("read", "%[1]s"), "/api/x", "/%[1]s/%[1]s", 1) + "\r\n"},
	"no deadline":       {"", "GET /api/x HTTP/1.1\r\nHost: a\r\nX-Class: read\r\nX-Request-Id: %s\r\n\r\n"},
	"wrong method":      {"", "DELETE /%s HTTP/1.1\r\nHost: a\r\nX-Class: read\r\nX-Request-Id: a\r\nX-Deadline: 1\r\n\r\n"},
	"health checks":     {"", "GET /health/live HTTP/1.1\r\nHost: %s\r\n\r\n"},
	"empty lines":       {"", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"},
	"tiny chunks":       {floodHead("write", "tiny") + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100)},
	"pipelined chunked": {"", strings.Replace(floodHead("write", "%s"), "GET", "POST", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
}

func floodHead(class, id string) string {
	method := "GET"
	if class == "write" {
		method = "POST"
	}
	return method + " /api/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: " + class + "\r\nX-Deadline: 1\r\n"
}

// floodConnection sends at full speed until stop is closed, and connects again when the proxy closes the connection. It
// reads the responses.
func floodConnection(address, begin, repeated string, stop <-chan struct{}) (ended chan struct{}) {
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; {
			c, err := net.Dial("tcp", address)
			if err == nil {
				go func() { besteffort.Drained(io.Copy(io.Discard, c)) }()
				besteffort.Output(io.WriteString(c, begin))
				for err == nil {
					var batch strings.Builder
					for range 50 {
						n++
						if strings.Contains(repeated, "%") {
							fmt.Fprintf(&batch, repeated, "name"+strconv.Itoa(n))
						} else {
							batch.WriteString(repeated)
						}
					}
					besteffort.SocketOption(c.SetWriteDeadline(time.Now().Add(floodTime)))
					_, err = io.WriteString(c, batch.String())
					select {
					case <-stop:
						besteffort.Close(c)
						return
					default:
					}
				}
				besteffort.Close(c)
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return ended
}

// limitProcessor gives a process at most a share of one core until the test ends, by stopping it for the rest
// of each period in which it has used its part.
func (c *limitedProcess) limitProcessor(t *testing.T, cores float64) {
	t.Helper()
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		resume := func() { besteffort.Signal(c.cmd.Process.Signal(syscall.SIGCONT)) }
		defer resume()
		begin, used := time.Now(), c.processorTime()
		for held := false; ; time.Sleep(time.Millisecond) {
			select {
			case <-stop:
				return
			default:
			}
			now := c.processorTime()
			if time.Since(begin) >= quotaPeriod {
				begin, used = time.Now(), now
				if held {
					held = false
					resume()
				}
			}
			if !held && now-used > time.Duration(cores*float64(quotaPeriod)) {
				held = true
				besteffort.Signal(c.cmd.Process.Signal(syscall.SIGSTOP))
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
}

// processorTime returns the processor time that the process has used.
func (c *limitedProcess) processorTime() (used time.Duration) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", c.cmd.Process.Pid))
	for _, path := range paths {
		raw, _ := os.ReadFile(path)
		if first, _, ok := strings.Cut(string(raw), " "); ok {
			n, _ := strconv.ParseInt(first, 10, 64)
			used += time.Duration(n)
		}
	}
	return used
}

// TestFloodOnOneConnectionDelaysNoOtherClient guards against other clients' answers that come late or never,
// and memory that grows, because one client floods its connection (report 6bac65).
func TestFloodOnOneConnectionDelaysNoOtherClient(t *testing.T) {
	for name, f := range floods {
		t.Run(name, func(t *testing.T) {
			p := newLimitedProxy(t, leastMemoryMB, mostDescriptors)
			p.config["limits"].(map[string]any)["cores"] = floodCores
			process := p.start()
			process.limitProcessor(t, floodCores)
			memory := p.watchMemory()
			stopFlood, stop := make(chan struct{}), make(chan struct{})
			flooded := floodConnection(p.address, f.begin, f.repeated, stopFlood)
			ordinary := ordinaryClients(p.address, stop)
			time.Sleep(floodTime)
			close(stop)
			results := ordinary()
			close(stopFlood)
			p.checkLimits(t, max(memory.peak(), process.statusKB("VmHWM")), leastMemoryMB)
			checkOrdinary(t, results)
			checkPrompt(t, results)
			t.Logf("%v of processor time", process.processorTime())
			process.kill()
			<-flooded
		})
	}
}

// checkPrompt checks that enough requests were answered within the latency objective.
func checkPrompt(t *testing.T, results []ordinaryResult) {
	t.Helper()
	prompt := 0
	for _, r := range results {
		if r.status == http.StatusOK && r.took <= promptTime {
			prompt++
		}
	}
	if float64(prompt) < promptShare*float64(len(results)) {
		t.Errorf("%d of %d ordinary requests were served within %v", prompt, len(results), promptTime)
	}
	t.Logf("%d of %d ordinary requests were served within %v", prompt, len(results), promptTime)
}
