package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

const (
	keptDescriptors = 256
	keptCrowdSize   = 300
	keptReconnect   = 300 * time.Millisecond // after the end of a connection that is only kept
	keptTime        = 3 * time.Second
	// holdTime and holdPeriod are how long, and how often, a process is held up.
	holdTime   = 100 * time.Millisecond
	holdPeriod = 250 * time.Millisecond
)

// keepConnections runs clients that only keep their connections, half of them after one request, and connect
// again when the proxy closes them, until stop is closed.
func keepConnections(address string, size int, stop <-chan struct{}) (ended *sync.WaitGroup) {
	ended = &sync.WaitGroup{}
	for i := range size {
		ended.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(keptReconnect):
				}
				if c, err := net.Dial("tcp", address); err == nil {
					keepConnection(c, i%2 == 0, stop)
				}
			}
		})
	}
	return ended
}

// keepConnection keeps a connection until its end, or until stop is closed.
func keepConnection(c net.Conn, silent bool, stop <-chan struct{}) {
	defer besteffort.Close(c)
	if !silent {
		send(c, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		besteffort.Drained(io.Copy(io.Discard, bufio.NewReader(c)))
	}()
	select {
	case <-ended:
	case <-stop:
		besteffort.Close(c)
		<-ended
	}
}

// holdUp stops the process for holdTime in each holdPeriod, until the returned function is called.
func (c *limitedProcess) holdUp() (end func()) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(holdPeriod - holdTime):
			}
			besteffort.Signal(c.cmd.Process.Signal(syscall.SIGSTOP))
			time.Sleep(holdTime)
			besteffort.Signal(c.cmd.Process.Signal(syscall.SIGCONT))
		}
	}()
	return sync.OnceFunc(func() { close(stop); <-stopped })
}

// TestKeptConnectionWithARequestIsNotEvicted guards against closes over an unread request (report 9f9607).
func TestKeptConnectionWithARequestIsNotEvicted(t *testing.T) {
	for _, load := range []clientLoad{
		{clients: 60, pause: time.Millisecond, query: "?delay_ms=1"},
		{clients: 20, pause: 90 * time.Millisecond, query: "?delay_ms=5"},
	} {
		for _, held := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d clients, held up %v", load.clients, held), func(t *testing.T) {
				p := newLimitedProxy(t, 2*leastMemoryMB, keptDescriptors)
				p.config["limits"].(map[string]any)["cores"] = 0.3
				process := p.start()
				endHold := func() {}
				if held {
					endHold = process.holdUp()
				}
				stop := make(chan struct{})
				crowd := keepConnections(p.address, keptCrowdSize, stop)
				load.deadline, load.classes = ordinaryTime, []string{"read", "write"}
				results := load.run(p.address, stop)
				time.Sleep(keptTime)
				endHold()
				close(stop)
				checkFinalAnswers(t, results())
				crowd.Wait()
			})
		}
	}
}
