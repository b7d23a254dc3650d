package lease

import (
	"context"
	"errors"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/labtest"
	"wrenspread/internal/registry/client"
)

// TestProcesses: a process wants a duty once at a time; work that fails is rested and
// its duty goes to the next; a process that closes hands on; work that is done ends the wish.
func TestProcesses(t *testing.T) {
	service, _ := labtest.List(t)
	open := func(name string) *Session {
		k, err := client.New(client.Config{Addresses: []string{service}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(k.Close)
		p, err := Open(Config{Client: k, Process: name, TTL: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	ctx, cancel := context.WithTimeout(context.Background(), labtest.Enough)
	defer cancel()
	a, b := open("a"), open("b")
	began := make(chan string, 10)
	fences := make(chan uint64, 10)
	work := func(name string, end func(ctx context.Context) error) Work {
		return func(ctx context.Context, f Token) error {
			began <- name
			fences <- f.Number
			return end(ctx)
		}
	}
	stay := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	fail := make(chan bool)
	ended := make(chan error, 2)
	go func() {
		ended <- a.Run(ctx, "d", work("a", func(context.Context) error { <-fail; return errors.New("it fails") }))
	}()
	next := func(want string) uint64 {
		t.Helper()
		select {
		case got := <-began:
			if got != want {
				t.Fatalf("%s begins, want %s", got, want)
			}
		case <-ctx.Done():
			t.Fatalf("%s does not begin", want)
		}
		return <-fences
	}
	first := next("a")
	if err := a.Run(ctx, "d", work("twice", stay)); err == nil {
		t.Error("one process wants a duty twice")
	}
	go func() { ended <- b.Run(ctx, "d", work("b", stay)) }()
	for waits := false; !waits; {
		all, err := a.config.Client.Leases(ctx)
		if err != nil {
			t.Fatal(err)
		}
		waits = len(all.Leases) == 1 && len(all.Leases[0].Queue) == 1
	}
	close(fail)
	second := next("b")
	if second <= first {
		t.Errorf("fence %d after %d", second, first)
	}
	if err := b.Close(labtest.Enough); err != nil {
		t.Error(err)
	}
	if err := <-ended; !errors.Is(err, ErrClosed) {
		t.Errorf("the one that closes ends with %v", err)
	}
	if third := next("a"); third <= second {
		t.Errorf("fence %d after %d", third, second)
	}
	if err := a.Close(labtest.Enough); err != nil {
		t.Error(err)
	}
	besteffort.Ended(<-ended) // of the one that has closed
	c := open("c")
	if err := c.Run(ctx, "d", func(context.Context, Token) error { return nil }); err != nil {
		t.Errorf("work that is done ends with %v", err)
	}
	if err := c.Close(labtest.Enough); err != nil {
		t.Error(err)
	}
}
