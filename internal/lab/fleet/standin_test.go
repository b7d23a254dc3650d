package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/discovery"
)

// TestMain runs the stand-in node in a process that a test has started as a node.
func TestMain(m *testing.M) {
	if mode := os.Getenv("STANDIN"); mode != "" {
		standIn(mode)
		return
	}
	os.Exit(m.Run())
}

// standIn runs a simple node that follows all rules while no fault is injected, except for the rule that its
// mode breaks. The node uses the list of its configuration and ignores later changes.
func standIn(mode string) {
	var config struct {
		Listen, Control, Discovery string
		Known                      discovery.Answer
	}
	raw, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err == nil {
		err = json.Unmarshal(raw, &config)
	}
	if err != nil {
		panic(err)
	}
	n := &standInNode{mode: mode, endpoints: config.Known.Endpoints}
	if mode == "sends-all-to-one-backend" {
		n.endpoints = slices.DeleteFunc(n.endpoints, func(e discovery.Entry) bool { return e.Name != "s1" })
	}
	go func() { // watches the list, as nodes do, and ignores the changes
		for index := config.Known.Index; ; {
			resp, err := http.Get(
				"http://" + config.Discovery + "/registry/instances?hold_ms=500&from=" + strconv.FormatUint(index, 10),
			)
			if err != nil {
				continue
			}
			var a discovery.Answer
			_ = json.NewDecoder(resp.Body).Decode(&a)
			besteffort.Close(resp.Body)
			index = max(index, a.Index)
		}
	}()
	okHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {})
	go func() { _ = http.ListenAndServe(config.Control, okHandler) }()
	mux := http.NewServeMux()
	mux.Handle("/health/ready", okHandler)
	mux.HandleFunc("/", n.serve)
	go func() { _ = http.ListenAndServe(config.Listen, mux) }()
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM)
	<-terms
	if mode == "exits-with-error" {
		os.Exit(3)
	}
	if mode == "ignores-sigterm" {
		select {}
	}
}

// standInNode is the request handler of the stand-in node.
type standInNode struct {
	mode      string
	endpoints []discovery.Entry
	count     atomic.Int64
	leaked    [][]byte // memory that is never freed, in one mode
	mu        sync.Mutex
}

// serve forwards a request to a random backend. In some modes it does so wrongly, for every tenth or each
// request.
func (n *standInNode) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	nth := n.count.Add(1)
	if n.mode == "leaks-memory" {
		n.mu.Lock()
		n.leaked = append(n.leaked, bytes.Repeat([]byte{1}, 4<<20))
		n.mu.Unlock()
	}
	switch {
	case n.mode == "responds-without-backend" && nth%10 == 0:
		besteffort.Output(io.WriteString(w, r.Header.Get("X-Request-Id")+" s0"))
		return
	case n.mode == "responds-to-other-request" && nth%10 == 0:
		besteffort.Output(io.WriteString(w, "another s0"))
		return
	case n.mode == "drops-response" && nth%10 == 0:
		n.send(r, body) // the request is carried out, but the client gets no response
		panic(http.ErrAbortHandler)
	case n.mode == "changes-request-id" && nth%10 == 0:
		r.Header.Set("X-Request-Id", "nobody's")
	case n.mode == "repeats-after-response":
		n.send(r, body) // the response is ignored
	case n.mode == "duplicates-concurrently":
		done := make(chan bool)
		go func() {
			n.send(r, body)
			close(done)
		}()
		defer func() { <-done }()
	}
	status, answer := n.send(r, body)
	w.WriteHeader(status)
	besteffort.Output(w.Write(answer))
}

// send sends a request to a random backend and returns the status and the body of the response.
func (n *standInNode) send(r *http.Request, body []byte) (int, []byte) {
	deadline, _ := time.ParseDuration(r.Header.Get("X-Deadline") + "s")
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(
		ctx,
		r.Method,
		"http://"+n.endpoints[rand.IntN(len(n.endpoints))].Address+r.URL.Path,
		bytes.NewReader(body),
	)
	req.Header = r.Header.Clone()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer besteffort.Close(resp.Body)
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	return resp.StatusCode, answer
}
