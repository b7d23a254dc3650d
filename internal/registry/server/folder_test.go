package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/registry"
)

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
func tryFolder(t *testing.T, folder string) (a registry.ListResponse, err error) {
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
			besteffort.Ended(<-ended)
			return a, err
		}
	}
	t.Error("it neither serves nor ends")
	return a, nil
}

// TestLateFacts: raft's own facts that come once the store is closed end their goroutine, as raft would crash at an error.
func TestLateFacts(t *testing.T) {
	stop, ended := make(chan struct{}), make(chan bool)
	close(stop)
	go func() {
		defer close(ended)
		_ = retryingStableStore{failing{}, slog.New(slog.DiscardHandler), stop}.SetUint64(nil, 1)
		t.Error("raft is told of an error")
	}()
	<-ended
}

// failing is a store that takes nothing.
type failing struct{ raft.StableStore }

func (failing) SetUint64([]byte, uint64) error { return errors.New("closed") }
