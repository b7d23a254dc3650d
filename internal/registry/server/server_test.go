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

// serve runs a single replica on a folder until stop is called. It returns once the replica is ready.
func serve(t *testing.T, folder string, change func(*Config)) (url string, stop func()) {
	t.Helper()
	url, stop = startReplica(t, folder, change)
	for until := time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) {
		if status, _ := call(t, "GET", url+"/readyz", ""); status == 200 {
			return url, stop
		} else if time.Now().After(until) {
			t.Fatalf("not ready: %d", status)
		}
	}
}

// startReplica starts a replica on a folder. It does not wait until the replica is ready.
func startReplica(t *testing.T, folder string, change func(*Config)) (url string, stop func()) {
	t.Helper()
	address, free, err := link.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	c := Default()
	c.Folder, c.Listen, c.ElectionTimeout = folder, address, 50*time.Millisecond
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

// call makes an HTTP call. It returns status 0 and the error if there is no response.
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

// register registers an endpoint; more is JSON to be added to the request's body.
func register(t *testing.T, url, name string, more string) (int, string) {
	t.Helper()
	return call(t, "PUT", url+"/registry/instances/"+name, fmt.Sprintf(`{"entry":{"name":%q,"address":"127.0.0.1:1","status":"ready","weight":1}%s}`, name, more))
}

// readList reads the list and fails the test if the status is not 200.
func readList(t *testing.T, url, query string) registry.ListResponse {
	t.Helper()
	status, body := call(t, "GET", url+"/registry/instances"+query, "")
	var a registry.ListResponse
	if err := json.Unmarshal([]byte(body), &a); status != 200 || err != nil {
		t.Fatalf("%s: %d %s", query, status, body)
	}
	return a
}

// TestEntryLifecycleIsWatchedAndSurvivesRestart registers, drains and removes an entry over the HTTP API, with
// watches, conditions, repeats of writes and a restart on the same folder.
func TestEntryLifecycleIsWatchedAndSurvivesRestart(t *testing.T) {
	folder := t.TempDir()
	url, stop := serve(t, folder, nil)
	initial := readList(t, url, "")
	watched := make(chan registry.ListResponse, 1)
	go func() { watched <- readList(t, url, fmt.Sprintf("?from=%d&hold_ms=60000", initial.Index)) }()
	if status, body := register(t, url, "s", `,"if":0,"id":"w1"`); status != 200 {
		t.Fatal(status, body)
	}
	if a := <-watched; a.Snapshot || len(a.Endpoints) != 1 || a.Endpoints[0].Name != "s" || a.Index != initial.Index+1 {
		t.Errorf("the watcher gets %+v", a)
	}
	if status, _ := register(t, url, "s", `,"if":0,"id":"w1"`); status != 200 {
		t.Errorf("a repeat: %d", status)
	}
	if status, body := register(t, url, "s", `,"if":0,"id":"w2"`); status != 409 || !strings.Contains(body, fmt.Sprint(initial.Index+1)) {
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
	a := readList(t, url, fmt.Sprintf("?from=%d&epoch=%s", initial.Index, initial.Epoch))
	if a.Epoch != initial.Epoch || len(a.Endpoints) != 3 || a.Endpoints[1].Status != registry.Draining || a.Endpoints[2].Status != registry.Removed {
		t.Errorf("after a restart the changes are %+v", a)
	}
	if a := readList(t, url, "?from=1&epoch=another"); !a.Snapshot || len(a.Endpoints) != 0 {
		t.Errorf("a reader of another epoch gets %+v", a)
	}
	if a := readList(t, url, "?current=1"); !a.Snapshot {
		t.Errorf("a current read gets %+v", a)
	}
}

// TestUnrenewedEntryExpires checks that an entry that is not renewed expires, and that a renewed entry stays.
func TestUnrenewedEntryExpires(t *testing.T) {
	url, stop := serve(t, t.TempDir(), nil)
	defer stop()
	for _, name := range []string{"a", "b"} {
		if status, body := register(t, url, name, `,"ttl_ms":1000`); status != 200 {
			t.Fatal(status, body)
		}
	}
	from := readList(t, url, "").Index
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
	a := readList(t, url, fmt.Sprintf("?from=%d&hold_ms=30000", from))
	close(stopRenewing)
	<-renewed
	if len(a.Endpoints) != 1 || a.Endpoints[0].Name != "b" || a.Endpoints[0].Status != registry.Removed {
		t.Errorf("the watcher of the expiry gets %+v", a)
	}
	if status, body := call(t, "POST", url+"/registry/renew", `{"names":["a","b"]}`); status != 200 || !strings.Contains(body, `"unknown":["b"]`) {
		t.Errorf("renewing both: %d %s", status, body)
	}
}

// TestInvalidCallsAreRejected checks that invalid calls, calls beyond a limit and garbage are rejected with a
// status and do not affect other calls.
func TestInvalidCallsAreRejected(t *testing.T) {
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
	newerVersion := readList(t, url, "").Index + 1000
	if a := readList(t, url, fmt.Sprintf("?from=%d", newerVersion)); a.Index < newerVersion || len(a.Endpoints) > 0 {
		t.Errorf("a reader without an epoch whose version is ahead gets %+v", a)
	}
	go func() { _, _ = http.Get(url + fmt.Sprintf("/registry/instances?from=%d&hold_ms=60000", newerVersion)) }() // ends with the replica
	for until := time.Now().Add(enough); ; {
		if _, body := call(t, "GET", url+"/metrics", ""); strings.Contains(body, "indigolist_watchers 1\n") {
			break
		} else if time.Now().After(until) {
			t.Fatal("the watcher is not counted")
		}
	}
	if status, _ := call(t, "GET", url+fmt.Sprintf("/registry/instances?from=%d&hold_ms=1", newerVersion), ""); status != 429 {
		t.Errorf("a watcher too many: %d", status)
	}
	for until, status := time.Now().Add(enough), 0; status != 429; {
		if status, _ = register(t, url, "s", ""); time.Now().After(until) {
			t.Fatal("the writes of a client are not limited")
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
		t.Errorf("garbage gets %q, %v", b, err)
	}
}

// TestBackupIsRestoredOnce checks that a backup is restored under a new epoch and a version above every
// earlier version, that a repeat with the same id does not restore again, and that a damaged backup and a
// restore over a list of another epoch are rejected.
func TestBackupIsRestoredOnce(t *testing.T) {
	url, stop := serve(t, t.TempDir(), nil)
	defer stop()
	register(t, url, "a", "")
	_, backup := call(t, "GET", url+"/registry/backup", "")
	register(t, url, "b", "")
	before := readList(t, url, "")
	for _, c := range []struct {
		query, body string
		want        int
	}{{"", backup, 400}, {"?epoch=another", backup, 409}, {"?epoch=" + before.Epoch, backup[:len(backup)-1], 400}, {"?epoch=" + before.Epoch, strings.Replace(backup, "a", "b", 1), 400},
		{"?epoch=" + before.Epoch + "&id=x", backup, 200}, {"?epoch=" + before.Epoch + "&id=x", backup, 200}} {
		if status, body := call(t, "POST", url+"/registry/restore"+c.query, c.body); status != c.want {
			t.Errorf("restore%s: %d %s, want %d", c.query, status, body, c.want)
		}
	}
	a := readList(t, url, fmt.Sprintf("?from=%d&epoch=%s", before.Index, before.Epoch))
	if !a.Snapshot || len(a.Endpoints) != 1 || a.Epoch == before.Epoch || a.Index <= before.Index {
		t.Errorf("after a restore a watcher gets %+v", a)
	}
	if b := readList(t, url, "?current=1"); b.Index != a.Index {
		t.Errorf("a repeat restored again: %d after %d", b.Index, a.Index)
	}
}
