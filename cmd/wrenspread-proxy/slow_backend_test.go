package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// connect opens a client's connection to a proxy.
func (p *limitedProxy) connect(t *testing.T) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(c) })
	besteffort.SocketOption(c.SetDeadline(time.Now().Add(hangTimeout)))
	return c.(*net.TCPConn), bufio.NewReader(c)
}

// TestLongAnswerWrittenSlowlyIsNotCutOff guards against a long answer that is cut off although its backend goes
// on writing it: past its request's deadline, or while the process ends (report 6bac65).
func TestLongAnswerWrittenSlowlyIsNotCutOff(t *testing.T) {
	const size = 80000
	for _, query := range []string{"", "&chunked=1"} {
		for _, terminated := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, terminated %v", query, terminated), func(t *testing.T) {
				t.Parallel()
				p := newLimitedProxy(t, 2*leastMemoryMB, mostDescriptors)
				process := p.start()
				c, reader := p.connect(t)
				send(c, crowdGet("long", fmt.Sprintf("?size=%d&piece_ms=500%s", size, query)))
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if terminated {
					process.terminate()
				}
				if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
					t.Errorf("%d bytes of %d came: %v", n, size, err)
				}
			})
		}
	}
}

// TestUploadReadSlowlyIsAnsweredInTime guards against an answer that comes seconds late because the backend reads
// the request slowly, while the client has long written all of it (report 6bac65).
func TestUploadReadSlowlyIsAnsweredInTime(t *testing.T) {
	const size = 6000000
	for name, framing := range map[string]string{
		"stated length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)),
		"chunked":       fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("b", size)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newLimitedProxy(t, 2*leastMemoryMB, mostDescriptors)
			p.start()
			c, reader := p.connect(t)
			besteffort.SocketOption(c.SetWriteBuffer(4 << 20))
			if !send(c, crowdHead("POST", "write", "upload", "?read_rate=500000")+framing) {
				t.Fatal("the client can't write its request")
			}
			written := time.Now()
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if late := time.Since(written) - crowdDeadline; late > lateness {
				t.Errorf("status %d came %v after its time", resp.StatusCode, late)
			}
		})
	}
}

// TestRequestRunsOnceAcrossAnUpgrade guards against a request that runs a second time because its ID comes again
// at the other process of an upgrade (report 6bac65).
func TestRequestRunsOnceAcrossAnUpgrade(t *testing.T) {
	for _, class := range []string{"write", "keyed"} {
		for _, oldFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, old process first %v", class, oldFirst), func(t *testing.T) {
				t.Parallel()
				p := newLimitedProxy(t, 2*leastMemoryMB, mostDescriptors)
				p.start()
				toOld := ordinaryClient{address: p.address}
				toOld.request("before", "read")
				held := []*net.TCPConn{}
				for range 2 { // connections that the old process has accepted
					c, reader := p.connect(t)
					send(c, crowdGet("warm-up", ""))
					if _, err := http.ReadResponse(reader, nil); err != nil {
						t.Fatal(err)
					}
					held = append(held, c)
				}
				p.start()
				toNew, _ := p.connect(t)
				order := []*net.TCPConn{held[0], toNew}
				if !oldFirst {
					order = []*net.TCPConn{toNew, held[0]}
				}
				request := crowdHead("POST", class, "once", "?delay_ms=300") + "Content-Length: 2\r\n\r\nhi"
				if class == "keyed" {
					request = strings.Replace(request, "Content-Length", "Idempotency-Key: k\r\nContent-Length", 1)
				}
				send(order[0], request)
				for until := time.Now().Add(hangTimeout); p.backend.runsOf("once") == 0; time.Sleep(time.Millisecond) {
					if time.Now().After(until) {
						t.Fatal("the request does not run")
					}
				}
				besteffort.Close(order[0])
				time.Sleep(50 * time.Millisecond)
				send(order[1], request)
				resp, err := http.ReadResponse(bufio.NewReader(order[1]), nil)
				if err != nil {
					t.Fatal(err)
				}
				if runs := p.backend.runsOf("once"); runs != 1 {
					t.Errorf("the request ran %d times; the second client got %d", runs, resp.StatusCode)
				}
			})
		}
	}
}
