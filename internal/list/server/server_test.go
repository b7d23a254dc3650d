package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"indigotack/internal/lab/link"
	"indigotack/internal/list"
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
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

func put(t *testing.T, url, name string, more string) (int, string) {
	t.Helper()
	return call(t, "PUT", url+"/registry/instances/"+name, fmt.Sprintf(`{"entry":{"name":%q,"address":"127.0.0.1:1","status":"ready","weight":1}%s}`, name, more))
}

func read(t *testing.T, url, query string) list.Answer {
	t.Helper()
	status, body := call(t, "GET", url+"/registry/instances"+query, "")
	var a list.Answer
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
	told := make(chan list.Answer, 1)
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
	if a.Epoch != begun.Epoch || len(a.Endpoints) != 3 || a.Endpoints[1].Status != list.Draining || a.Endpoints[2].Status != list.Gone {
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
	if len(a.Endpoints) != 1 || a.Endpoints[0].Name != "b" || a.Endpoints[0].Status != list.Gone {
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
		{"PUT", "/registry/instances/s", strings.Repeat("x", maxBody+1), 413}, {"POST", "/registry/renew", "{}", 400},
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
	go http.Get(url + fmt.Sprintf("/registry/instances?from=%d&hold_ms=60000", ahead)) // ends with the replica
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
	defer raw.Close()
	io.WriteString(raw, "\x00\x01 nonsense\r\n\r\n")
	raw.SetReadDeadline(time.Now().Add(enough))
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

// TestDamagedFolder: a log that was cut short or written over anywhere gives a
// list that was, or a clear error; never a panic, and never another list.
func TestDamagedFolder(t *testing.T) {
	folder := t.TempDir()
	url, stop := serve(t, folder, nil)
	for i := range 20 {
		put(t, url, fmt.Sprint("s", i), "")
	}
	want := read(t, url, "")
	stop()
	path := filepath.Join(folder, "log.db")
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	chance := rand.New(rand.NewPCG(1, 2))
	refused, served := 0, 0
	for range 60 {
		spoilt := slices.Clone(whole)
		at := chance.IntN(len(spoilt))
		if chance.IntN(2) == 0 {
			spoilt = spoilt[:at]
		} else {
			for i := at; i < min(len(spoilt), at+1+chance.IntN(8192)); i++ {
				spoilt[i] = byte(chance.Uint32())
			}
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "log.db"), spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		switch a, err := tryFolder(t, dir); {
		case err != nil:
			refused++
		case a.Epoch == want.Epoch && (a.Index < want.Index || a.Index == want.Index && reflect.DeepEqual(a, want)):
			served++
		default:
			t.Errorf("damaged at %d of %d it has %+v", at, len(whole), a)
		}
	}
	if refused == 0 || served == 0 {
		t.Errorf("%d were refused, %d served: the damage is of one kind only", refused, served)
	}
}

// tryFolder runs a replica on a folder until it has a list or ends by itself.
func tryFolder(t *testing.T, folder string) (a list.Answer, err error) {
	address, free, err := link.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer free()
	c := Default()
	c.Folder, c.Listen, c.Election = folder, address, 50*time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, c, slog.New(slog.DiscardHandler)) }()
	for until := time.Now().Add(enough); time.Now().Before(until); {
		select {
		case err := <-ended:
			return a, err
		case <-time.After(5 * time.Millisecond):
		}
		if status, body := call(t, "GET", "http://"+address+"/registry/instances?current=1", ""); status == 200 {
			err := json.Unmarshal([]byte(body), &a)
			cancel()
			<-ended
			return a, err
		}
	}
	t.Error("it neither serves nor ends")
	return a, nil
}

// TestGrow: one replica grows to three while it serves; the first is removed, though it leads, and the others serve on.
func TestGrow(t *testing.T) {
	at := map[string]string{}
	for _, name := range []string{"r0", "r1", "r2"} {
		address, free, err := link.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer free()
		at[name] = address
	}
	first, stop := serve(t, t.TempDir(), func(c *Config) { c.Raft = at["r0"] })
	defer stop()
	put(t, first, "a", "")
	urls := []string{first}
	for _, name := range []string{"r1", "r2"} {
		url, stop := begin(t, t.TempDir(), func(c *Config) {
			c.Name, c.Raft = name, at[name]
			c.Replicas = []Replica{{"r0", at["r0"], strings.TrimPrefix(first, "http://")}, {name, at[name], c.Listen}}
		})
		defer stop()
		urls = append(urls, url)
		body := fmt.Sprintf(`{"raft":%q,"http":%q}`, at[name], strings.TrimPrefix(url, "http://"))
		for until := time.Now().Add(enough); ; {
			status, answer := call(t, "PUT", first+"/registry/members/"+name, body)
			if status == 200 && strings.Contains(answer, `"votes":true`) {
				break
			}
			if time.Now().After(until) {
				t.Fatalf("%s gets no vote: %d %s", name, status, answer)
			}
		}
	}
	for until := time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) {
		if status, body := call(t, "DELETE", urls[1]+"/registry/members/r0", ""); status == 200 {
			break
		} else if time.Now().After(until) {
			t.Fatalf("r0 is not removed: %d %s", status, body)
		}
	}
	if status, body := call(t, "PUT", urls[2]+"/registry/members/r9", "{}"); status != 400 {
		t.Errorf("one that nobody knows is added: %d %s", status, body)
	}
	for until := time.Now().Add(enough); ; {
		status, body := put(t, urls[2], "b", "")
		if status == 200 {
			break
		} else if time.Now().After(until) {
			t.Fatal(status, body)
		}
	}
	if a := read(t, urls[1], "?current=1"); len(a.Endpoints) != 2 {
		t.Errorf("without r0 there is %+v", a)
	}
	if status, body := call(t, "GET", urls[1]+"/registry/members", ""); status != 200 || strings.Contains(body, "r0") || strings.Count(body, `"votes":true`) != 2 {
		t.Errorf("the members are %s", body)
	}
}

// TestLateFacts: raft's own facts that come once the store is closed end their goroutine, as raft would crash at an error.
func TestLateFacts(t *testing.T) {
	stop, ended := make(chan struct{}), make(chan bool)
	close(stop)
	go func() {
		defer close(ended)
		patient{failing{}, slog.New(slog.DiscardHandler), stop}.SetUint64(nil, 1)
		t.Error("raft is told of an error")
	}()
	<-ended
}

// failing is a store that takes nothing.
type failing struct{ raft.StableStore }

func (failing) SetUint64([]byte, uint64) error { return errors.New("closed") }
