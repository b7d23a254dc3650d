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

// TestLeasePassesBetweenSessions checks that a session has one candidacy for a lease at most, that a lease
// passes to the next process when work fails or the holder's session closes, with a higher fencing token each
// time, and that Run returns when work is done.
func TestLeasePassesBetweenSessions(t *testing.T) {
	address, _ := labtest.StartRegistry(t)
	open := func(name string) *Session {
		registryClient, err := client.New(client.Config{Addresses: []string{address}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(registryClient.Close)
		session, err := Open(Config{Client: registryClient, Process: name, TTL: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		return session
	}
	ctx, cancel := context.WithTimeout(context.Background(), labtest.HangTimeout)
	defer cancel()
	a, b := open("a"), open("b")
	started := make(chan string, 10)
	tokens := make(chan uint64, 10)
	work := func(name string, end func(ctx context.Context) error) Work {
		return func(ctx context.Context, token Token) error {
			started <- name
			tokens <- token.Number
			return end(ctx)
		}
	}
	workUntilDone := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	fail := make(chan bool)
	ended := make(chan error, 2)
	go func() {
		ended <- a.Run(ctx, "d", work("a", func(context.Context) error { <-fail; return errors.New("it fails") }))
	}()
	awaitWork := func(want string) uint64 {
		t.Helper()
		select {
		case got := <-started:
			if got != want {
				t.Fatalf("the work of %s starts, want %s", got, want)
			}
		case <-ctx.Done():
			t.Fatalf("the work of %s does not start", want)
		}
		return <-tokens
	}
	first := awaitWork("a")
	if err := a.Run(ctx, "d", work("twice", workUntilDone)); err == nil {
		t.Error("a session has two candidacies for one lease")
	}
	go func() { ended <- b.Run(ctx, "d", work("b", workUntilDone)) }()
	for bIsQueued := false; !bIsQueued; {
		response, err := a.config.Client.Leases(ctx)
		if err != nil {
			t.Fatal(err)
		}
		bIsQueued = len(response.Leases) == 1 && len(response.Leases[0].Queue) == 1
	}
	close(fail)
	second := awaitWork("b")
	if second <= first {
		t.Errorf("fencing token %d after %d", second, first)
	}
	if err := b.Close(labtest.HangTimeout); err != nil {
		t.Error(err)
	}
	if err := <-ended; !errors.Is(err, ErrClosed) {
		t.Errorf("Run of the closed session returns %v", err)
	}
	if third := awaitWork("a"); third <= second {
		t.Errorf("fencing token %d after %d", third, second)
	}
	if err := a.Close(labtest.HangTimeout); err != nil {
		t.Error(err)
	}
	besteffort.Ended(<-ended) // the result of a's Run, after a has closed
	c := open("c")
	if err := c.Run(ctx, "d", func(context.Context, Token) error { return nil }); err != nil {
		t.Errorf("Run returns %v after work that is done", err)
	}
	if err := c.Close(labtest.HangTimeout); err != nil {
		t.Error(err)
	}
}
