package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/registry"
)

const enough = 30 * time.Second // only a hang takes so long

// serve runs a replica that is alone, on a folder, until stop is called.
func serve(t *testing.T, folder string, change func(*Config)) (url string, stop func()) {
	t.Helper()
	url, stop = begin(t, folder, change)
	for until := time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) {
		if status, _ := call(t, "GET", url+"/readyz", ""); status == 200 {
			return url, stop
		} else if time.Now().After(until) {
			t.Fatalf("not ready: %d", status)
		}
	}
}

// begin starts a replica.
func begin(t *testing.T, folder string, change func(*Config)) (url string, stop func()) {
	t.Helper()
	address, free, err := link.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	c := Default()
	c.Folder, c.Listen, c.Election = folder, address, 50*time.Millisecond
	if change != nil {
		change(&c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, c, slog.New(slog.DiscardHandler)) }()
	stop = func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		free()
	}
	return "http://" + address, stop
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Timeout: enough}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer besteffort.Close(resp.Body)
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

func put(t *testing.T, url, name string, more string) (int, string) {
	t.Helper()
	return call(t, "PUT", url+"/registry/instances/"+name, fmt.Sprintf(`{"entry":{"name":%q,"address":"127.0.0.1:1","status":"ready","weight":1}%s}`, name, more))
}

func read(t *testing.T, url, query string) registry.ListResponse {
	t.Helper()
	status, body := call(t, "GET", url+"/registry/instances"+query, "")
	var a registry.ListResponse
	if err := json.Unmarshal([]byte(body), &a); status != 200 || err != nil {
		t.Fatalf("%s: %d %s", query, status, body)
	}
	return a
}

// TestLifeOfAnEntry, in the platform's form, over a restart on the same folder.
func TestLifeOfAnEntry(t *testing.T) {
	folder := t.TempDir()
	url, stop := serve(t, folder, nil)
	begun := read(t, url, "")
	told := make(chan registry.ListResponse, 1)
	go func() { told <- read(t, url, fmt.Sprintf("?from=%d&hold_ms=60000", begun.Index)) }()
	if status, body := put(t, url, "s", `,"if":0,"id":"w1"`); status != 200 {
		t.Fatal(status, body)
	}
	if a := <-told; a.Snapshot || len(a.Endpoints) != 1 || a.Endpoints[0].Name != "s" || a.Index != begun.Index+1 {
		t.Errorf("the watcher is told %+v", a)
	}
	if status, _ := put(t, url, "s", `,"if":0,"id":"w1"`); status != 200 {
		t.Errorf("a repeat: %d", status)
	}
	if status, body := put(t, url, "s", `,"if":0,"id":"w2"`); status != 409 || !strings.Contains(body, fmt.Sprint(begun.Index+1)) {
		t.Errorf("a condition that is not met: %d %s", status, body)
	}
	if status, _ := call(t, "POST", url+"/registry/instances/s/drain", ""); status != 200 {
		t.Errorf("drain: %d", status)
	}
	if status, _ := call(t, "DELETE", url+"/registry/instances/s", ""); status != 200 {
		t.Errorf("remove: %d", status)
	}
	if status, _ := call(t, "DELETE", url+"/registry/instances/s", ""); status != 404 {
		t.Errorf("remove again: %d", status)
	}
	stop()
	url, stop = serve(t, folder, nil)
	defer stop()
	a := read(t, url, fmt.Sprintf("?from=%d&epoch=%s", begun.Index, begun.Epoch))
	if a.Epoch != begun.Epoch || len(a.Endpoints) != 3 || a.Endpoints[1].Status != registry.Draining || a.Endpoints[2].Status != registry.Removed {
		t.Errorf("after a restart the changes are %+v", a)
	}
	if a := read(t, url, "?from=1&epoch=another"); !a.Snapshot || len(a.Endpoints) != 0 {
		t.Errorf("a reader of another epoch gets %+v", a)
	}
	if a := read(t, url, "?current=1"); !a.Snapshot {
		t.Errorf("a current read gets %+v", a)
	}
}

// TestExpiry: one that is not renewed goes; the one that is renewed stays.
func TestExpiry(t *testing.T) {
	url, stop := serve(t, t.TempDir(), nil)
	defer stop()
	for _, name := range []string{"a", "b"} {
		if status, body := put(t, url, name, `,"ttl_ms":1000`); status != 200 {
			t.Fatal(status, body)
		}
	}
	from := read(t, url, "").Index
	renewed, stopRenewing := make(chan bool), make(chan bool)
	go func() {
		defer close(renewed)
		for {
			call(t, "POST", url+"/registry/renew", `{"names":["a"]}`)
			select {
			case <-stopRenewing:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	a := read(t, url, fmt.Sprintf("?from=%d&hold_ms=30000", from))
	close(stopRenewing)
	<-renewed
	if len(a.Endpoints) != 1 || a.Endpoints[0].Name != "b" || a.Endpoints[0].Status != registry.Removed {
		t.Errorf("what goes is %+v", a)
	}
	if status, body := call(t, "POST", url+"/registry/renew", `{"names":["a","b"]}`); status != 200 || !strings.Contains(body, `"unknown":["b"]`) {
		t.Errorf("renewing both: %d %s", status, body)
	}
}

// TestOddCalls get their answer or a close, and harm nobody else.
func TestOddCalls(t *testing.T) {
	url, stop := serve(t, t.TempDir(), func(c *Config) { c.MaxWrites, c.MaxWatchers = 20, 1 })
	defer stop()
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/registry/instances?from=x", "", 400}, {"GET", "/registry/instances?from=-1", "", 400}, {"GET", "/registry/instances?hold_ms=1e9", "", 400},
		{"GET", "/registry/instances?from=99999999999999999999999", "", 400}, {"GET", "/nothing", "", 404}, {"PATCH", "/registry/instances/s", "", 405},
		{"PUT", "/registry/instances/s", "", 400}, {"PUT", "/registry/instances/s", "{", 400}, {"PUT", "/registry/instances/s", `{"entry":{"name":"t"}}`, 400},
		{"PUT", "/registry/instances/s", `{"entry":{"name":"s","address":"a:1","status":"ready"},"ttl_ms":-1}`, 400},
		{"PUT", "/registry/instances/s", strings.Repeat("x", maxBodyBytes+1), 413}, {"POST", "/registry/renew", "{}", 400},
		{"DELETE", "/registry/instances/" + strings.Repeat("x", 300), "", 400}, {"GET", "/healthz", "", 200}, {"GET", "/metrics", "", 200},
		{"GET", "/registry/members", "", 200},
	} {
		if status, body := call(t, c.method, url+c.path, c.body); status != c.want {
			t.Errorf("%s %s: %d %s, want %d", c.method, c.path, status, body, c.want)
		}
	}
	ahead := read(t, url, "").Index + 1000
	if a := read(t, url, fmt.Sprintf("?from=%d", ahead)); a.Index < ahead || len(a.Endpoints) > 0 {
		t.Errorf("a reader that is ahead, without an epoch, gets %+v", a)
	}
	go func() { _, _ = http.Get(url + fmt.Sprintf("/registry/instances?from=%d&hold_ms=60000", ahead)) }() // ends with the replica
	for until := time.Now().Add(enough); ; {
		if _, body := call(t, "GET", url+"/metrics", ""); strings.Contains(body, "indigolist_watchers 1\n") {
			break
		} else if time.Now().After(until) {
			t.Fatal("the watcher is not counted")
		}
	}
	if status, _ := call(t, "GET", url+fmt.Sprintf("/registry/instances?from=%d&hold_ms=1", ahead), ""); status != 429 {
		t.Errorf("a watcher too many: %d", status)
	}
	for until, status := time.Now().Add(enough), 0; status != 429; {
		if status, _ = put(t, url, "s", ""); time.Now().After(until) {
			t.Fatal("nobody limits the writes of one client")
		}
	}
	raw, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(raw)
	besteffort.Output(io.WriteString(raw, "\x00\x01 nonsense\r\n\r\n"))
	besteffort.SocketOption(raw.SetReadDeadline(time.Now().Add(enough)))
	if b, err := io.ReadAll(raw); err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 400") {
		t.Errorf("nonsense gets %q, %v", b, err)
	}
}

// TestBackup: what is kept comes back, once, under a new epoch and past every version; a damaged or misdirected one does not.
func TestBackup(t *testing.T) {
	url, stop := serve(t, t.TempDir(), nil)
	defer stop()
	put(t, url, "a", "")
	_, kept := call(t, "GET", url+"/registry/backup", "")
	put(t, url, "b", "")
	was := read(t, url, "")
	for _, c := range []struct {
		query, body string
		want        int
	}{{"", kept, 400}, {"?epoch=another", kept, 409}, {"?epoch=" + was.Epoch, kept[:len(kept)-1], 400}, {"?epoch=" + was.Epoch, strings.Replace(kept, "a", "b", 1), 400},
		{"?epoch=" + was.Epoch + "&id=x", kept, 200}, {"?epoch=" + was.Epoch + "&id=x", kept, 200}} {
		if status, body := call(t, "POST", url+"/registry/restore"+c.query, c.body); status != c.want {
			t.Errorf("restore%s: %d %s, want %d", c.query, status, body, c.want)
		}
	}
	a := read(t, url, fmt.Sprintf("?from=%d&epoch=%s", was.Index, was.Epoch))
	if !a.Snapshot || len(a.Endpoints) != 1 || a.Epoch == was.Epoch || a.Index <= was.Index {
		t.Errorf("after a restore a watcher gets %+v", a)
	}
	if b := read(t, url, "?current=1"); b.Index != a.Index {
		t.Errorf("a repeat restored again: %d after %d", b.Index, a.Index)
	}
}
