package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/lab/link"
)

// steady is an election's time, half of which a leader among several may stand still on a loaded machine without losing its place.
var steady = Default().Election

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
	first, stop := serve(t, t.TempDir(), func(c *Config) { c.Raft, c.Election = at["r0"], steady })
	defer stop()
	put(t, first, "a", "")
	urls := []string{first}
	for _, name := range []string{"r1", "r2"} {
		url, stop := begin(t, t.TempDir(), func(c *Config) {
			c.Name, c.Raft, c.Election = name, at[name], steady
			c.Replicas = []Replica{{"r0", at["r0"], strings.TrimPrefix(first, "http://")}, {name, at[name], c.Listen}}
		})
		defer stop()
		urls = append(urls, url)
		body := fmt.Sprintf(`{"raft":%q,"http":%q}`, at[name], strings.TrimPrefix(url, "http://"))
		for until := time.Now().Add(enough); !strings.Contains(sure(t, "PUT", first+"/registry/members/"+name, body), `"votes":true`); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%s gets no vote", name)
			}
		}
	}
	for tried, until := false, time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) {
		status, body := call(t, "DELETE", urls[1]+"/registry/members/r0", "")
		if status == 200 || tried && status == 404 { // a try of unknown end was carried out
			break
		} else if tried = true; time.Now().After(until) {
			t.Fatalf("r0 is not removed: %d %s", status, body)
		}
	}
	sure(t, "PUT", urls[2]+"/registry/instances/b", `{"entry":{"name":"b","address":"127.0.0.1:1","status":"ready","weight":1}}`)
	if a := current(t, urls[1]); len(a.Endpoints) != 2 {
		t.Errorf("without r0 there is %+v", a)
	}
	if body := sure(t, "GET", urls[1]+"/registry/members", ""); strings.Contains(body, "r0") || strings.Count(body, `"votes":true`) != 2 {
		t.Errorf("the members are %s", body)
	}
	status, body := 503, ""
	for until := time.Now().Add(enough); status == 503 && time.Now().Before(until); time.Sleep(5 * time.Millisecond) { // nobody leads
		status, body = call(t, "PUT", urls[2]+"/registry/members/r9", "{}")
	}
	if status != 400 {
		t.Errorf("one that nobody knows is added: %d %s", status, body)
	}
}
