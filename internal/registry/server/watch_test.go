package server

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// TestFollowerGetsChangesOfRecordsOverRestart checks that a follower gets the records under its prefix and
// then every change under the prefix, including a removal, also after a restart of the service. It gets no
// other records.
func TestFollowerGetsChangesOfRecordsOverRestart(t *testing.T) {
	folder := t.TempDir()
	url, stop := serve(t, folder, nil)
	record := func(key, value string) {
		t.Helper()
		if status, body := call(t, "PUT", url+"/registry/records/"+key, `{"value":`+value+`}`); status != 200 {
			t.Fatal(key, status, body)
		}
	}
	record("a%2F1", `"one"`)
	k, err := client.New(client.Config{Addresses: []string{strings.TrimPrefix(url, "http://")}})
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seen := make(chan string, 100)
	go k.FollowRecords(ctx, "a/", func(r client.Records) {
		text := ""
		for _, found := range r.All {
			text += fmt.Sprintf("%s=%s ", found.Key, found.Value)
		}
		seen <- text
	})
	expect := func(want string) {
		t.Helper()
		if got := <-seen; got != want {
			t.Errorf("the follower gets %q, want %q", got, want)
		}
	}
	expect(`a/1="one" `)
	record("b%2F1", `1`) // outside the prefix
	record("a%2F2", `2`)
	expect(`a/1="one" a/2=2 `)
	if status, body := call(t, "PUT", url+"/registry/records/a%2F1", `{}`); status != 200 {
		t.Fatal(status, body)
	}
	expect(`a/2=2 `)
	stop()
	_, stop = startReplica(t, folder, func(c *Config) { c.Listen = strings.TrimPrefix(url, "http://") })
	defer stop()
	for status := 0; status != 200; { // the client's own time limit catches a hang
		status, _ = call(t, "GET", url+"/readyz", "")
	}
	record("a%2F2", `3`)
	expect(`a/2=3 `)
	for _, odd := range []string{"?from=x", "?had=-1", "?hold_ms=x"} {
		if status, _ := call(t, "GET", url+"/registry/watch/records"+odd, ""); status != 400 {
			t.Errorf("%s: %d", odd, status)
		}
	}
	var a registry.RecordsResponse
	_, body := call(t, "GET", url+"/registry/watch/records?prefix=a/", "")
	if err := json.Unmarshal([]byte(body), &a); err != nil || len(a.Records) != 1 {
		t.Fatalf("%v %s", err, body)
	}
	if status, _ := call(t, "GET", fmt.Sprintf("%s/registry/watch/records?prefix=a/&epoch=%s&from=%d&had=1", url, a.Epoch, a.Index+5), ""); status != 503 {
		t.Errorf("a reader whose version is ahead: %d", status)
	}
}
