package allocator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"wrenspread/internal/lab/labtest"
	"wrenspread/internal/lease"
	"wrenspread/internal/quota"
	"wrenspread/internal/registry/client"
	"wrenspread/ratelimit"
)

// bus carries datagrams between holders and proxies of one test.
type bus struct {
	mu    sync.Mutex
	nodes map[string]*quota.Ledger
	boxes map[string]chan []byte
	start time.Time
}

func (b *bus) send(to string, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.nodes[to]; n != nil {
		b.act(n.Handle(time.Since(b.start), quota.Message{Data: data}))
	}
}

// act is called with the lock.
func (b *bus) act(all []quota.Action) {
	for _, a := range all {
		if s, ok := a.(quota.Send); ok {
			select {
			case b.boxes[s.To] <- s.Data:
			default:
			}
		}
	}
}

// tick lets every proxy hear of a holder and ask for more than there is.
func (b *bus) tick(holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		now := time.Since(b.start)
		b.act(n.Handle(now, quota.AllocatorKnown{Name: holder, Token: 1}))
		n.Rejected(0, 100)
		b.act(n.Handle(now, quota.Tick{}))
	}
}

func (b *bus) all(is func(quota.Status, *quota.Ledger) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		if !is(n.Status(), n) {
			return false
		}
	}
	return true
}

func table(t *testing.T) *ratelimit.Table {
	table := &ratelimit.Table{Format: ratelimit.Format, Version: 1,
		Scopes: []ratelimit.Scope{{Parent: -1, LimitCount: 1}},
		Limits: []ratelimit.Limit{{Name: "fleet", Parent: -1, Rate: 100, Burst: 50, Floor: 100, Weight: 1, FallbackShare: 0.25, Status: 429}},
	}
	if err := table.Finalize(); err != nil {
		t.Fatal(err)
	}
	return table
}

// TestHoldersShareAndHandOn: a holder leases shares and enrols the proxies in the record; when it ends, the next one
// leases on under a higher fencing token.
func TestHoldersShareAndHandOn(t *testing.T) {
	service, k := labtest.List(t)
	b := &bus{nodes: map[string]*quota.Ledger{}, boxes: map[string]chan []byte{}, start: time.Now()}
	limits := table(t)
	for i := range 3 {
		n := quota.NewLedger(quota.LedgerConfig{Fleet: 7, Name: fmt.Sprintf("n%d", i), Generation: 1})
		n.Handle(0, quota.TableChanged{Current: limits})
		b.nodes[fmt.Sprintf("n%d", i)] = n
	}
	run := func(name string) (end func()) {
		c, err := client.New(client.Config{Addresses: []string{service}})
		if err != nil {
			t.Fatal(err)
		}
		p, err := lease.Open(lease.Config{Client: c, Process: name, TTL: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		events := make(chan quota.Event, 1)
		events <- quota.TableChanged{Current: limits}
		in := make(chan []byte, 100)
		b.mu.Lock()
		b.boxes[name] = in
		b.mu.Unlock()
		stop := labtest.Run(t, func(ctx context.Context) error {
			err := Run(ctx, Config{Fleet: 7, Name: name, Registry: c, Leases: p, In: in, Send: b.send, Events: events})
			if errors.Is(err, context.Canceled) {
				err = p.Close(labtest.Enough)
			}
			return err
		})
		return func() { stop(); c.Close() }
	}
	end := run("h0")
	leased := func(above uint64) func() bool {
		return func() bool {
			b.tick(fmt.Sprintf("h%d", min(above, 1)))
			return b.all(func(s quota.Status, n *quota.Ledger) bool { return s.Token > above && n.Capacity(0) >= 10 })
		}
	}
	labtest.Await(t, "a lease for each node", leased(0))
	var seats []quota.Slot
	labtest.Await(t, "each node's seat", func() (all bool) {
		b.tick("h0")
		seats, _, _ = readSlots(t.Context(), k)
		return len(seats) == 3
	})
	var fence uint64
	b.all(func(s quota.Status, _ *quota.Ledger) bool { fence = s.Token; return true })
	last := run("h1")
	end()
	labtest.Await(t, "the next holder's leases", func() bool {
		b.mu.Lock()
		for _, n := range b.nodes { // as their watch of the lease tells them
			b.act(n.Handle(time.Since(b.start), quota.AllocatorKnown{Name: "h1", Token: fence + 1}))
		}
		b.mu.Unlock()
		return leased(fence)()
	})
	if now, _, err := readSlots(t.Context(), k); err != nil || len(now) != 3 || now[0] != seats[0] {
		t.Errorf("seats %v after the change, %v before: %v", now, seats, err)
	}
	last()
}
