package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// crowdBackend is a backend with several addresses that answers as the query of a request says: after delay_ms
// milliseconds, with size bytes, in chunks if chunked is set, a piece of 4 kB every piece_ms milliseconds. It
// reads a body at read_rate bytes a second. It counts how often each request ran.
type crowdBackend struct {
	addresses []string

	mu   sync.Mutex
	runs map[string]int // by request ID
}

const crowdPiece = 4 << 10 // bytes

func newCrowdBackend(t *testing.T) *crowdBackend {
	t.Helper()
	b := &crowdBackend{runs: map[string]int{}}
	for range 8 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { besteffort.Close(ln) })
		b.addresses = append(b.addresses, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go b.serve(c)
			}
		}()
	}
	return b
}

func (b *crowdBackend) serve(c net.Conn) {
	defer besteffort.Close(c)
	besteffort.SocketOption(c.SetDeadline(time.Now().Add(2 * hangTimeout)))
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil || !readAtRate(req) {
			return
		}
		b.mu.Lock()
		b.runs[req.Header.Get("X-Request-Id")]++
		b.mu.Unlock()
		time.Sleep(time.Duration(queryNumber(req, "delay_ms")) * time.Millisecond)
		if !respond(c, req) {
			return
		}
	}
}

// readAtRate reads the body of a request, and reports whether it is complete.
func readAtRate(req *http.Request) bool {
	rate := queryNumber(req, "read_rate")
	if rate == 0 {
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	for buf := make([]byte, crowdPiece); ; {
		n, err := req.Body.Read(buf)
		time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		if err != nil {
			return err == io.EOF
		}
	}
}

// respond writes the response that the query asks for.
func respond(c net.Conn, req *http.Request) bool {
	size := max(2, queryNumber(req, "size"))
	chunked := req.URL.Query().Has("chunked")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
	if chunked {
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for piece := make([]byte, crowdPiece); size > 0; {
		part := piece[:min(size, len(piece))]
		size -= len(part)
		var err error
		if chunked {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
		} else {
			_, err = c.Write(part)
		}
		if err != nil {
			return false
		}
		time.Sleep(time.Duration(queryNumber(req, "piece_ms")) * time.Millisecond)
	}
	if chunked {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	return true
}

// queryNumber returns a number of the query; 0 if there is none.
func queryNumber(req *http.Request, name string) int {
	n, _ := strconv.Atoi(req.URL.Query().Get(name))
	return n
}

// runsOf returns how often a request ran.
func (b *crowdBackend) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}
