package server

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/registry"
)

// TestFormatsOfFirstVersionsAreRead checks that commands without a checksum, and a snapshot without leases
// whose changes have consecutive versions, are read. The first versions of the program wrote such files.
func TestFormatsOfFirstVersionsAreRead(t *testing.T) {
	c, err := decode([]byte(`{"v":1,"do":"register","entry":{"name":"a","address":"a:1","status":"ready"}}`))
	if err != nil || c.Endpoint == nil || c.Endpoint.Name != "a" {
		t.Errorf("%+v, %v", c, err)
	}
	if _, err := decode([]byte(`{"v":1,"do":"later"}`)); err == nil {
		t.Error("a command of a later program is accepted")
	}
	entry := `{"name":"a","address":"a:1","zone":"","type":"","group":0,"status":"ready","weight":0,"since_ms":0}`
	s, err := registry.DecodeSnapshot([]byte(`{"v":1,"epoch":"e","version":7,"items":[{"entry":` + entry + `,"version":7,"ttl":0}],"changes":[{"version":6,"entry":` + entry +
		`},{"version":7,"entry":` + entry + `}],"writes":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	if a := s.Since(5); a.Snapshot || len(a.Endpoints) != 2 {
		t.Errorf("a reader of 5 gets %+v", a)
	}
	if a := s.Since(4); !a.Snapshot {
		t.Errorf("a reader of 4 gets %+v", a)
	}
}

// FuzzDecodeCommand checks that a decoded command can be applied without a panic.
func FuzzDecodeCommand(f *testing.F) {
	raw, err := encode(registry.Command{Op: registry.OpRemove, Name: "a"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"v":1,"do":"grant","grant":["d"]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := decode(raw); err == nil {
			registry.NewState().Apply(c)
		}
	})
}

// FuzzReadEntry checks that reading an arbitrary log entry does no harm.
func FuzzReadEntry(f *testing.F) {
	f.Add(uint64(1), []byte{0x80})
	f.Fuzz(func(t *testing.T, index uint64, v []byte) {
		defer func() { _ = recover() }() // as in rewriteLog: raft panics at malformed entries of its own
		_, _ = readEntry(binary.BigEndian.AppendUint64(nil, index), v)
	})
}

// FuzzHTTPCalls checks that no HTTP call makes a replica fail, hang or respond with status 500.
func FuzzHTTPCalls(f *testing.F) {
	c := Default()
	c.Folder, c.Listen, c.ElectionTimeout, c.MaxWrites = f.TempDir(), "127.0.0.1:0", 50*time.Millisecond, 1e9
	s := &Server{config: c, log: slog.New(slog.DiscardHandler), rates: newRates(c.MaxWrites), contact: newLeaderContact(), broken: make(chan error, 1)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	if err := s.open(); err != nil {
		f.Fatal(err)
	}
	s.tasks.Go(func() { s.listHub.run(s.ctx.Done()) })
	s.tasks.Go(func() { s.leaseHub.run(s.ctx.Done()) })
	s.tasks.Go(s.followLeader)
	s.http = &http.Server{}
	f.Cleanup(func() { _ = s.shutdown() })
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		if _, epoch := s.listHub.current(); epoch != "" {
			break
		} else if time.Now().After(until) {
			f.Fatal("the list gets no epoch")
		}
	}
	h := s.routes()
	for _, seed := range [][4]string{{"GET", "/registry/instances", "from=1&hold_ms=1", ""}, {"GET", "/registry/instances", "part=0-4096&from=1&hold_ms=1", ""}, {"PUT", "/registry/instances/a", "", `{"entry":{"name":"a","address":"a:1","status":"ready"},"ttl_ms":1000,"if":0,"id":"x","fence":{"duty":"d","fence":1}}`},
		{"POST", "/registry/renew", "", `{"names":["a"]}`}, {"PUT", "/registry/sessions/x", "", `{"process":"p","ttl_ms":1000,"word":{"note":"n"}}`},
		{"POST", "/registry/sessions/x/campaign", "", `{"duties":[{"duty":"d","priority":-1,"over":true}]}`}, {"POST", "/registry/duties/d/block", "", `{"process":"p","on":true}`},
		{"GET", "/registry/duties", "session=x&from=1&hold_ms=1", ""}, {"POST", "/registry/restore", "epoch=e&id=x", "0\n{}"}, {"DELETE", "/registry/members/r0", "", ""}, {"PUT", "/registry/members/r1", "", `{"raft":"127.0.0.1:1","http":"127.0.0.1:1"}`}} {
		f.Add(seed[0], seed[1], seed[2], seed[3])
	}
	f.Fuzz(func(t *testing.T, method, path, query, body string) {
		r, err := http.NewRequest(method, "http://x/", io.NopCloser(strings.NewReader(body)))
		if err != nil || !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "/registry/members") && method == "PUT" {
			return // adding a replica makes calls to it: see TestClusterGrowsAndRemovesItsLeader
		}
		r.URL.Path, r.URL.RawQuery, r.RemoteAddr = path, query, "127.0.0.1:1"
		ctx, cancel := context.WithTimeout(r.Context(), 20*time.Millisecond)
		defer cancel()
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r.WithContext(ctx))
		if w.Code < 200 || w.Code == 500 {
			t.Fatalf("%s %s?%s: %d %s", method, path, query, w.Code, w.Body)
		}
	})
}
