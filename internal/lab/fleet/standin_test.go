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

// TestMain runs the stand-in node where a test has started it as a process.
func TestMain(m *testing.M) {
	if mode := os.Getenv("STANDIN"); mode != "" {
		standIn(mode)
		return
	}
	os.Exit(m.Run())
}

// standIn is a simple node that follows all rules as long as nothing fails, apart from the rule that its mode
// breaks. It uses the list of its configuration and ignores later changes.
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
	if mode == "push" {
		n.endpoints = slices.DeleteFunc(n.endpoints, func(e discovery.Entry) bool { return e.Name != "s1" })
	}
	go func() { // requests changes and ignores them
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
	ok := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {})
	go func() { _ = http.ListenAndServe(config.Control, ok) }()
	mux := http.NewServeMux()
	mux.Handle("/health/ready", ok)
	mux.HandleFunc("/", n.serve)
	go func() { _ = http.ListenAndServe(config.Listen, mux) }()
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM)
	<-terms
	if mode == "exit" {
		os.Exit(3)
	}
	if mode == "stay" {
		select {}
	}
}

type standInNode struct {
	mode      string
	endpoints []discovery.Entry
	count     atomic.Int64
	leaked    [][]byte
	mu        sync.Mutex
}

// serve forwards a request to a random backend, apart from the fault of the mode.
func (n *standInNode) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	nth := n.count.Add(1)
	if n.mode == "grow" {
		n.mu.Lock()
		n.leaked = append(n.leaked, bytes.Repeat([]byte{1}, 4<<20))
		n.mu.Unlock()
	}
	switch {
	case n.mode == "invent" && nth%10 == 0:
		besteffort.Output(io.WriteString(w, r.Header.Get("X-Request-Id")+" s0"))
		return
	case n.mode == "swap" && nth%10 == 0:
		besteffort.Output(io.WriteString(w, "another s0"))
		return
	case n.mode == "lose" && nth%10 == 0:
		n.send(r, body) // the request is carried out, but the client gets no response
		panic(http.ErrAbortHandler)
	case n.mode == "stray" && nth%10 == 0:
		r.Header.Set("X-Request-Id", "nobody's")
	case n.mode == "repeat":
		n.send(r, body) // the response is ignored
	case n.mode == "both":
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

func (n *standInNode) send(r *http.Request, body []byte) (int, []byte) {
	wait, _ := time.ParseDuration(r.Header.Get("X-Deadline") + "s")
	ctx, cancel := context.WithTimeout(context.Background(), wait)
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
