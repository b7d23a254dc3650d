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

// TestDamagedLogIsRejectedOrConsistent truncates or overwrites a log at random positions. The replica then
// serves a list that it had before, or stops with an error. It never panics or serves another list.
func TestDamagedLogIsRejectedOrConsistent(t *testing.T) {
	folder := t.TempDir()
	url, stop := serve(t, folder, nil)
	for i := range 20 {
		register(t, url, fmt.Sprint("s", i), "")
	}
	want := readList(t, url, "")
	stop()
	path := filepath.Join(folder, "log.db")
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	rejected, served := 0, 0
	for range 60 {
		damaged := slices.Clone(intact)
		at := rng.IntN(len(damaged))
		if rng.IntN(2) == 0 {
			damaged = damaged[:at]
		} else {
			for i := at; i < min(len(damaged), at+1+rng.IntN(8192)); i++ {
				damaged[i] = byte(rng.Uint32())
			}
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "log.db"), damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		switch a, err := runOnFolder(t, dir); {
		case err != nil:
			rejected++
		case a.Epoch == want.Epoch && (a.Index < want.Index || a.Index == want.Index && reflect.DeepEqual(a, want)):
			served++
		default:
			t.Errorf("with damage at %d of %d bytes the replica has %+v", at, len(intact), a)
		}
	}
	if rejected == 0 || served == 0 {
		t.Errorf("%d logs were rejected, %d served: the damage is of one kind only", rejected, served)
	}
}

// runOnFolder runs a replica on a folder until it has a list or stops by itself.
func runOnFolder(t *testing.T, folder string) (a registry.ListResponse, err error) {
	address, free, err := link.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer free()
	c := Default()
	c.Folder, c.Listen, c.ElectionTimeout = folder, address, 50*time.Millisecond
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
	t.Error("the replica neither serves nor stops")
	return a, nil
}

// TestStableStoreWriteAfterStopEndsGoroutine checks that a write of raft's stable state that fails after the
// store was closed ends its goroutine, because raft would panic if it got the error.
func TestStableStoreWriteAfterStopEndsGoroutine(t *testing.T) {
	stop, ended := make(chan struct{}), make(chan bool)
	close(stop)
	go func() {
		defer close(ended)
		_ = retryingStableStore{failingStore{}, slog.New(slog.DiscardHandler), stop}.SetUint64(nil, 1)
		t.Error("raft gets an error")
	}()
	<-ended
}

// failingStore is a stable store whose writes fail.
type failingStore struct{ raft.StableStore }

func (failingStore) SetUint64([]byte, uint64) error { return errors.New("closed") }
